"""Stand-ins for the platform around forwarder processes: store, targets,
clients and routers. All addresses are loopback addresses."""

import base64
import heapq
import http.server
import itertools
import json
import os
import re
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse
import zlib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Offsets and flags as in the example of the users' protocol page.
HEADER = struct.Struct(">IHIHIHIIIB")
SYN, ACK, FIN, RST = 32, 1, 4, 128

# Written into the sum field by clients and targets; the sum of a reset that the
# system itself sends is 0.
END_SUM = 7

# The bounds of the small deployments.
BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "StableMs": 4000, "AckMs": 5000, "CatchUpS": 4,
          "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
          "RollbackSlackMs": 250, "MaxStretchMs": 12000, "RecoveryS": 12,
          "FlowStrayMs": 2000, "FlowLifetimeS": 60}
HEARTBEAT_S = 1.2
HISTORY_S = 20
STORE_ANSWER_S = 0.004
RANGE_MAX_ITEMS = 500


def pack(value):
    """Encodes a value as MessagePack."""
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        if 0 <= value < 128:
            return bytes([value])
        return b"\xcf" + struct.pack(">Q", value)
    if isinstance(value, str):
        raw = value.encode()
        return pack_text_head(len(raw)) + raw
    if isinstance(value, list):
        return b"\xdd" + struct.pack(">I", len(value)) + b"".join(pack(v) for v in value)
    return b"\xdf" + struct.pack(">I", len(value)) + b"".join(
        pack(k) + pack(v) for k, v in value.items())


def pack_text_head(length):
    if length < 32:
        return bytes([0xa0 | length])
    if length < 65536:
        return b"\xda" + struct.pack(">H", length)
    return b"\xdb" + struct.pack(">I", length)


class Record:
    """The account of a run, written to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Store:
    """The platform's metadata store: range and watch over HTTP/1.1, with a
    history of HISTORY_S. The operator and the targets write with put and remove."""

    def __init__(self, address):
        self.items, self.events, self.revision = {}, [], 100
        self.discarded_until = 100
        # The era is sent in all answers if it is set.
        self.era = None
        self.copies = []
        # While the store is away, it refuses all calls.
        self.away = False
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                parts = urllib.parse.urlparse(self.path)
                query = urllib.parse.parse_qs(parts.query, keep_blank_values=True)
                time.sleep(STORE_ANSWER_S)
                status, body = store.answer(parts.path, query)
                self.send_response(status)
                self.send_header("Content-Type", "application/msgpack")
                if store.era is not None:
                    self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                """A caller may close its connection at any time."""

        self.server = Server((address, 0), Handler)
        self.endpoint = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Writes a document, packed or not, and returns the time of the
        acknowledgement."""
        raw = value if isinstance(value, bytes) else pack(value)
        text = base64.b64encode(raw).decode()
        with self.changed:
            self.revision += 1
            created = self.items[key][1] if key in self.items else self.revision
            item = pack({"Key": key, "Value": text, "Revision": self.revision,
                         "CreateRev": created, "Lease": 0})
            self.items[key] = (item, created)
            self.add_event(item)
        return time.monotonic()

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.add_event(pack({"Key": key, "Revision": self.revision, "Deleted": True}))
        return time.monotonic()

    def add_event(self, event):
        now = time.monotonic()
        self.events.append((now, self.revision, event))
        while self.events and self.events[0][0] < now - HISTORY_S:
            self.discarded_until = self.events.pop(0)[1]
        if self.era is not None:
            self.copies.append((now, self.revision, dict(self.items)))
        self.changed.notify_all()

    def restore(self, age_s):
        """Returns to the copy of some seconds ago, in a new era."""
        with self.changed:
            then = time.monotonic() - age_s
            _, self.revision, items = [c for c in self.copies if c[0] <= then][-1]
            self.items, self.events = dict(items), []
            self.discarded_until = self.revision
            self.era += 1
            self.changed.notify_all()

    def answer(self, path, query):
        with self.changed:
            if self.away:
                return 503, b""
            if path == "/kv-range":
                return 200, self.range(query["Prefix"][0], query.get("after", [""])[0])
            if path == "/kv-watch":
                return self.watch(int(query["after"][0]), int(query["WaitMs"][0]) / 1000)
        return 404, b""

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:RANGE_MAX_ITEMS]
        return (b"\x83" + pack("items") + b"\xdd" + struct.pack(">I", len(page))
                + b"".join(self.items[k][0] for k in page)
                + pack("HasMore") + pack(len(page) < len(keys))
                + pack("StoreRevision") + pack(self.revision))

    def watch(self, after, wait_s):
        era = self.era
        gone = lambda: after < self.discarded_until or after > self.revision or era != self.era
        self.changed.wait_for(lambda: gone() or self.revision > after or self.away, wait_s)
        if self.away:
            return 503, b""
        if gone():
            return 410, pack({})
        events = [event for _, revision, event in self.events if revision > after]
        return 200, (b"\x82" + pack("events") + b"\xdd" + struct.pack(">I", len(events))
                     + b"".join(events) + pack("StoreRevision") + pack(self.revision))


