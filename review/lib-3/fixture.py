"""What the scripts of cases 11 to 15 share: forwarders started with the command of the
deploy file, a store that answers in pages, clients that open flows, and the record."""

import atexit
import json
import os
import pathlib
import queue
import shutil
import socket
import struct
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "standins"))

from flow_platform import (ACKNOWLEDGE, CONFIGURATION_KEY, FINISH, OPEN, RESET,  # noqa: E402
                           Packet, Store, Upstream, datagram_socket, evacuation_key,
                           upstream_key)
from forwarder_process import Instance  # noqa: E402
from loopback import DATA_PORT, PEER_PORT, READY_PORT, REPORT_PORT, LoopbackSlot  # noqa: E402

PROGRAM = ROOT / "target" / "indigopoint"
INSTANCES, CLIENTS, UPSTREAMS = 1, 2, 3

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

# A page holds at most about 500 items or 1 MB.
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20

# A client sends copies of its opening after these times, and gives up at the last one.
OPENING_COPIES_S, OPENING_LIMIT_S = (0.2, 0.6), 1.4


class CannotRun(Exception):
    """The case could not be set up, so it says nothing of the rule."""


class PagedStore(Store):
    """The project's store, with answers in pages."""

    def answer(self, path, query):
        if path != "/kv-range":
            return super().answer(path, query)
        prefix, after = query["Prefix"][0], query.get("after", [""])[0]
        with self.changed:
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and (not after or key > after))
            items, size = [], 0
            for key in keys:
                size += len(self.items[key]["Value"])
                if items and (len(items) == PAGE_ITEMS or size > PAGE_BYTES):
                    break
                items.append(self.items[key])
            return 200, {"items": items, "HasMore": len(items) < len(keys),
                         "StoreRevision": self.revision}


class Record:
    """What was sent, answered and run; written to record.txt of the case."""

    def __init__(self, folder):
        self.start, self.lock = time.monotonic(), threading.Lock()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Target(Upstream):
    """An upstream that keeps its flows as targets do: it ignores packets for other ids and,
    while it is full, openings; it resets what it does not hold. Tells the case what it gets."""

    RESPONSE = b"response"
    # An opening whose handshake does not end is forgotten.
    HALF_OPEN_S = 3

    def __init__(self, identity, address, service, zone, on_event, max_connections=2000):
        self.service, self.on_event, self.max_connections = service, on_event, max_connections
        # By client: time of the opening, whether the handshake has ended, the next byte
        # that is expected, and the next one to send.
        self.held, self.lock = {}, threading.Lock()
        super().__init__(identity, address, DATA_PORT, DATA_PORT)
        self.zone = zone

    def handle(self, raw, source):
        if struct.unpack(">Q", raw[:8])[0] != self.identity:
            self.on_event("foreign", self, Packet.decode(raw[8:]))
            return
        packet = Packet.decode(raw[8:])
        with self.lock:
            answer = self.answer(packet)
        if answer is not None:
            self.socket.sendto(answer.encode(), (packet.source[0], self.client_port))

    def reply(self, packet, flags, sequence=0, acknowledged=0, data=b""):
        return Packet(packet.destination, packet.source, flags, sequence, acknowledged,
                      packet.tag, data)

    def answer(self, packet):
        flow = self.held.get(packet.source)
        if packet.is_reset:
            self.held.pop(packet.source, None)
            return None
        if packet.is_opening:
            return self.answer_opening(packet, flow)
        if flow is not None and not flow[1]:
            flow[1] = packet.acknowledged == self.sequence + 1
            if flow[1]:
                self.on_event("opened", self, packet)
        if flow is None or not flow[1]:
            if packet.flags & FINISH:
                return self.reply(packet, ACKNOWLEDGE, packet.acknowledged, packet.sequence)
            return self.reply(packet, RESET, packet.acknowledged) if packet.data else None
        return self.answer_data(packet, flow)

    def answer_opening(self, packet, flow):
        if flow is None:
            now = time.monotonic()
            for client in [client for client, other in self.held.items()
                           if not other[1] and now - other[0] > self.HALF_OPEN_S]:
                del self.held[client]
            if len(self.held) >= self.max_connections:
                self.on_event("ignored", self, packet)
                return None
            self.held[packet.source] = [now, False, packet.sequence + 1, self.sequence + 1]
            self.on_event("opening", self, packet)
        return self.reply(packet, OPEN | ACKNOWLEDGE, self.sequence, packet.sequence + 1)

    def answer_data(self, packet, flow):
        data = b""
        if packet.data and packet.sequence == flow[2]:
            self.on_event("run", self, packet)
            flow[2] = (flow[2] + len(packet.data)) & 0xffffffff
            data = self.RESPONSE
        sequence = flow[3]
        flow[3] += len(data)
        if packet.flags & FINISH:
            del self.held[packet.source]
            return self.reply(packet, ACKNOWLEDGE, sequence, flow[2])
        return self.reply(packet, ACKNOWLEDGE, sequence, flow[2], data) if data else None

    def entry(self, state="ready", cold_s=0, born=1):
        return self.registration(self.service, state, born, cold_s)


