"""Upstreams that answer requests as real ones: with data that they retransmit until the
client acknowledges it. Served by the event loop of the soak."""

import random
import time

from flow_platform import ACKNOWLEDGE, FINISH, OPEN, RESET, Packet, Upstream
from retransmission import Retransmission

# The time to process a request, and the number of packets of its answer.
WORK_S = (0.002, 0.04)
LONG_WORK_S, LONG_SHARE = (0.1, 0.2), 0.02
ANSWER_PACKETS = (1, 3)
# Initial sequence numbers of two upstreams differ by more than a flow ever transfers.
SEQUENCE_DISTANCE = 4_000_000


class ServedFlow:
    """The upstream's side of one flow."""

    def __init__(self, expected, sequence):
        # The next sequence numbers of the client and of this side.
        self.expected, self.sequence = expected, sequence
        self.tag = 0
        self.retransmission = None


class LoopUpstream(Upstream):
    """Answers each request by some numbered packets."""

    def __init__(self, loop, identity, address, port):
        self.loop, self.is_draining, self.ended_flows = loop, False, set()
        self.random = random.Random(identity)
        super().__init__(identity, address, port, port)

    def start(self):
        self.flows.clear()
        self.ended_flows.clear()
        self.is_draining = False
        self.open_sockets()
        self.socket.setblocking(False)
        self.listener.setblocking(False)
        self.loop.watch(self.socket, self.read)
        self.loop.watch(self.listener, self.accept)

    def crash(self):
        for closed in (self.socket, self.listener):
            self.loop.unwatch(closed)
            closed.close()
        for flow in self.flows.values():
            flow.retransmission.stop()
        self.flows.clear()

    @property
    def sequence(self):
        return self.identity % 1000 * SEQUENCE_DISTANCE + 7

    def accept(self):
        """Closes a connection of an instance's check, so that the queue never fills."""
        try:
            self.listener.accept()[0].close()
        except OSError:
            pass

    def read(self):
        """Handles all packets that have arrived."""
        while self.socket.fileno() >= 0:
            try:
                raw, source = self.socket.recvfrom(2048)
            except OSError:
                return
            if not self.is_silent:
                self.handle(raw, source)

    def send(self, packet, flags, sequence, data=b"", tag=0):
        """Sends to the client that sent the given packet."""
        if self.is_silent or self.socket.fileno() < 0:
            return
        flow = self.flows.get(packet.source)
        expected = flow.expected if flow else packet.sequence + len(packet.data)
        answer = Packet(packet.destination, packet.source, flags, sequence, expected,
                        flow.tag if flow else tag, data)
        try:
            self.socket.sendto(answer.encode(), (packet.source[0], self.client_port))
        except OSError:
            pass

    def respond(self, packet):
        flow = self.flows.get(packet.source)
        if packet.is_reset:
            self.end_flow(packet.source)
        elif packet.is_opening:
            answer = self.answer(packet)
            self.socket.sendto(answer.encode(), (packet.source[0], self.client_port))
        elif flow is None and not self.accept_flow(packet):
            self.refuse(packet)
        else:
            self.take(packet, self.flows[packet.source])

    def accept_flow(self, packet):
        if not self.proves_handshake(packet) or packet.source in self.ended_flows:
            return False
        flow = ServedFlow(packet.sequence, self.sequence + 1)
        flow.retransmission = Retransmission(self.loop, lambda: self.end_flow(packet.source))
        self.flows[packet.source] = flow
        return True

    def refuse(self, packet):
        """Answers a packet of a flow that has ended or never was open here."""
        if packet.source not in self.ended_flows or packet.data:
            self.send(packet, RESET, packet.acknowledged, tag=packet.tag)
        elif packet.flags & FINISH:
            self.send(packet, ACKNOWLEDGE | FINISH, packet.acknowledged, tag=packet.tag)

    def end_flow(self, client):
        flow = self.flows.pop(client, None)
        if flow:
            flow.retransmission.stop()
            self.ended_flows.add(client)

    def take(self, packet, flow):
        flow.tag = packet.tag
        flow.retransmission.acknowledge(packet.acknowledged)
        if packet.data and packet.sequence == flow.expected:
            flow.expected += len(packet.data)
            self.loop.after(self.work_time(), lambda: self.answer_request(packet, flow))
        elif packet.data:
            self.send(packet, ACKNOWLEDGE, flow.sequence)
        if packet.flags & FINISH:
            self.send(packet, ACKNOWLEDGE | FINISH, flow.sequence)
            self.end_flow(packet.source)

    def work_time(self):
        return self.random.uniform(
            *(LONG_WORK_S if self.random.random() < LONG_SHARE else WORK_S))

    def answer_request(self, packet, flow):
        if self.flows.get(packet.source) is not flow:
            return
        count = self.random.randint(*ANSWER_PACKETS)
        for number in range(1, count + 1):
            is_last = number == count
            flags = ACKNOWLEDGE | (FINISH if is_last and self.is_draining else 0)
            data, sequence = b"part %d of %d" % (number, count), flow.sequence
            flow.sequence += len(data)
            flow.retransmission.add(
                flow.sequence,
                lambda flags=flags, sequence=sequence, data=data: self.send(packet, flags,
                                                                            sequence, data))