class Loop:
    """Runs the sockets and timers of clients and targets in one thread."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers, self.order = [], itertools.count()

    def add(self, sock, on_readable):
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, on_readable)

    def after(self, delay_s, action):
        heapq.heappush(self.timers, (time.monotonic() + delay_s, next(self.order), action))

    def run_until(self, end):
        """Runs until a time, or until a function returns true."""
        is_done = end if callable(end) else lambda: time.monotonic() >= end
        while not is_done():
            now = time.monotonic()
            wait = min(0.02, max(0.0, self.timers[0][0] - now)) if self.timers else 0.02
            for key, _ in self.selector.select(wait):
                key.data()
            while self.timers and self.timers[0][0] <= time.monotonic():
                heapq.heappop(self.timers)[2]()


class Packet:
    def __init__(self, source, destination, flags, seq=0, ack=0, echo=0, data=b"", total=END_SUM):
        self.source, self.destination, self.flags = source, destination, flags
        self.seq, self.ack, self.echo, self.data, self.sum = seq, ack, echo, data, total

    def encode(self):
        return HEADER.pack(self.sum, len(self.data), number(self.destination[0]),
                           self.destination[1], number(self.source[0]), self.source[1],
                           self.seq & 0xffffffff, self.ack & 0xffffffff, self.echo,
                           self.flags) + self.data

    @staticmethod
    def decode(raw):
        total, _, dst, dport, src, sport, seq, ack, echo, flags = HEADER.unpack(raw[:31])
        return Packet((text(src), sport), (text(dst), dport), flags, seq, ack, echo, raw[31:],
                      total)


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(value):
    return socket.inet_ntoa(struct.pack(">I", value))


def datagram_socket(address, port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.bind((address, port))
    return sock


def free_ports(addresses, count):
    """The first of some consecutive ports that are free for UDP and TCP on all these
    addresses."""
    for port in range(20000 + os.getpid() % 4000, 32000, count):
        socks = []
        try:
            for address in addresses:
                for number in range(port, port + count):
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        sock = socket.socket(socket.AF_INET, kind)
                        socks.append(sock)
                        sock.bind((address, number))
            return port
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise OSError("no free ports")


class Target:
    """A target in the form `echo`: it gets datagrams of 8 bytes and a packet at
    its address and answers the client directly. It retransmits what is not
    acknowledged after 200 ms, at intervals that double up to 1.6 s, 8 times."""

    def __init__(self, world, identity, service, zone, address, work_s=0.02):
        self.world, self.identity, self.service, self.zone = world, identity, service, zone
        self.work_s, self.state = work_s, "ready"
        self.name = "i-%x" % identity
        self.sock = datagram_socket(address, world.target_port)
        self.endpoint = (address, world.target_port)
        self.listener = socket.create_server(self.endpoint, backlog=64)
        world.loop.add(self.sock, self.read)
        world.loop.add(self.listener, self.accept)
        # By the client's end: [state, next own seq, next expected seq, own first seq].
        self.flows, self.ended = {}, set()
        self.runs, self.seq, self.alive = [], 0, True
        # Opening packets, as (time, client's end, destination).
        self.openings = []

    def entry(self):
        self.seq += 1
        return {"Service": self.service, "Address": "%s:%d" % self.endpoint, "Zone": self.zone,
                "Version": "v1", "Concurrency": 2, "State": self.state, "ColdLeftMs": 0,
                "Seq": self.seq, "born": 1790000000000 + self.identity}

    def register(self):
        return self.world.store.put("servers/" + self.name, self.entry())

    def end(self):
        """Ends the process of the target: its flows are gone."""
        self.alive = False
        for sock in (self.sock, self.listener):
            self.world.loop.selector.unregister(sock)
            sock.close()
        self.flows.clear()

    def accept(self):
        try:
            connection, _ = self.listener.accept()
        except OSError:
            return
        connection.close()

    def read(self):
        while self.alive:
            try:
                raw, _ = self.sock.recvfrom(2048)
            except OSError:
                return
            if struct.unpack(">Q", raw[:8])[0] in (0, self.identity):
                self.take(Packet.decode(raw[8:]))

    def send(self, flow, destination, flags, seq, ack, echo, data=b""):
        if self.alive:
            self.world.to_client(self, Packet(destination, flow, flags, seq, ack, echo, data))

    def take(self, packet):
        flow, dst = packet.source, packet.destination
        if packet.flags & SYN:
            self.openings.append((time.monotonic(), flow, dst))
            if flow not in self.flows:
                first = zlib.crc32(repr((self.identity, flow)).encode())
                self.flows[flow] = {"open": False, "first": first, "next": first + 1,
                                    "expected": packet.seq + 1, "echo": packet.echo}
                self.repeat(flow, dst, self.flows[flow], SYN | ACK, first, b"", 0.2, 8)
            entry = self.flows[flow]
            entry["echo"] = packet.echo
            if not entry["open"]:
                self.send(flow, dst, SYN | ACK, entry["first"], packet.seq + 1, packet.echo)
            return
        entry = self.flows.get(flow)
        if packet.flags & RST:
            self.flows.pop(flow, None)
            return
        if entry is None and flow in self.ended and not packet.data:
            if packet.flags & FIN:
                self.send(flow, dst, ACK, packet.ack, packet.seq + 1, packet.echo)
            return
        acknowledges = entry and packet.ack == (entry["first"] + 1) & 0xffffffff
        if entry is None or (not entry["open"] and not acknowledges):
            # A packet of a flow that this target does not hold.
            self.world.record.write("%s gets a packet of flow %s that it does not hold: reset"
                                    % (self.name, flow))
            self.flows.pop(flow, None)
            self.send(flow, dst, RST, packet.ack, 0, packet.echo)
            return
        if not entry["open"]:
            self.world.on_open(self, flow)
        entry["open"], entry["echo"], entry["acked"] = True, packet.echo, packet.ack
        if packet.flags & FIN:
            self.flows.pop(flow)
            self.ended.add(flow)
            self.send(flow, dst, FIN | ACK, entry["next"], packet.seq + 1, packet.echo)
            return
        if packet.data:
            if packet.seq == entry["expected"] & 0xffffffff:
                entry["expected"] += len(packet.data)
                self.world.loop.after(self.work_s, lambda: self.run(flow, dst, entry, packet.data))
            else:
                self.send(flow, dst, ACK, entry["next"], entry["expected"], packet.echo)

    def run(self, flow, dst, entry, request):
        if self.flows.get(flow) is not entry:
            return
        identity = request.split(b"Indigopoint-Request-Id: ")[1].split(b"\r\n")[0].decode()
        self.runs.append((time.monotonic(), identity))
        body = (self.name + " " + identity).encode()
        answer = (b"HTTP/1.1 200 OK\r\nIndigopoint-Response-Signature: " + body
                  + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        start = entry["next"]
        entry["next"] = start + len(answer)
        self.send(flow, dst, ACK, start, entry["expected"], entry["echo"], answer)
        if self.state == "draining":
            # It closes each flow after its next response.
            self.flows.pop(flow)
            self.ended.add(flow)
            self.send(flow, dst, FIN | ACK, entry["next"], entry["expected"], entry["echo"])
            return
        self.repeat(flow, dst, entry, ACK, start, answer, 0.2, 8)

    def repeat(self, flow, dst, entry, flags, seq, data, delay_s, left):
        def again():
            if self.flows.get(flow) is not entry:
                return
            is_acknowledged = entry["open"] and (
                flags & SYN or (entry.get("acked", 0) - (seq + len(data))) & 0x80000000 == 0)
            if is_acknowledged:
                return
            if left == 0:
                if not entry["open"]:
                    self.flows.pop(flow)
                return
            self.send(flow, dst, flags, seq, entry["expected"], entry["echo"], data)
            self.repeat(flow, dst, entry, flags, seq, data, min(1.6, delay_s * 2), left - 1)
        self.world.loop.after(delay_s, again)


class Forwarder:
    """A process of the system, started with the command and the template of the
    deploy file."""

    def __init__(self, world, name, zone, address, seeds, store=None, **fields):
        self.world, self.name, self.zone, self.address = world, name, zone, address
        store = store or world.store.endpoint
        self.data, self.ready = (address, world.data_port), (address, world.ready_port)
        platform_fields = {
            "NodeId": name, "Zone": zone, "Ip": address,
            "Listen": {"DataAddr": "%s:%d" % self.data, "Ready": "%s:%d" % self.ready,
                       "Control": "%s:%d" % (address, world.control_port)},
            "Seeds": ["%s:%d" % (seed, world.control_port) for seed in seeds],
            "InternalPortRange": world.internal_ports, "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Limits": {"LinkMbps": 1000.0}, "Bounds": BOUNDS,
            "platform": {"Address": "%s:%d" % store}, **fields}
        with open(os.path.join(REPOSITORY, "deploy/system.toml")) as file:
            role = dict(re.findall(r'^(run|template) = "(.*)"$', file.read(), re.MULTILINE))
        with open(os.path.join(REPOSITORY, role["template"])) as file:
            settings = fill(file.read(), platform_fields)
        self.settings = os.path.join(world.folder, name + ".json")
        with open(self.settings, "w") as file:
            file.write(settings)
        self.command = [self.settings if word == "/etc/indigopoint/settings.json" else word
                        for word in role["run"].split(" ")]
        self.log = os.path.join(world.folder, name + ".log")
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=REPOSITORY, stdout=log, stderr=log)
        self.world.record.write("%s starts as process %d" % (self.name, self.process.pid))

    def signal(self, which):
        self.world.record.write("%s gets %s" % (self.name, signal.Signals(which).name))
        self.process.send_signal(which)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, 0.4) as connection:
                connection.settimeout(0.4)
                connection.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\n"
                                   b"Connection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


def fill(template, fields):
    """Fills the placeholders of a settings template that has no sections."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match.group(2) else str(found)
    return re.sub(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}", value, template)


