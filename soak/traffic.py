"""Clients whose packets the fabric spreads over instances, with loss, duplicates and
delays. Everything runs in one thread, so that events reach the oracle in order."""

import collections
import heapq
import itertools
import random
import select
import threading
import time
import zlib

from flow_platform import ACKNOWLEDGE, FINISH, OPEN, Packet, datagram_socket

LOSS, DUPLICATION, DELAY = 0.01, 0.01, 0.05
MAX_DELAY_S = 0.03
# Delays of the retransmissions of an opening packet, and the time limit of an
# attempt to open a flow, as in real clients.
OPENING_RETRANSMITS_S = (0.2, 0.6)
OPENING_LIMIT_S = 1.4
RETRANSMIT_S = 0.2
MAX_RETRANSMITS = 8
FIRST_PORT = 20000
LAST_PORT = 60000


class Fabric:
    """Chooses the instance of a packet among those that report to be ready."""

    POLL_S = 0.5
    FAILED_POLLS_UNTIL_REMOVED = 2

    def __init__(self, instances):
        self.instances, self.failed_polls = instances, {instance.name: 0 for instance in instances}
        for instance in instances:
            threading.Thread(target=self.poll, args=(instance,), daemon=True).start()

    def poll(self, instance):
        while True:
            is_ready = instance.is_ready(timeout=self.POLL_S)
            self.failed_polls[instance.name] = \
                0 if is_ready else self.failed_polls[instance.name] + 1
            time.sleep(self.POLL_S)

    def choose(self, packet):
        ready = [instance for instance in self.instances
                 if self.failed_polls[instance.name] < self.FAILED_POLLS_UNTIL_REMOVED]
        candidates = ready if 2 * len(ready) >= len(self.instances) else self.instances
        return candidates[
            zlib.crc32(repr((packet.source, packet.destination)).encode()) % len(candidates)]


class Flow:
    """The client side of one flow."""

    def __init__(self, port, route, packets, instance=None):
        self.port, self.route, self.packets_left = port, route, packets
        # The instance that gets all packets; None lets the fabric choose.
        self.instance = instance
        self.state, self.copies, self.tag = "opening", 0, 0
        self.sequence = self.acknowledged = 0
        self.unacknowledged, self.retransmits = None, 0


class Probe(Flow):
    """An opening packet to one instance, for a route that is added and removed."""

    def __init__(self, port, route, instance, start_count, oldest_version, sent):
        super().__init__(port, route, 0, instance)
        self.start_count, self.sent = start_count, sent
        self.oldest_version = oldest_version


