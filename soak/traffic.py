"""Clients whose packets the fabric spreads over instances, with loss, duplicates and
delays. A client keeps a flow open for many requests, or opens one for each request. All
run in one thread, so that events reach the oracle in order."""

import collections
import itertools
import random
import time

from flow_platform import ACKNOWLEDGE, FINISH, OPEN, Packet, datagram_socket
from retransmission import Retransmission

LOSS, DUPLICATION, DELAY = 0.01, 0.01, 0.05
MAX_DELAY_S = 0.03
# Delays of the retransmissions of an opening packet, and the time limit of an
# attempt to open a flow, as in real clients.
OPENING_RETRANSMITS_S = (0.2, 0.6)
OPENING_LIMIT_S = 1.4
# A client gives up a request after this time and opens another flow for it.
REQUEST_LIMIT_S = 4
# Between the requests of a flow, unless it says otherwise.
PAUSE_S = (1.4, 2.6)
# A client ignores a reset whose number is further from what it acknowledged.
RESET_WINDOW = 76800
FIRST_PORT, LAST_PORT = 20000, 60000
RECEIVE_BUFFER_BYTES = 1 << 20


class Client:
    """One address from which flows are opened."""

    def __init__(self, address, port, zone):
        self.address, self.zone = address, zone
        self.socket = datagram_socket((address, port), RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)


class Flow:
    """The client side of one flow."""

    def __init__(self, client, port, route, requests, instance=None, pause=PAUSE_S):
        self.client, self.port, self.route, self.requests_left = client, port, route, requests
        # The instance that gets all packets; None lets the fabric choose.
        self.instance = instance
        self.pause = pause
        self.state, self.tag = "opening", 0
        self.sequence = self.acknowledged = 0
        self.retransmission = None
        self.unacknowledged_packets = 0
        # Counts requests, so that the time limit of an earlier one has no effect.
        self.request = 0
        self.is_waiting = False

    @property
    def address(self):
        return self.client.address, self.port


class Probe(Flow):
    """An opening packet to one instance, for a route that is added and removed."""

    def __init__(self, client, port, route, instance, start_count, oldest_version, sent):
        super().__init__(client, port, route, 0, instance)
        self.start_count, self.sent = start_count, sent
        self.oldest_version = oldest_version