class Flow:
    """One flow of a client. Its packets go through the instance that the client's route
    names at that moment."""

    def __init__(self, client, service, port):
        self.client, self.service, self.port = client, service, port
        self.packets = queue.Queue()
        self.first_sequence = (0x11223344 + port * 7919) & 0x7fffffff
        self.next, self.acknowledged, self.tag = self.first_sequence, 0, 0
        # When each copy of the opening was sent.
        self.openings = []

    def send(self, flags, sequence, acknowledged=0, tag=0, data=b""):
        packet = Packet((self.client.address, self.port), self.service, flags, sequence,
                        acknowledged, tag, data)
        self.client.socket.sendto(packet.encode(), self.client.route(self))

    def open(self):
        """Returns "open", "reset" or "silent"."""
        first = time.monotonic()
        due = [first + delay for delay in (0,) + OPENING_COPIES_S]
        while True:
            now = time.monotonic()
            if due and now >= due[0]:
                del due[0]
                self.send(OPEN, self.first_sequence, len(self.openings))
                self.openings.append(now)
                continue
            answer = self.receive((due[0] if due else first + OPENING_LIMIT_S) - now)
            if answer is not None and answer.is_reset:
                return "reset"
            if answer is not None and answer.is_opening:
                self.next, self.acknowledged = self.first_sequence + 1, answer.sequence + 1
                self.tag = answer.tag
                return "open"
            if answer is None and not due and time.monotonic() >= first + OPENING_LIMIT_S:
                return "silent"

    def request(self, data=b"request", seconds=1):
        """Sends a request on the open flow. Returns "answered", "reset" or "silent"."""
        self.send(ACKNOWLEDGE, self.next, self.acknowledged, self.tag, data)
        end = time.monotonic() + seconds
        while True:
            reply = self.receive(end - time.monotonic())
            if reply is None:
                return "silent"
            self.tag = reply.tag or self.tag
            if reply.is_reset:
                return "reset"
            if reply.data and reply.sequence == self.acknowledged:
                break
        self.next += len(data)
        self.acknowledged += len(reply.data)
        self.send(ACKNOWLEDGE, self.next, self.acknowledged, self.tag)
        return "answered"

    def close(self):
        self.send(FINISH | ACKNOWLEDGE, self.next, self.acknowledged, self.tag)

    def run(self, stays_open=False):
        """Opens the flow and sends a request. Returns "answered", "reset" or "silent"."""
        result = self.open()
        if result != "open":
            return result
        result = self.request()
        if result == "answered" and not stays_open:
            self.close()
        return result

    def receive(self, seconds):
        try:
            return self.packets.get(timeout=max(0.001, seconds))
        except queue.Empty:
            return None


