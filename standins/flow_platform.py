"""A small stand-in of the users' platform: a store, upstreams and a client that
also plays the routers. All of it runs in one process on loopback addresses."""

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


def number_of(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


class Packet:
    """One packet of a flow, as both ends write it."""

    def __init__(self, source, destination, flags, sequence=0, acknowledged=0, tag=0, data=b""):
        self.source, self.destination, self.flags = source, destination, flags
        self.sequence, self.acknowledged, self.tag, self.data = sequence, acknowledged, tag, data

    def encode(self):
        return HEADER.pack(7, len(self.data), number_of(self.destination[0]), self.destination[1],
                           number_of(self.source[0]), self.source[1], self.sequence,
                           self.acknowledged, self.tag, self.flags) + self.data

    @staticmethod
    def decode(raw):
        _, length, to, to_port, by, by_port, sequence, acknowledged, tag, flags = HEADER.unpack(
            raw[:HEADER.size])
        text = lambda number: socket.inet_ntoa(struct.pack(">I", number))
        assert len(raw) == HEADER.size + length, "a packet of another length than it says"
        return Packet((text(by), by_port), (text(to), to_port), flags, sequence, acknowledged, tag,
                      raw[HEADER.size:])


class Store:
    """Keys with revisions, read by ranges and watches."""

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 1
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                parts = urllib.parse.urlparse(self.path)
                query = urllib.parse.parse_qs(parts.query, keep_blank_values=True)
                body = json.dumps(store.answer(parts.path, query)).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            def handle_error(self, *_):
                """An instance may end while its call waits."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_port
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            made = self.items.get(key, {}).get("CreateRev", self.revision)
            self.items[key] = {"Key": key, "Value": text, "Revision": self.revision,
                               "CreateRev": made, "Lease": 0}
            self.events.append(self.items[key])
            self.changed.notify_all()

    def answer(self, path, query):
        with self.changed:
            if path == "/kv-range":
                return {"items": list(self.items.values()), "HasMore": False,
                        "StoreRevision": self.revision}
            after = int(query["after"][0])
            news = lambda: [each for each in self.events if each["Revision"] > after]
            self.changed.wait_for(news, int(query["WaitMs"][0]) / 1000)
            return {"events": news(), "StoreRevision": self.revision}

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Upstream:
    """Answers opening packets directly to the client and notes what it gets."""

    def __init__(self, identity, address, port, client_port):
        self.identity, self.client_port = identity, client_port
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, port))
        self.address = "%s:%d" % (address, port)
        self.received = []
        threading.Thread(target=self.serve, daemon=True).start()

    def registration(self, service, state="ready"):
        return {"Service": service, "Address": self.address, "Zone": "zone-a", "Version": "v1",
                "Concurrency": 2, "State": state, "ColdLeftMs": 0, "Seq": 1, "born": 1}

    def serve(self):
        while True:
            raw = self.socket.recv(2048)
            assert struct.unpack(">Q", raw[:8])[0] == self.identity, "a packet for another upstream"
            packet = Packet.decode(raw[8:])
            self.received.append(packet)
            if packet.flags & OPEN:
                answer = Packet(packet.destination, packet.source, OPEN | ACKNOWLEDGE, 5000,
                                packet.sequence + 1, packet.tag)
                self.socket.sendto(answer.encode(), (packet.source[0], self.client_port))


class Client:
    """Sends packets of flows to instances, as the routers would."""

    def __init__(self, address, port):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, port))
        self.socket.settimeout(2)
        self.address, self.next_port = address, 40000

    def open(self, instance, service):
        """Opens a flow through an instance. Returns its port and the answer."""
        self.next_port += 1
        packet = Packet((self.address, self.next_port), service, OPEN, 1000)
        self.socket.sendto(packet.encode(), instance)
        return self.next_port, Packet.decode(self.socket.recv(2048))

    def send(self, instance, service, port, tag, data):
        packet = Packet((self.address, port), service, ACKNOWLEDGE, 1001, 5001, tag, data)
        self.socket.sendto(packet.encode(), instance)


def wait_until(condition, what, seconds=5):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "not within %d s: %s" % (seconds, what)
        time.sleep(0.01)