class Clients:
    def __init__(self, address, port, fabric, oracle, seed):
        self.address, self.fabric, self.oracle = address, fabric, oracle
        self.random = random.Random(seed)
        self.socket = datagram_socket((address, port))
        self.ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
        self.flows, self.sent_at = {}, {}
        # Timers and delayed datagrams, ordered by time.
        self.timers, self.timer_ids = [], itertools.count()
        # Packets that upstreams received, added by the threads of the upstreams.
        self.arrivals = collections.deque()
        self.upstream_is_undisturbed = lambda upstream: True
        self.opened = self.finished = self.broken = self.refused = 0

    # Time.

    def after(self, seconds, action):
        heapq.heappush(self.timers, (time.monotonic() + seconds, next(self.timer_ids), action))

    def run(self, seconds):
        """Runs the clients for the given time."""
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            while self.timers and self.timers[0][0] <= now:
                heapq.heappop(self.timers)[2]()
            self.take_arrivals()
            wait = min(end, self.timers[0][0] if self.timers else end, now + 0.01) - now
            if select.select([self.socket], [], [], max(wait, 0))[0]:
                self.receive(Packet.decode(self.socket.recv(2048)))

    # Sending.

    def send(self, packet, instance=None):
        self.oracle.record_sent_packet(packet)
        self.sent_at.setdefault(self.oracle.packet_key(packet), time.monotonic())
        destination = (instance or self.fabric.choose(packet)).data_address
        for _ in range(2 if self.random.random() < DUPLICATION else 1):
            if self.random.random() < LOSS:
                continue
            if self.random.random() < DELAY:
                self.after(self.random.uniform(0, MAX_DELAY_S),
                           lambda: self.socket.sendto(packet.encode(), destination))
            else:
                self.socket.sendto(packet.encode(), destination)

    def packet(self, flow, flags, data=b""):
        return Packet((self.address, flow.port), flow.route, flags, flow.sequence,
                      flow.acknowledged, flow.tag, data)

    def open(self, route, packets, instance=None):
        flow = Flow(next(self.ports), route, packets, instance)
        self.flows[flow.port] = flow
        self.opened += 1
        self.send(self.packet(flow, OPEN), instance)
        for copy, delay in enumerate(OPENING_RETRANSMITS_S, start=1):
            self.after(delay, lambda copy=copy: self.retransmit_opening(flow, copy))
        self.after(OPENING_LIMIT_S, lambda: self.give_up_opening(flow))
        return flow

    def probe(self, route, instance, start_count):
        now = time.monotonic()
        flow = Probe(next(self.ports), route, instance, start_count,
                     self.oracle.oldest_version(instance.name, start_count), now)
        self.flows[flow.port] = flow
        self.send(self.packet(flow, OPEN), instance)

    def retransmit_opening(self, flow, copy):
        if flow.state == "opening":
            # The acknowledgement field of a retransmission carries its number.
            packet = self.packet(flow, OPEN)
            packet.acknowledged = copy
            self.send(packet, flow.instance)

    def give_up_opening(self, flow):
        if flow.state == "opening":
            self.end(flow, "broken")

    def send_data(self, flow):
        if flow.state != "open" or flow.unacknowledged:
            return
        flow.packets_left -= 1
        is_last = flow.packets_left <= 0
        flow.unacknowledged = self.packet(flow, ACKNOWLEDGE | (FINISH if is_last else 0),
                                   b"flow %d packet %d" % (flow.port, flow.packets_left))
        flow.retransmits = 0
        self.transmit(flow, flow.unacknowledged)

    def transmit(self, flow, packet):
        if flow.unacknowledged is not packet or flow.state != "open":
            return
        if flow.retransmits > MAX_RETRANSMITS:
            self.end(flow, "broken")
            return
        packet.tag = flow.tag
        self.send(packet, flow.instance)
        self.after(min(RETRANSMIT_S * 2 ** flow.retransmits, 1.6),
                   lambda: self.transmit(flow, packet))
        flow.retransmits += 1

    def end(self, flow, state):
        flow.state = state
        if state == "finished":
            self.finished += 1
        elif state == "refused":
            self.refused += 1
        else:
            self.broken += 1

    # Receiving.

    def receive(self, packet):
        flow = self.flows.get(packet.destination[1])
        if flow is None:
            return
        if packet.is_reset:
            self.receive_reset(flow, packet)
            return
        if packet.is_opening:
            self.receive_opening_answer(flow, packet)
            return
        flow.tag = packet.tag
        if flow.unacknowledged and packet.acknowledged >= (
                flow.unacknowledged.sequence + len(flow.unacknowledged.data)):
            flow.sequence = packet.acknowledged
            flow.unacknowledged = None
            if flow.packets_left <= 0:
                self.end(flow, "finished")
            else:
                self.after(self.random.uniform(0, 0.4), lambda: self.send_data(flow))

    def receive_opening_answer(self, flow, packet):
        # A second answer, to a retransmission that took another path, is ignored.
        if flow.sequence != 0:
            return
        flow.sequence, flow.acknowledged, flow.tag = 1, packet.sequence + 1, packet.tag
        if isinstance(flow, Probe):
            self.send(self.packet(flow, ACKNOWLEDGE | FINISH), flow.instance)
        elif flow.state == "opening":
            flow.state = "open"
            self.send_data(flow)

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
            self.take_arrivals()
            self.oracle.client_was_reset(packet, self.upstream_is_undisturbed, now)
        if flow.state in ("opening", "open"):
            self.end(flow, "refused" if flow.state == "opening" else "broken")

    def take_arrivals(self):
        while self.arrivals:
            self.take_arrival(*self.arrivals.popleft())

    def take_arrival(self, upstream, addressed_upstream, packet, instance, proves_handshake, now):
        sent = self.sent_at.get(self.oracle.packet_key(packet), now)
        self.oracle.upstream_got(upstream, addressed_upstream, packet, instance,
                                 proves_handshake, sent, now)
        flow = self.flows.get(packet.source[1])
        if isinstance(flow, Probe) and flow.state == "opening" and packet.is_opening:
            flow.state = "forwarded"
            self.oracle.check_probe(flow.instance.name, flow.start_count, flow.route, True,
                                    flow.sent,
                                    flow.oldest_version, now)