class Client:
    """A client with one address. It follows the part `Flows` of the protocol page."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.sock = datagram_socket(address, world.data_port)
        world.loop.add(self.sock, self.read)
        self.flows, self.next_port = {}, 30000

    def read(self):
        while True:
            try:
                raw, _ = self.sock.recvfrom(2048)
            except OSError:
                return
            packet = Packet.decode(raw)
            flow = self.flows.get(packet.destination[1])
            if flow is not None:
                flow.take(packet)

    def open(self, service, on_open=None):
        self.next_port += 1
        return ClientFlow(self, self.next_port, service, on_open)


class ClientFlow:
    def __init__(self, client, port, service, on_open):
        self.client, self.world = client, client.world
        self.source, self.service, self.on_open = (client.address, port), service, on_open
        self.seq = zlib.crc32(repr(self.source).encode()) & 0x7fffffff
        self.next, self.ack, self.echo = self.seq + 1, 0, 0
        # opening, open, or how it ended.
        self.state, self.target_first, self.last_packet = "opening", None, time.monotonic()
        self.pending, self.on_answer, self.answered = None, None, b""
        self.sent_at, self.opened_at = time.monotonic(), None
        self.opening_answers = 0
        # When the opening packet and its copies were sent.
        self.syn_times = []
        client.flows[port] = self
        self.send_syn(0)
        for copies, delay_s in ((1, 0.2), (2, 0.6)):
            self.world.loop.after(delay_s, lambda n=copies: self.send_syn(n))
        self.world.loop.after(1.4, lambda: self.state == "opening" and self.finish("no answer"))

    def transmit(self, flags, seq, ack, data=b""):
        packet = Packet(self.source, self.service, flags, seq, ack,
                        0 if flags & SYN else self.echo, data)
        self.world.to_system(self.client.sock, packet)

    def send_syn(self, copies):
        if self.state == "opening":
            self.syn_times.append(time.monotonic())
            self.transmit(SYN, self.seq, copies)

    def take(self, packet):
        if self.state not in ("opening", "open", "closing"):
            return
        if packet.flags & RST:
            by_system = packet.sum == 0
            is_near = abs(((packet.seq - self.ack + 0x80000000) & 0xffffffff) - 0x80000000) <= 76800
            if self.state == "opening" or is_near:
                was_open = self.state == "open"
                self.reset_with = self.pending
                self.world.on_reset(self, was_open, by_system)
                self.finish("reset")
            return
        # The last echo that this end received on the flow.
        self.echo = packet.echo
        if packet.flags & SYN:
            self.opening_answers += 1
            if self.state == "opening":
                self.state, self.opened_at = "open", time.monotonic()
                self.target_first, self.ack = packet.seq, (packet.seq + 1) & 0xffffffff
                self.transmit(ACK, self.next, self.ack)
                if self.on_open:
                    self.on_open(self)
            elif packet.seq == self.target_first:
                self.transmit(ACK, self.next, self.ack)
            return
        if packet.flags & FIN:
            if self.state == "open":
                self.transmit(ACK | FIN, self.next, self.ack)
            self.finish("closed")
            return
        if packet.data and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) & 0xffffffff
            self.transmit(ACK, self.next, self.ack)
            if self.pending is not None:
                on_answer, self.pending = self.on_answer, None
                on_answer(self, packet.data)
        elif packet.data:
            self.transmit(ACK, self.next, self.ack)

    def request(self, identity, time_limit_s, on_answer):
        """Sends a request on the open flow. on_answer gets the answer, or None
        if none came within the time limit."""
        data = (b"POST / HTTP/1.1\r\nHost: x\r\nIndigopoint-Request-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % identity.encode())
        seq = self.next
        self.next += len(data)
        self.pending, self.on_answer = identity, on_answer
        self.transmit(ACK, seq, self.ack, data)

        def again(delay_s):
            if self.pending == identity and self.state == "open":
                self.transmit(ACK, seq, self.ack, data)
                self.world.loop.after(min(1.6, delay_s * 2),
                                      lambda: again(min(1.6, delay_s * 2)))

        def give_up():
            if self.pending == identity:
                self.pending = None
                on_answer(self, None)
                self.finish("time limit")

        self.world.loop.after(0.2, lambda: again(0.2))
        self.world.loop.after(time_limit_s, give_up)

    def close(self):
        if self.state == "open":
            self.state = "closing"
            self.transmit(ACK | FIN, self.next, self.ack)
            self.world.loop.after(1.0, lambda: self.finish("closed"))

    def finish(self, how):
        if self.state in ("opening", "open", "closing"):
            self.state = how
            if self.pending is not None and how == "reset":
                on_answer, self.pending = self.on_answer, None
                on_answer(self, None)
            self.client.flows.pop(self.source[1], None)


class World:
    """One run: the stand-ins, the forwarders and the routers in front of them."""

    # The runs of this process, which end with it.
    all = []

    def __init__(self, case_folder, addresses):
        World.all.append(self)
        self.record = Record(case_folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.loop = Loop()
        taken = free_ports(addresses, 6)
        self.data_port, self.ready_port, self.control_port, self.target_port = (
            taken, taken + 1, taken + 2, taken + 3)
        self.internal_ports = [taken + 4, taken + 5]
        self.forwarders, self.rotation, self.misses = [], [], {}
        # The forwarder of each flow, with the rotation for which it was chosen.
        self.routed = {}
        self.resets, self.opened_at_target = [], {}
        self.loss = lambda sender, packet: False
        self.is_probing = True

    def start_routers(self):
        """Asks each forwarder twice a second whether it is ready; after two
        misses it is out of rotation."""
        def probe():
            while self.is_probing:
                for forwarder in list(self.forwarders):
                    if forwarder.is_ready():
                        self.misses[forwarder] = 0
                    else:
                        self.misses[forwarder] = self.misses.get(forwarder, 0) + 1
                ready = [f for f in self.forwarders if self.misses.get(f, 9) < 2]
                if ready != self.rotation:
                    self.record.write("in rotation: " + " ".join(f.name for f in ready))
                    self.rotation = ready
                time.sleep(0.5)
        threading.Thread(target=probe, daemon=True).start()

    def route(self, packet):
        """The forwarder of a flow: the `steady` hash moves only the flows of a
        forwarder that joins or leaves."""
        choices = self.rotation or self.forwarders
        known = self.routed.get(packet.source)
        if known is None or known[0] is not choices:
            key = repr((packet.source, packet.destination))
            known = (choices, max(choices, key=lambda f: zlib.crc32((f.name + key).encode())))
            self.routed[packet.source] = known
        return known[1]

    def to_system(self, sock, packet):
        try:
            sock.sendto(packet.encode(), self.route(packet).data)
        except OSError:
            pass

    def to_client(self, target, packet):
        if self.loss(target, packet):
            return
        try:
            target.sock.sendto(packet.encode(), (packet.destination[0], self.data_port))
        except OSError:
            pass

    def on_open(self, target, flow):
        self.opened_at_target[flow] = target

    def on_reset(self, flow, was_open, by_system):
        self.resets.append((time.monotonic(), flow, was_open, by_system))

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if len(self.rotation) == len(self.forwarders):
                return True
            self.loop.run_until(time.monotonic() + 0.1)
        return False

    def close(self):
        self.is_probing = False
        for forwarder in self.forwarders:
            if forwarder.process is not None and forwarder.process.poll() is None:
                forwarder.process.kill()
                forwarder.process.wait()


def run_case(main):
    """Exits with the result of a case; with 2 if it could not run."""
    code = 2
    try:
        code = main()
    except Exception:
        traceback.print_exc()
    finally:
        for world in World.all:
            world.close()
    sys.exit(code)


def route(name, address, service, kind="non_idempotent", time_limit_ms=600, aim_ms=120):
    """A route of the operator's configuration."""
    return {"Name": name, "Host": address[0], "Prefix": "/%d/" % address[1], "RouteType": kind,
            "TimeoutMs": time_limit_ms, "AimMs": aim_ms, "Priority": 1, "Service": service,
            "MaxAttempts": 2}


def configuration(version, routes):
    services = sorted({r["Service"] for r in routes})
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": s, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1",
                          "Tls": False} for s in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}