class Client:
    """A client machine. \\p route returns the address of the instance that gets a flow."""

    def __init__(self, address, route):
        self.address, self.route, self.flows, self.next_port = address, route, {}, 40000
        self.socket = datagram_socket((address, DATA_PORT))
        self.lock = threading.Lock()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        while True:
            packet = Packet.decode(self.socket.recv(2048))
            flow = self.flows.get(packet.destination[1])
            if flow is not None:
                flow.packets.put(packet)

    def new_flow(self, service):
        with self.lock:
            self.next_port += 1
            flow = Flow(self, service, self.next_port)
            self.flows[flow.port] = flow
            return flow


class Case:
    """The processes and stand-ins of one run."""

    def __init__(self, folder):
        self.folder, self.record = pathlib.Path(folder).resolve(), None
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.folder)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.slot, self.store, self.instances, self.targets = LoopbackSlot(), PagedStore(), [], []
        atexit.register(self.close)
        if not PROGRAM.exists():
            raise CannotRun("target/indigopoint is missing: run the build of the deploy file")

    def close(self):
        for instance in self.instances:
            instance.kill()
        self.instances = []
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temporary, ignore_errors=True)

    def address(self, network, host):
        return self.slot.address(network, host)

    def peer_address(self, host):
        return "%s:%d" % (self.address(INSTANCES, host), PEER_PORT)

    def add_instance(self, host, zone, seeds, **settings):
        """Starts a forwarder with the settings that the template makes."""
        address = self.address(INSTANCES, host)
        instance = Instance(
            str(PROGRAM), self.temporary, "front-%s-%d" % (zone, host), address, DATA_PORT,
            settings.pop("store", self.store.address), zone=zone, readyAddress="%s:%d" % (address, READY_PORT),
            peerAddress=self.peer_address(host), seeds=seeds,
            metricsAddress="%s:%d" % (address, REPORT_PORT + 1),
            reportAddress="%s:%d" % (address, REPORT_PORT),
            **{"maxStoreAgeMs": 5000, "changeBoundMs": 5000, "registrationPeriodMs": 1200,
               "linkMbps": 200, "stopLimitS": 6, **settings})
        self.instances.append(instance)
        return instance

    def add_target(self, number, service, zone, on_event, **options):
        target = Target(0x7f3a0000 + number, self.address(UPSTREAMS, number), service, zone,
                        on_event, **options)
        self.targets.append(target)
        return target

    def register(self, target, **fields):
        self.store.put(upstream_key(target.identity), target.entry(**fields))

    def publish(self, version, routes, **services):
        """Writes a configuration; \\p routes gives the service of each address."""
        self.store.put(CONFIGURATION_KEY, {
            "Version": version, "Limits": {"IdleTimeoutMs": 15000},
            "Services": [{"Name": name, **fields} for name, fields in services.items()],
            "Routes": [{"Name": "route-%d" % number, "Host": host, "Prefix": "/%d/" % port,
                        "RouteType": "idempotent", "Service": service}
                       for number, ((host, port), service) in enumerate(routes.items())]})

    def wait_until(self, condition, what, seconds=10):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun("not within %d s: %s" % (seconds, what))
            time.sleep(0.02)

    def log_events(self, instance, name):
        if not instance.log.exists():
            return []
        lines = [json.loads(line) for line in instance.log.read_text().splitlines()
                 if line.endswith("}")]
        return [line for line in lines if line["event"] == name]


def main(folder, play):
    """Runs a case and ends with the exit code of its result."""
    case = None
    try:
        case = Case(folder)
        code = play(case)
        case.record.say("result: the rule was %s" % ("broken" if code == BROKEN else "kept"))
    except CannotRun as problem:
        print("could not run: %s" % problem, flush=True)
        code = COULD_NOT_RUN
    finally:
        if case is not None:
            case.close()
    sys.stdout.flush()
    # Threads of the stand-ins may still wait for packets.
    os._exit(code)
