"""Clients and targets that speak the packets of the platform's pages."""

import itertools
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standins"))
from flow_platform import (ACKNOWLEDGE, FINISH, OPEN, RESET, Packet,  # noqa: E402
                           datagram_socket, upstream_key)

# Copies of an opening packet, and the end of the attempt.
OPENING_COPIES_S = (0.2, 0.6)
OPENING_LIMIT_S = 1.4
FIRST_RETRANSMISSION_S, MAX_RETRANSMISSION_S = 0.2, 1.6
RESET_WINDOW = 76800
RECEIVE_BUFFER_BYTES = 1 << 20


def request_bytes(method, request_id):
    return ("%s / HTTP/1.1\r\nHost: flow\r\nIndigopoint-Request-Id: %s\r\n"
            "Content-Length: 0\r\n\r\n" % (method, request_id)).encode()


def request_id_of(data):
    for line in data.decode("latin-1").split("\r\n"):
        if line.startswith("Indigopoint-Request-Id: "):
            return line.partition(": ")[2]
    return None


def answer_bytes(request_id):
    return ("HTTP/1.1 200 OK\r\nIndigopoint-Response-Signature: %s\r\nContent-Length: 2\r\n\r\nok"
            % request_id).encode()


class Target:
    """Answers the requests of its flows and renews its registration."""

    # How long the work on a request takes.
    WORK_S = 0.015

    def __init__(self, loop, store, identity, service, zone, endpoint, client_port, heartbeat_s):
        self.loop, self.store, self.identity, self.service = loop, store, identity, service
        self.zone, self.endpoint, self.client_port = zone, endpoint, client_port
        self.heartbeat_s, self.sequence_number = heartbeat_s, 0
        self.number, self.flows = identity & 0xffff, {}
        self.state, self.is_listening = "ready", True
        # Called with each packet of a client that arrives; a packet for which it returns
        # False is lost on the way.
        self.on_arrival = lambda target, packet, source: True
        self.on_open = lambda target, packet, source: None
        # An answer for which it returns False is lost on the way to the client.
        self.on_answer = lambda packet: True
        self.record = lambda text: None
        self.socket = datagram_socket(endpoint, RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)
        self.listener = socket.create_server(endpoint)
        self.listener.setblocking(False)
        loop.watch(self.socket, self.read)
        loop.watch(self.listener, self.accept)

    @property
    def initial_sequence(self):
        return self.number * 4_000_000 + 7

    @property
    def name(self):
        return "%s-%d" % (self.service, self.number)

    def registration(self):
        self.sequence_number += 1
        return {"Service": self.service, "Address": "%s:%d" % self.endpoint, "Zone": self.zone,
                "Version": "v1", "Concurrency": 2, "State": self.state, "ColdLeftMs": 0,
                "Seq": self.sequence_number, "born": 1_700_000_000_000 + self.number}

    def check_in(self):
        self.store.put(upstream_key(self.identity), self.registration())

    def keep_checking_in(self):
        if self.state == "gone":
            return
        self.check_in()
        self.loop.after(self.heartbeat_s, self.keep_checking_in)

    def is_serving(self, port):
        """Whether a client's flow is open here."""
        return self.state != "gone" and any(client[1] == port for client in self.flows)

    def stop_listening(self):
        """Takes no new connections; open flows go on."""
        self.is_listening = False
        self.loop.unwatch(self.listener)
        self.listener.close()

    def exit(self):
        """Ends the process after its registration was removed."""
        self.state = "gone"
        self.store.remove(upstream_key(self.identity))
        if self.is_listening:
            self.stop_listening()
        self.loop.unwatch(self.socket)
        self.socket.close()

    def accept(self):
        try:
            self.listener.accept()[0].close()
        except OSError:
            pass

    def read(self):
        while True:
            try:
                raw, source = self.socket.recvfrom(2048)
            except OSError:
                return
            packet = Packet.decode(raw[8:])
            if int.from_bytes(raw[:8], "big") not in (0, self.identity):
                self.on_arrival(self, packet, source)
                continue
            if self.on_arrival(self, packet, source):
                self.take(packet, source)

    def send(self, packet, flags, sequence, data=b""):
        flow = self.flows.get(packet.source)
        acknowledged = flow["expected"] if flow else packet.sequence + len(packet.data) + 1
        answer = Packet(packet.destination, packet.source, flags, sequence, acknowledged,
                        packet.tag, data)
        if not self.on_answer(answer):
            return
        self.socket.sendto(answer.encode(), (packet.source[0], self.client_port))

    def take(self, packet, source):
        if packet.is_opening and self.is_listening:
            self.send(packet, OPEN | ACKNOWLEDGE, self.initial_sequence)
            return
        if packet.is_opening:
            self.send(packet, RESET, packet.acknowledged)
            return
        if packet.is_reset:
            self.flows.pop(packet.source, None)
            return
        flow = self.flows.get(packet.source)
        if flow is None:
            if packet.acknowledged != self.initial_sequence + 1:
                self.send(packet, RESET, packet.acknowledged)
                return
            flow = self.flows[packet.source] = {"expected": packet.sequence,
                                                "next": self.initial_sequence + 1, "last": None}
            self.on_open(self, packet, source)
        if packet.flags & FINISH:
            self.send(packet, ACKNOWLEDGE | FINISH, flow["next"])
            del self.flows[packet.source]
        elif packet.data and packet.sequence == flow["expected"]:
            flow["expected"] += len(packet.data)
            self.record("%s runs request %s" % (self.name, request_id_of(packet.data)))
            self.loop.after(self.WORK_S, lambda: self.answer(packet, flow))
        elif packet.data and flow["last"]:
            # A repeated request: its answer was lost.
            self.send_last(packet, flow)

    def answer(self, packet, flow):
        if self.flows.get(packet.source) is not flow:
            return
        data = answer_bytes(request_id_of(packet.data))
        flow["last"] = (flow["next"], data)
        flow["next"] += len(data)
        flow["is_ending"] = self.state == "draining"
        self.send_last(packet, flow)

    def send_last(self, packet, flow):
        """A draining target closes a flow after its next response."""
        self.send(packet, ACKNOWLEDGE | (FINISH if flow["is_ending"] else 0), *flow["last"])