class Clients:
    def __init__(self, loop, clients, fabric, oracle, seed):
        self.loop, self.clients, self.fabric, self.oracle = loop, clients, fabric, oracle
        self.random = random.Random(seed)
        self.ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
        self.flows, self.sent_at = {}, {}
        self.upstream_is_undisturbed = lambda upstream: True
        # Hands over what upstreams have received but not read yet.
        self.read_upstreams = lambda: None
        self.opened = self.finished = self.broken = self.refused = self.open_flows = 0
        self.ignored_resets = self.probes = self.answered_probes = 0
        self.requests = self.answers = 0
        # Why flows were broken off.
        self.causes = collections.Counter()
        for client in clients:
            self.resume(client)

    def resume(self, client):
        self.loop.watch(client.socket, lambda: self.read(client))

    def suspend(self, client):
        """Lets packets for a client wait until it resumes."""
        self.loop.unwatch(client.socket)

    def choose_client(self, zone=None):
        return self.random.choice([client for client in self.clients
                                   if zone in (None, client.zone)])

    # Sending.

    def send(self, flow, packet):
        self.oracle.record_sent_packet(packet)
        self.sent_at.setdefault(self.oracle.packet_key(packet), time.monotonic())
        instance = flow.instance or self.fabric.choose(packet, flow.client.zone)
        send = lambda: flow.client.socket.sendto(packet.encode(), instance.data_address)
        for _ in range(2 if self.random.random() < DUPLICATION else 1):
            if self.random.random() < LOSS:
                continue
            if self.random.random() < DELAY:
                self.loop.after(self.random.uniform(0, MAX_DELAY_S), send)
            else:
                send()

    def packet(self, flow, flags, data=b""):
        return Packet(flow.address, flow.route, flags, flow.sequence, flow.acknowledged, flow.tag,
                      data)

    def open(self, route, requests, instance=None, pause=PAUSE_S):
        client = self.choose_client(instance.zone if instance else None)
        flow = Flow(client, next(self.ports), route, requests, instance, pause)
        flow.retransmission = Retransmission(self.loop, lambda: self.break_off(flow, "no answer"))
        self.flows[flow.address] = flow
        self.opened += 1
        self.open_flows += 1
        self.send_opening(flow)
        self.loop.after(OPENING_LIMIT_S, lambda: self.give_up_opening(flow))
        return flow

    def probe(self, route, instance):
        now = time.monotonic()
        flow = Probe(self.choose_client(instance.zone), next(self.ports), route, instance,
                     instance.start_count,
                     self.oracle.oldest_version(instance.name, instance.start_count), now)
        self.flows[flow.address] = flow
        self.probes += 1
        self.send_opening(flow)

    def send_opening(self, flow):
        self.send(flow, self.packet(flow, OPEN))
        for copy, delay in enumerate(OPENING_RETRANSMITS_S, start=1):
            self.loop.after(delay, lambda copy=copy: self.retransmit_opening(flow, copy))

    def retransmit_opening(self, flow, copy):
        if flow.state in ("opening", "forwarded") and flow.sequence == 0:
            # The acknowledgement field of a retransmission carries its number.
            packet = self.packet(flow, OPEN)
            packet.acknowledged = copy
            self.send(flow, packet)

    def give_up_opening(self, flow):
        if flow.state == "opening":
            self.break_off(flow, "not opened in time")

    def send_request(self, flow):
        if flow.state != "open":
            return
        self.requests += 1
        flow.requests_left -= 1
        flow.request += 1
        flow.is_waiting = True
        self.transmit(flow, ACKNOWLEDGE, b"flow %d request %d" % (flow.port, flow.request))
        self.loop.after(REQUEST_LIMIT_S,
                        lambda request=flow.request: self.give_up_request(flow, request))

    def give_up_request(self, flow, request):
        if flow.is_waiting and flow.request == request:
            self.break_off(flow, "no answer in time")

    def transmit(self, flow, flags, data):
        """Sends data or the end of the flow until the upstream acknowledges it."""
        sequence = flow.sequence
        flow.sequence += len(data)

        def send():
            packet = self.packet(flow, flags, data)
            packet.sequence = sequence
            self.send(flow, packet)

        # The end of a flow is answered by its end, which stops the retransmission.
        flow.retransmission.add(flow.sequence + (1 if flags & FINISH else 0), send)

    def break_off(self, flow, cause):
        if flow.state in ("opening", "open", "closing"):
            self.causes[cause] += 1
            self.end(flow, "broken")

    def end(self, flow, state):
        if flow.state not in ("opening", "open", "closing"):
            return
        flow.state = state
        self.open_flows -= 1
        flow.is_waiting = False
        flow.retransmission.stop()
        if state == "finished":
            self.finished += 1
        elif state == "refused":
            self.refused += 1
        else:
            self.broken += 1

    # Receiving.

    def read(self, client):
        while True:
            try:
                raw = client.socket.recv(2048)
            except OSError:
                return
            self.receive(Packet.decode(raw))

    def receive(self, packet):
        flow = self.flows.get(packet.destination)
        if flow is None or packet.source != flow.route:
            return
        if packet.is_reset:
            self.receive_reset(flow, packet)
        elif packet.is_opening:
            self.receive_opening_answer(flow, packet)
        elif flow.state in ("open", "closing"):
            self.receive_data(flow, packet)

    def receive_data(self, flow, packet):
        flow.tag = packet.tag
        flow.retransmission.acknowledge(packet.acknowledged)
        if packet.data and packet.sequence != flow.acknowledged:
            # A packet that came before, or one after a lost packet.
            self.send(flow, self.packet(flow, ACKNOWLEDGE))
            return
        if packet.data:
            flow.acknowledged += len(packet.data)
            self.acknowledge(flow, packet)
        if packet.flags & FINISH:
            self.finish(flow)

    def acknowledge(self, flow, packet):
        """Acknowledges every second packet and the end of an answer."""
        words = packet.data.split()
        is_last = words[1] == words[3]
        flow.unacknowledged_packets += 1
        if flow.unacknowledged_packets == 2 or is_last:
            flow.unacknowledged_packets = 0
            self.send(flow, self.packet(flow, ACKNOWLEDGE))
        if not is_last or flow.state != "open":
            return
        self.answers += 1
        flow.is_waiting = False
        if flow.requests_left > 0:
            self.loop.after(self.random.uniform(*flow.pause), lambda: self.send_request(flow))
        elif not packet.flags & FINISH:
            flow.state = "closing"
            self.transmit(flow, ACKNOWLEDGE | FINISH, b"")

    def finish(self, flow):
        """The upstream has ended the flow, in answer to the client's end or before it."""
        if flow.state == "open":
            self.send(flow, self.packet(flow, ACKNOWLEDGE | FINISH))
        self.end(flow, "finished")

    def receive_opening_answer(self, flow, packet):
        # A second answer, to a retransmission that took another path, is ignored.
        if flow.sequence != 0:
            return
        flow.sequence, flow.acknowledged, flow.tag = 1, packet.sequence + 1, packet.tag
        if isinstance(flow, Probe):
            self.answered_probes += 1
            self.send(flow, self.packet(flow, ACKNOWLEDGE | FINISH))
        elif flow.state == "opening":
            flow.state = "open"
            self.send_request(flow)

    def receive_reset(self, flow, packet):
        now = time.monotonic()
        is_from_instance = packet.mark == 0
        if isinstance(flow, Probe):
            if is_from_instance and flow.state == "opening":
                flow.state = "refused"
                self.oracle.check_probe(flow.instance.name, flow.start_count, flow.route, False,
                                        flow.sent, flow.oldest_version, now)
            return
        if is_from_instance:
            self.read_upstreams()
            self.oracle.client_was_reset(packet, self.upstream_is_undisturbed, now)
        if flow.state == "opening":
            self.end(flow, "refused")
        elif abs(packet.sequence - flow.acknowledged) > RESET_WINDOW:
            self.ignored_resets += 1
        else:
            self.break_off(flow, "reset by an instance" if is_from_instance
                           else "reset by an upstream")

    def take_arrival(self, upstream, addressed_upstream, packet, instance, proves_handshake):
        now = time.monotonic()
        sent = self.sent_at.get(self.oracle.packet_key(packet), now)
        self.oracle.upstream_got(upstream, addressed_upstream, packet, instance,
                                 proves_handshake, sent, now)
        flow = self.flows.get(packet.source)
        if isinstance(flow, Probe) and flow.state == "opening" and packet.is_opening:
            flow.state = "forwarded"
            self.oracle.check_probe(flow.instance.name, flow.start_count, flow.route, True,
                                    flow.sent, flow.oldest_version, now)
