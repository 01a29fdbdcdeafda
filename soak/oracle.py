"""Judges what clients and upstreams of forwarders see. Shares no code with the
product: it knows what was written to the store, which process was disturbed
when, and every packet that either end sent or got."""

import dataclasses
import math


@dataclasses.dataclass
class Bounds:
    """Seconds after the store's acknowledgement, for instances in touch."""

    # Undisturbed this long, an instance is in touch.
    stable: float = 2.0
    configuration: float = 2.0
    drain: float = 2.0
    # A loaded machine may hold a packet or a thread of the oracle up this long.
    slack: float = 0.5


@dataclasses.dataclass
class Version:
    """One configuration: when the store was asked to take it, and when it had."""

    number: int
    routes: dict
    written: float
    acknowledged: float


class Disturbances:
    """When something was last done to an instance, an upstream or the store."""

    def __init__(self):
        self.active, self.ended = {}, {}

    def begin(self, name):
        self.active[name] = self.active.get(name, 0) + 1

    def end(self, name, now):
        self.active[name] -= 1
        self.ended[name] = now

    def is_calm(self, name, since):
        return not self.active.get(name) and self.ended.get(name, -math.inf) < since


class Oracle:
    def __init__(self, bounds=None):
        self.bounds = bounds or Bounds()
        self.violations, self.versions = [], []
        self.disturbances = Disturbances()
        # By upstream: its service, and when the store had its drain.
        self.services, self.draining = {}, {}
        # What clients wrote, by their end, flags, sequence, acknowledgement and data.
        self.written = set()
        # The upstream that has the end of the handshake, by the client's end.
        self.holders = {}
        # The oldest version that an instance may still follow, by its boot.
        self.oldest_versions = {}

    def violate(self, now, text):
        self.violations.append("%.3f: %s" % (now, text))

    # What the surroundings do.

    def note_version(self, version):
        self.versions.append(version)

    def note_upstream(self, upstream, service):
        self.services[upstream] = service
        self.draining.pop(upstream, None)

    def note_drain(self, upstream, acknowledged):
        self.draining.setdefault(upstream, acknowledged)

    def note_upstream_lost_flows(self, upstream):
        for flow in [flow for flow, holder in self.holders.items() if holder == upstream]:
            del self.holders[flow]

    def in_touch(self, instance, now):
        since = now - self.bounds.stable
        return (self.disturbances.is_calm(instance, since)
                and self.disturbances.is_calm("store", since))

    def current_version(self, when):
        """The newest version that the store had acknowledged."""
        known = [each for each in self.versions if each.acknowledged <= when]
        return known[-1] if known else self.versions[0]

    # What both ends see.

    @staticmethod
    def identity(packet):
        return (packet.source, packet.destination, packet.flags, packet.sequence,
                packet.acknowledged, packet.data, packet.mark)

    def client_wrote(self, packet):
        self.written.add(self.identity(packet))

    def upstream_got(self, upstream, named, packet, instance, proves_handshake, sent, now):
        """`sent` is when the client first sent this packet."""
        if named not in (0, upstream):
            self.violate(now, "misdelivered: %x got a packet for %x" % (upstream, named))
        if self.identity(packet) not in self.written:
            self.violate(now, "altered: %x got a packet that no client wrote" % upstream)
        if packet.opens:
            self.check_opening(upstream, packet, instance, sent, now)
        elif packet.source not in self.holders:
            if proves_handshake:
                self.holders[packet.source] = upstream
        elif self.holders[packet.source] != upstream and not packet.resets:
            self.violate(now, "stray: a packet of flow %s held by %x reached %x through %s" % (
                packet.source, self.holders[packet.source], upstream, instance))

    def check_opening(self, upstream, packet, instance, sent, now):
        service = self.services[upstream]
        if service not in {each.routes.get(packet.destination) for each in self.versions}:
            self.violate(now, "other service: %x of %s got a flow for %s" % (
                upstream, service, packet.destination))
        since = self.draining.get(upstream)
        limit = self.bounds.drain + self.bounds.slack
        if since is not None and sent - since > limit and self.in_touch(instance, sent):
            self.violate(now, "late drain: %s opened a flow at %x %.1f s after the store had "
                              "its drain" % (instance, upstream, sent - since))

    def client_was_reset(self, packet, upstream_is_calm, now):
        """A reset that an instance wrote itself."""
        flow = packet.destination
        holder = self.holders.get(flow)
        route_stands = packet.source in self.versions[-1].routes
        if holder is not None and upstream_is_calm(holder) and route_stands:
            self.violate(now, "reset: flow %s, open at %x, was reset" % (flow, holder))

    def check_probe(self, instance, boot, route, was_forwarded, sent, oldest, now):
        """Judges an opening packet for a route that comes and goes. `oldest`
        is what oldest_version() said when it was sent."""
        if self.in_touch(instance, sent):
            bound = self.bounds.configuration + self.bounds.slack
            oldest = max(oldest, self.current_version(sent - bound).number)
        allowed = [each.number for each in self.versions
                   if each.number >= oldest and each.written <= now
                   and (route in each.routes) == was_forwarded]
        if not allowed:
            self.violate(now, "old configuration: %s %s a flow for %s as only a version "
                              "before %d allows" % (
                                  instance, "took" if was_forwarded else "refused", route,
                                  oldest))
            return
        key = (instance, boot)
        self.oldest_versions[key] = max(self.oldest_versions.get(key, 0), allowed[0])

    def oldest_version(self, instance, boot):
        """The number of the oldest version that the instance may still follow."""
        return self.oldest_versions.get((instance, boot), 0)

    def process_ended(self, instance, code, was_asked, now):
        if not was_asked:
            self.violate(now, "ended: %s ended by itself with %s" % (instance, code))
        elif code != 0:
            self.violate(now, "ended: %s was told to stop and ended with %s" % (instance, code))

    def check_recovery(self, instance, served, asked, now):
        if served < asked:
            self.violate(now, "unserved: %s served %d of %d flows after all was well again" % (
                instance, served, asked))