class Flow:
    """A client's side of one flow."""

    def __init__(self, clients, port, route, method, machine):
        self.clients, self.port, self.route, self.method = clients, port, route, method
        # The machine that gets the packets; None leaves it to the routers.
        self.machine = machine
        self.state, self.tag = "opening", 0
        # A client that uses its port again begins with another number.
        self.initial_sequence = port * 7919 % 1_000_000_007
        self.sequence = self.acknowledged = 0
        self.waiting_for, self.request = None, 0
        self.opened_at = None

    @property
    def address(self):
        return (self.clients.address, self.port)


class Clients:
    """The clients at one address."""

    def __init__(self, loop, routers, address, port):
        self.loop, self.routers, self.address = loop, routers, address
        self.socket = datagram_socket((address, port), RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)
        self.ports, self.flows = itertools.count(20000), {}
        loop.watch(self.socket, self.read)
        self.record = lambda text: None
        # Called when a flow opens, is reset, gets an answer or ends without one.
        self.on_event = lambda flow, event, detail: None
        # Whether a client sends a request as soon as its flow is open.
        self.sends_at_once = True
        # A packet for which it returns False is lost on the way to a machine.
        self.on_send = lambda flow, packet, machine: True

    def open(self, route, method, machine=None):
        flow = Flow(self, next(self.ports), route, method, machine)
        self.flows[flow.port] = flow
        flow.opened_at = self.loop.now()
        self.send_opening(flow, 0)
        for copy, delay in enumerate(OPENING_COPIES_S, start=1):
            self.loop.after(delay, lambda copy=copy: self.send_opening(flow, copy))
        self.loop.after(OPENING_LIMIT_S, lambda: self.give_up_opening(flow))
        return flow

    def send(self, flow, flags, sequence, acknowledged, data=b""):
        packet = Packet(flow.address, flow.route, flags, sequence, acknowledged, flow.tag, data)
        machine = flow.machine or self.routers.choose(flow.address, flow.route)
        if packet.is_opening:
            self.record("flow %d to %s:%d: opening packet, copy %d, to %s" % (
                flow.port, *flow.route, acknowledged, machine.name))
        if self.on_send(flow, packet, machine):
            self.socket.sendto(packet.encode(), machine.data_address)

    def send_opening(self, flow, copy):
        if flow.state == "opening":
            self.send(flow, OPEN, flow.initial_sequence, copy)

    def give_up_opening(self, flow):
        if flow.state == "opening":
            self.end(flow, "not opened", "")

    def end(self, flow, event, detail):
        flow.state = "ended"
        self.flows.pop(flow.port, None)
        self.report(flow, event, detail)

    def report(self, flow, event, detail):
        self.record("flow %d: %s %s" % (flow.port, event, detail))
        self.on_event(flow, event, detail)

    def send_request(self, flow):
        """Sends the next request of an open flow, and repeats it until its answer is there."""
        if flow.state != "open" or flow.waiting_for:
            return
        flow.request += 1
        flow.waiting_for = "%d-%d" % (flow.port, flow.request)
        self.record("request %s is sent" % flow.waiting_for)
        data = request_bytes(flow.method, flow.waiting_for)
        sequence = flow.sequence
        flow.sequence += len(data)
        self.transmit(flow, flow.waiting_for, sequence, data, FIRST_RETRANSMISSION_S)

    def transmit(self, flow, request_id, sequence, data, delay):
        if flow.state != "open" or flow.waiting_for != request_id:
            return
        self.send(flow, ACKNOWLEDGE, sequence, flow.acknowledged, data)
        self.loop.after(delay, lambda: self.transmit(flow, request_id, sequence, data,
                                                     min(2 * delay, MAX_RETRANSMISSION_S)))

    def close(self, flow):
        if flow.state == "open":
            self.send(flow, ACKNOWLEDGE | FINISH, flow.sequence, flow.acknowledged)
            flow.state = "ended"

    def read(self):
        while True:
            try:
                packet = Packet.decode(self.socket.recv(2048))
            except OSError:
                return
            flow = self.flows.get(packet.destination[1])
            if flow is not None and packet.source == flow.route:
                self.take(flow, packet)

    def take(self, flow, packet):
        if packet.is_reset:
            sender = "the system" if packet.mark == 0 else "a target"
            if flow.state == "opening":
                self.end(flow, "refused", sender)
            elif flow.state == "open" and \
                    abs(packet.sequence - flow.acknowledged) <= RESET_WINDOW:
                self.end(flow, "reset", sender)
        elif packet.is_opening:
            if flow.state == "opening":
                flow.state, flow.sequence = "open", flow.initial_sequence + 1
                flow.acknowledged, flow.tag = packet.sequence + 1, packet.tag
                self.report(flow, "opened", "")
                if self.sends_at_once:
                    self.send_request(flow)
                else:
                    self.send(flow, ACKNOWLEDGE, flow.sequence, flow.acknowledged)
        elif flow.state == "open":
            flow.tag = packet.tag
            if packet.data and packet.sequence == flow.acknowledged:
                flow.acknowledged += len(packet.data)
                request_id, flow.waiting_for = flow.waiting_for, None
                self.send(flow, ACKNOWLEDGE, flow.sequence, flow.acknowledged)
                self.report(flow, "answered", request_id)
            if packet.flags & FINISH and not flow.waiting_for:
                self.close(flow)
