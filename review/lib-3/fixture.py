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
    """An upstream of the stand-ins that drops packets for other ids, as targets do, and tells
    the case of each opening packet and of each request."""

    def __init__(self, identity, address, service, zone, on_event):
        self.service, self.on_event = service, on_event
        # Returns whether an opening packet is ignored, as by a target that is full.
        self.is_full = lambda packet: False
        super().__init__(identity, address, DATA_PORT, DATA_PORT)
        self.zone = zone

    def handle(self, raw, source):
        if struct.unpack(">Q", raw[:8])[0] != self.identity:
            self.on_event("foreign", self, None)
            return
        packet = Packet.decode(raw[8:])
        if packet.is_opening:
            if self.is_full(packet):
                self.on_event("ignored", self, packet)
                return
            self.on_event("opening", self, packet)
        elif packet.data and packet.source not in self.flows and self.proves_handshake(packet):
            self.on_event("run", self, packet)
        self.respond(packet)

    def entry(self, state="ready", cold_s=0, born=1):
        return self.registration(self.service, state, born, cold_s)


class Flow:
    """One flow of a client with one request."""

    def __init__(self, client, service, port):
        self.client, self.service, self.port = client, service, port
        self.packets = queue.Queue()
        self.sequence = (0x11223344 + port * 7919) & 0xffffffff

    def send(self, flags, sequence, acknowledged=0, tag=0, data=b""):
        packet = Packet((self.client.address, self.port), self.service, flags, sequence,
                        acknowledged, tag, data)
        self.client.socket.sendto(packet.encode(), self.client.route(self))

    def run(self, request=b"request", stays_open=False):
        """Opens the flow and sends a request. Returns "answered", "reset" or "silent"."""
        first = time.monotonic()
        self.send(OPEN, self.sequence)
        due = [first + delay for delay in OPENING_COPIES_S]
        copies, answer = 0, None
        while answer is None:
            now = time.monotonic()
            if now >= first + OPENING_LIMIT_S:
                return "silent"
            if due and now >= due[0]:
                del due[0]
                copies += 1
                self.send(OPEN, self.sequence, copies)
                continue
            answer = self.receive((due[0] if due else first + OPENING_LIMIT_S) - now)
            if answer is not None and answer.is_reset:
                return "reset"
        number = self.sequence + 1
        self.send(ACKNOWLEDGE, number, answer.sequence + 1, answer.tag, request)
        reply = self.receive(1)
        while reply is not None and reply.is_opening:
            reply = self.receive(1)
        if reply is None:
            return "silent"
        if reply.is_reset:
            return "reset"
        if stays_open:
            return "answered"
        self.send(FINISH | ACKNOWLEDGE, number + len(request), reply.sequence, reply.tag)
        return "answered"

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
            self.store.address, zone=zone, readyAddress="%s:%d" % (address, READY_PORT),
            peerAddress=self.peer_address(host), seeds=seeds,
            metricsAddress="%s:%d" % (address, REPORT_PORT + 1),
            reportAddress="%s:%d" % (address, REPORT_PORT),
            **{"maxStoreAgeMs": 5000, "changeBoundMs": 5000, "registrationPeriodMs": 1200,
               "linkMbps": 200, "stopLimitS": 6, **settings})
        self.instances.append(instance)
        return instance

    def add_target(self, number, service, zone, on_event):
        target = Target(0x7f3a0000 + number, self.address(UPSTREAMS, number), service, zone,
                        on_event)
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
