"""A small stand-in for the deployment platform: a store, upstreams and a client
that also acts as the fabric, the network in front of the instances. Everything
runs in one process on loopback addresses."""

import base64
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse

HEADER = struct.Struct(">IHIHIHIIIB")
OPEN, ACKNOWLEDGE, FINISH, RESET = 32, 1, 4, 128
# Path of the readiness check that routers send to instances.
READY_PATH = "/readiness"
CONFIGURATION_KEY = "op/config"

# How long an upstream is cold after a start during traffic, and the requests per second
# that it bears meanwhile.
COLD_START_S, COLD_PER_S = 8, 1


def upstream_key(identity):
    return "servers/i-%x" % identity


def alias_key(identity):
    """A key of another writer that ends in the id of an upstream and sorts before its own."""
    return "servers/a-%x" % identity


def evacuation_key(zone):
    return "op/evacuate/" + zone


def datagram_socket(address, receive_buffer_bytes=None):
    """A UDP socket that is bound to an address and port."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    if receive_buffer_bytes:
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    udp_socket.bind(address)
    return udp_socket


def ip_to_int(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


class Packet:
    """One packet of a flow, in the format that clients and upstreams write."""

    # The tag is a number from which an instance finds the upstream of a flow;
    # both ends echo the last tag that they received, 0 is no tag.
    # Marker field: clients and upstreams write this number, and an instance
    # writes 0 in the resets that it creates itself.
    MARK = 7

    def __init__(self, source, destination, flags, sequence=0, acknowledged=0, tag=0, data=b"",
                 mark=MARK):
        self.source, self.destination, self.flags = source, destination, flags
        self.sequence, self.acknowledged, self.tag, self.data = sequence, acknowledged, tag, data
        self.mark = mark

    @property
    def is_opening(self):
        return bool(self.flags & OPEN)

    @property
    def is_reset(self):
        return bool(self.flags & RESET)

    def encode(self):
        return HEADER.pack(self.mark, len(self.data), ip_to_int(self.destination[0]),
                           self.destination[1],
                           ip_to_int(self.source[0]), self.source[1], self.sequence,
                           self.acknowledged, self.tag, self.flags) + self.data

    @staticmethod
    def decode(raw):
        mark, length, destination, destination_port, source, source_port, sequence, acknowledged, \
            tag, flags = HEADER.unpack(raw[:HEADER.size])
        text = lambda number: socket.inet_ntoa(struct.pack(">I", number))
        assert len(raw) == HEADER.size + length, \
            "the packet length differs from the length in its header"
        return Packet((text(source), source_port), (text(destination), destination_port), flags,
                      sequence, acknowledged, tag, raw[HEADER.size:], mark)


def configuration(version, routes, cold_per_s=0):
    """A configuration; with a rate, the services limit what their cold upstreams get."""
    services = [{"Name": service, "ColdStartS": COLD_START_S, "ColdPerS": cold_per_s}
                for service in sorted(set(routes.values()))] if cold_per_s else []
    return {"Version": version, "Services": services, "Limits": {"IdleTimeoutMs": 15000}, "Routes": [
        {"Name": service, "Host": host, "Prefix": "/%d/" % port, "RouteType": "idempotent",
         "Service": service} for (host, port), service in routes.items()]}


class Store:
    """Keys with revisions, read by ranges and watches. Each instance may get
    a server port of its own, so that the store can refuse the calls of some."""

    # Copies of the store are kept for this long.
    COPY_LIFETIME_S = 10

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 1
        # Rises each time the store returns to a copy.
        self.era = 1
        # Time, revision and items after each change.
        self.copies = [(time.monotonic(), self.revision, {})]
        # The last acknowledged value of each key, which a copy may lack.
        self.acknowledged = {}
        # Changes up to this revision are no longer in the history.
        self.discarded_until = 0
        # Status of every answer while the store is down.
        self.outage_status = None
        self.delay_s = 0
        self.changed = threading.Condition()
        self.servers = []
        self.address = "%s:%d" % self.start_server().server_address

    def start_server(self):
        """Listens on another port. Its attribute `refusal` is the status of all its answers."""
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # An answer is written in several pieces.
            disable_nagle_algorithm = True

            def do_GET(self):
                parts = urllib.parse.urlparse(self.path)
                query = urllib.parse.parse_qs(parts.query, keep_blank_values=True)
                self.respond(lambda: store.answer(parts.path, query))

            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                self.respond(lambda: store.transact(json.loads(body)))

            def respond(self, answer):
                status = self.server.refusal or store.outage_status
                content = {}
                if status is None:
                    status, content = answer()
                time.sleep(store.delay_s)
                body = json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            refusal = None

            def handle_error(self, *_):
                """Ignores errors of connections whose instance ended during its call."""

        server = Server(("127.0.0.1", 0), Handler)
        self.servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    @staticmethod
    def encode(value):
        """Encodes bytes as they are, and any other value as JSON."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        return base64.b64encode(content).decode()

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            text = self.encode(value)
            created_revision = self.items.get(key, {}).get("CreateRev", self.revision)
            self.items[key] = {"Key": key, "Value": text, "Revision": self.revision,
                               "CreateRev": created_revision, "Lease": 0}
            self.acknowledged[key] = value
            self.events.append(self.items[key])
            self.keep_copy()
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.acknowledged.pop(key, None)
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append({"Key": key, "Revision": self.revision, "Deleted": True})
            self.keep_copy()
            self.changed.notify_all()

    def keep_copy(self):
        now = time.monotonic()
        self.copies.append((now, self.revision, dict(self.items)))
        while len(self.copies) > 1 and self.copies[1][0] < now - self.COPY_LIFETIME_S:
            del self.copies[0]

    def restore(self, age_s):
        """Returns to the copy of some seconds ago. What was written since is gone, its
        revisions are given out again, and the era rises."""
        with self.changed:
            then = time.monotonic() - age_s
            old = [copy for copy in self.copies if copy[0] <= then] or self.copies[:1]
            _, self.revision, items = old[-1]
            self.items, self.events, self.discarded_until = dict(items), [], self.revision
            self.copies = [(time.monotonic(), self.revision, dict(items))]
            self.era += 1
            self.changed.notify_all()

    def lost_keys(self):
        """Keys whose acknowledged value the store does not have."""
        return [key for key, value in self.acknowledged.items()
                if key not in self.items
                or self.items[key]["Value"] != self.encode(value)]

    def outdated_keys(self):
        """Keys that were removed before the store returned to a copy that has them."""
        return [key for key in self.items if key not in self.acknowledged]

    def forget_history(self):
        with self.changed:
            self.events, self.discarded_until = [], self.revision

    def transact(self, body):
        """Writes and removes keys if all conditions hold. Returns the status and the content."""
        with self.changed:
            revision = lambda key: self.items.get(key, {}).get("Revision", 0)
            failed = [condition["Key"] for condition in body["ExpectedRev"]
                      if revision(condition["Key"]) != condition["Revision"]]
            if failed:
                return 412, {"items": [self.items[key] for key in failed if key in self.items]}
            for put in body["Puts"]:
                self.put(put["Key"], base64.b64decode(put["Value"]))
            for key in body["Remove"]:
                self.remove(key)
            return 200, {"Revision": self.revision}

    def answer(self, path, query):
        """Returns the status and the content."""
        with self.changed:
            if path == "/kv-range":
                prefix = query["Prefix"][0]
                return 200, {"items": [item for key, item in self.items.items()
                                       if key.startswith(prefix)],
                             "HasMore": False, "StoreRevision": self.revision}
            after = int(query["after"][0])
            pending_events = lambda: [event for event in self.events if event["Revision"] > after]
            era = self.era
            is_history_gone = lambda: (after < self.discarded_until or after > self.revision
                                       or era != self.era)
            self.changed.wait_for(lambda: pending_events() or is_history_gone(),
                                  int(query["WaitMs"][0]) / 1000)
            if is_history_gone():
                return 410, {}
            return 200, {"events": pending_events(), "StoreRevision": self.revision}

    def close(self):
        for server in self.servers:
            server.shutdown()
            server.server_close()


# The largest value that the store takes.
VALUE_BYTES = 1 << 20


def large_foreign_entries():
    """Values of the largest size, in forms that are costly to read."""
    def packed_list(part):
        count = (VALUE_BYTES - 5) // len(part)
        return b"\xdd" + count.to_bytes(4, "big") + part * count

    return [packed_list(b"\x80"), packed_list(b"\x81\xa0\x80"),
            b'{"x":[[]' + b",[]" * ((VALUE_BYTES - 10) // 3) + b"]}",
            b"{" + b"\n" * (VALUE_BYTES - 1)]


def foreign_entries(address):
    """Values of registrations by another writer, none of which names a usable upstream."""
    valid = Upstream.make_registration(address, "chat")
    entries = [{key: value for key, value in valid.items() if key != field}
               for field in ("Service", "Address", "Zone", "State", "Concurrency", "Version",
                             "ColdLeftMs", "Seq")]
    entries += [{**valid, field: value} for field, value in (
        ("Service", 7), ("Address", None), ("Zone", ["zone-a"]), ("State", "asleep"),
        ("Concurrency", "2"), ("Concurrency", -1), ("ColdLeftMs", 1e300), ("born", {}),
        ("Service", "unknown"), ("Address", "10.0.0.1:65536"), ("Address", "10.0.0.1:0"),
        ("Address", "0.0.0.0:80"), ("Zone", "x" * 300000))]
    return entries + [b"", b"\xff\xfe", b'{"Service":', b"\x91" * 100000,
                      b"\xdf\xff\xff\xff\xff", [valid]]


class Upstream:
    """Answers packets directly to the client and records the packets that it
    receives. Listens for TCP connections as well, since instances check whether
    it accepts them."""

    def __init__(self, identity, address, port, client_port, on_packet=None):
        self.identity, self.client_port, self.on_packet = identity, client_port, on_packet
        self.endpoint = (address, port)
        self.address, self.zone = "%s:%d" % self.endpoint, "zone-a"
        self.received = []
        # A silent upstream neither reads nor answers packets.
        self.is_silent = False
        # The next expected sequence number, keyed by the client address of the flow.
        self.flows = {}
        self.start()

    def start(self):
        self.flows.clear()
        self.open_sockets()
        threading.Thread(target=self.serve, args=(self.socket,), daemon=True).start()

    def open_sockets(self):
        self.socket = datagram_socket(self.endpoint)
        self.listener = socket.create_server(self.endpoint)

    def crash(self):
        # A blocked reader would keep the port; shutdown wakes it.
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        self.listener.close()

    @staticmethod
    def make_registration(address, service, state="ready", start_count=1, zone="zone-a",
                          cold_s=0):
        """Returns the registration of an upstream."""
        return {"Service": service, "Address": address, "Zone": zone, "Version": "v1",
                "Concurrency": 2, "State": state, "ColdLeftMs": 1000 * cold_s, "Seq": 1,
                "born": start_count}

    def registration(self, service, state="ready", start_count=1, cold_s=0):
        return self.make_registration(self.address, service, state, start_count, self.zone,
                                      cold_s)

    def serve(self, udp_socket):
        while True:
            try:
                raw, source = udp_socket.recvfrom(2048)
            except OSError:
                return
            if not raw:
                return
            if self.is_silent:
                continue
            try:
                self.handle(raw, source)
            except OSError:
                return

    def handle(self, raw, source):
        addressed_upstream = struct.unpack(">Q", raw[:8])[0]
        packet = Packet.decode(raw[8:])
        if self.on_packet is not None:
            self.on_packet(self, addressed_upstream, packet, source)
        else:
            assert addressed_upstream == self.identity, "a packet for another upstream"
            self.received.append(packet)
        self.respond(packet)

    def respond(self, packet):
        answer = self.answer(packet)
        if answer is not None:
            self.socket.sendto(answer.encode(), (packet.source[0], self.client_port))

    @property
    def sequence(self):
        """The first sequence number of this upstream, different for each upstream."""
        return self.identity % 1000 * 1000 + 7

    def proves_handshake(self, packet):
        """Whether the client acknowledges this upstream's opening answer."""
        return not packet.is_opening and packet.acknowledged == self.sequence + 1

    def answer(self, packet):
        """Returns the answer to the client, or None if there is none."""
        if packet.is_reset:
            self.flows.pop(packet.source, None)
            return None
        if packet.is_opening:
            return Packet(packet.destination, packet.source, OPEN | ACKNOWLEDGE, self.sequence,
                          packet.sequence + 1, packet.tag)
        if packet.source not in self.flows:
            if not self.proves_handshake(packet):
                return Packet(packet.destination, packet.source, RESET, packet.acknowledged, 0,
                              packet.tag)
            self.flows[packet.source] = packet.sequence
        if packet.sequence == self.flows[packet.source]:
            self.flows[packet.source] += len(packet.data)
        if packet.flags & FINISH:
            del self.flows[packet.source]
        return Packet(packet.destination, packet.source, ACKNOWLEDGE, self.sequence + 1,
                      packet.sequence + len(packet.data), packet.tag)


class Client:
    """Sends packets of flows to instances, as the routers would."""

    def __init__(self, address, port):
        self.socket = datagram_socket((address, port))
        self.socket.settimeout(2)
        self.address, self.next_port = address, 40000
        # What the next data packet of each flow acknowledges.
        self.acknowledged = {}

    def open(self, instance, service):
        """Opens a flow through an instance. Returns its port and the answer."""
        self.next_port += 1
        packet = Packet((self.address, self.next_port), service, OPEN, 1000)
        self.socket.sendto(packet.encode(), instance)
        while True:
            answer = Packet.decode(self.socket.recv(2048))
            if answer.destination[1] == self.next_port:
                self.acknowledged[self.next_port] = answer.sequence + 1
                return self.next_port, answer

    def send(self, instance, service, port, tag, data):
        packet = Packet((self.address, port), service, ACKNOWLEDGE, 1001,
                        self.acknowledged[port], tag, data)
        self.socket.sendto(packet.encode(), instance)


def wait_until(condition, what, seconds=5):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "not within %d s: %s" % (seconds, what)
        time.sleep(0.01)
