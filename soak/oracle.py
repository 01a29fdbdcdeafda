"""Checks what clients and upstreams of forwarders observe. Shares no code with the
product: its input is what was written to the store, which process was disturbed
when, and every packet that a client or an upstream sent or received."""

import dataclasses
import math


@dataclasses.dataclass
class Bounds:
    """Time limits in seconds, counted from the store's acknowledgement. They apply to
    connected instances."""

    # An instance counts as connected after this time without a disturbance.
    stable: float = 2.0
    configuration: float = 2.0
    drain: float = 2.0
    evacuation: float = 5.0
    # A cold upstream gets at most `cold_per_s` x `cold_overshoot` + `cold_slack` openings in
    # any second.
    cold_per_s: float = 1.0
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    # An upstream whose registration is missing for longer while the store is there is to be
    # treated as gone.
    missing: float = 2.0
    # The memory of the smallest machine of any deployment.
    memory_bytes: int = 56 << 20
    # A loaded machine may delay a packet or a thread of the oracle for this long.
    slack: float = 0.5


@dataclasses.dataclass
class Version:
    """One configuration, with the times at which it was sent to the store and
    acknowledged by the store."""

    number: int
    routes: dict
    written: float
    acknowledged: float


class Disturbances:
    """Records when an instance, an upstream or the store was last disturbed."""

    def __init__(self):
        self.active, self.ended = {}, {}

    def begin(self, name):
        self.active[name] = self.active.get(name, 0) + 1

    def end(self, name, now):
        self.active[name] -= 1
        self.ended[name] = now

    def is_undisturbed(self, name, since):
        return not self.active.get(name) and self.ended.get(name, -math.inf) < since


class Oracle:
    def __init__(self, bounds=None):
        self.bounds = bounds or Bounds()
        self.violations, self.versions = [], []
        # Starts of instances whose memory has been reported.
        self.reported_memory = set()
        self.disturbances = Disturbances()
        # The service of each upstream, and when the store acknowledged its drain.
        self.services, self.draining = {}, {}
        # The zone of each upstream, and when the store acknowledged a zone's evacuation.
        self.zones, self.evacuated = {}, {}
        # Since when the registration of an upstream has been missing, and when one that was
        # missing for too long was written again.
        self.missing, self.late_registrations = {}, {}
        # The instances that must know an evacuation, and since when.
        self.informed = {}
        # When a cold upstream was registered and until when it is cold, and the openings
        # that it got in the last second.
        self.cold, self.cold_openings = {}, {}
        # Keys of the packets that clients sent, see packet_key().
        self.sent_packets = set()
        # The upstream that got the last packet of the handshake, by client address.
        self.upstreams_by_flow = {}
        # The oldest version that an instance may still use, by name and start number.
        self.oldest_versions = {}

    def record_violation(self, now, text):
        self.violations.append("%.3f: %s" % (now, text))

    # Events that the test reports.

    def record_version(self, version):
        self.versions.append(version)

    def record_missing(self, upstream, since):
        """The registration of an upstream that goes on has expired."""
        self.missing[upstream] = since

    def record_store_return(self, now):
        """Upstreams could not register while the store was away."""
        self.missing = dict.fromkeys(self.missing, now)

    def record_registration(self, upstream, now):
        """The registration was written to the store."""
        since = self.missing.pop(upstream, now)
        if now - since > self.bounds.missing:
            self.late_registrations[upstream] = now

    def was_presumed_gone(self, upstream, since, now):
        """Whether the registration was missing for too long, or is, after `since`."""
        return (now - self.missing.get(upstream, now) > self.bounds.missing
                or self.late_registrations.get(upstream, -math.inf) >= since)

    def record_upstream(self, upstream, service, zone="zone-a"):
        self.services[upstream], self.zones[upstream] = service, zone
        self.draining.pop(upstream, None)
        self.cold.pop(upstream, None)

    def record_drain(self, upstream, acknowledged):
        self.draining.setdefault(upstream, acknowledged)
        self.cold.pop(upstream, None)

    def record_cold(self, upstream, acknowledged, seconds):
        self.cold[upstream] = (acknowledged, acknowledged + seconds)
        self.cold_openings[upstream] = []

    def record_evacuation(self, zone, acknowledged):
        self.evacuated[zone] = acknowledged

    def record_end_of_evacuation(self, zone):
        """To be called before the end is written to the store."""
        self.evacuated.pop(zone, None)
        self.informed.clear()

    def record_lost_state(self, instance=None):
        """An instance starts again, or all may forget an evacuation since the store was
        restored from an older copy."""
        for name in list(self.informed) if instance is None else [instance]:
            self.informed.pop(name, None)

    def record_lost_flows(self, upstream):
        for flow in [flow for flow, upstream_id in self.upstreams_by_flow.items()
                     if upstream_id == upstream]:
            del self.upstreams_by_flow[flow]

    def is_connected(self, instance, now):
        since = now - self.bounds.stable
        return (self.disturbances.is_undisturbed(instance, since)
                and self.disturbances.is_undisturbed("store", since))

    def current_version(self, when):
        """The newest version that the store had acknowledged."""
        known = [version for version in self.versions if version.acknowledged <= when]
        return known[-1] if known else self.versions[0]

    # Observations of clients and upstreams.

    @staticmethod
    def packet_key(packet):
        return (packet.source, packet.destination, packet.flags, packet.sequence,
                packet.acknowledged, packet.data, packet.mark)

    def record_sent_packet(self, packet):
        self.sent_packets.add(self.packet_key(packet))

    def upstream_got(self, upstream, addressed_upstream, packet, instance,
                     proves_handshake, sent, now):
        """`sent` is when the client first sent this packet."""
        if addressed_upstream not in (0, upstream):
            self.record_violation(now, "misdelivered: %x got a packet for %x" % (
                upstream, addressed_upstream))
        if self.packet_key(packet) not in self.sent_packets:
            self.record_violation(now, "altered: %x got a packet that no client wrote" % upstream)
        if packet.is_opening:
            self.check_opening(upstream, packet, instance, sent, now)
        elif packet.source not in self.upstreams_by_flow:
            if proves_handshake:
                self.upstreams_by_flow[packet.source] = upstream
        elif self.upstreams_by_flow[packet.source] != upstream and not packet.is_reset:
            self.record_violation(now, "stray: a packet of flow %s held by %x reached %x "
                                       "through %s" % (
                packet.source, self.upstreams_by_flow[packet.source], upstream, instance))

    def check_opening(self, upstream, packet, instance, sent, now):
        service = self.services[upstream]
        if service not in {version.routes.get(packet.destination) for version in self.versions}:
            self.record_violation(now, "other service: %x of %s got a flow for %s" % (
                upstream, service, packet.destination))
        since = self.draining.get(upstream)
        limit = self.bounds.drain + self.bounds.slack
        if since is not None and sent - since > limit and self.is_connected(instance, sent):
            self.record_violation(now, "late drain: %s opened a flow at %x %.1f s after the store "
                                       "acknowledged the drain" % (
                instance, upstream, sent - since))
        self.check_evacuation(upstream, instance, sent, now)
        self.check_cold(upstream, instance, sent, now)

    def check_evacuation(self, upstream, instance, sent, now):
        """An instance that was connected once knows the evacuation from then on, also
        during an outage of the store."""
        limit = self.bounds.evacuation + self.bounds.slack
        for since in self.evacuated.values():
            if sent - since > limit and self.is_connected(instance, sent):
                self.informed.setdefault(instance, sent)
        zone = self.zones[upstream]
        if zone in self.evacuated and sent >= self.informed.get(instance, math.inf):
            self.record_violation(now, "evacuation: %s opened a flow at %x in %s %.1f s after "
                                       "the store acknowledged the evacuation" % (
                instance, upstream, zone, sent - self.evacuated[zone]))

    def check_cold(self, upstream, instance, sent, now):
        """Counts openings of all connected instances. An instance that is not connected may
        not know yet that the upstream has started again."""
        since, until = self.cold.get(upstream, (math.inf, -math.inf))
        known = since + self.bounds.configuration + self.bounds.slack
        if not known < sent or now > until or not self.is_connected(instance, sent):
            return
        openings = [when for when in self.cold_openings[upstream] if now - when < 1] + [now]
        self.cold_openings[upstream] = openings
        limit = self.bounds.cold_per_s * self.bounds.cold_overshoot + self.bounds.cold_slack
        if len(openings) > limit:
            self.record_violation(now, "cold: %x got %d openings in a second, the last one "
                                       "through %s" % (upstream, len(openings), instance))

    def client_was_reset(self, packet, upstream_is_undisturbed, now):
        """Checks a reset that an instance wrote itself."""
        flow = packet.destination
        upstream = self.upstreams_by_flow.get(flow)
        route_is_configured = packet.source in self.versions[-1].routes
        if upstream is not None and upstream_is_undisturbed(upstream) and route_is_configured:
            self.record_violation(now, "reset: flow %s, open at %x, was reset" % (
                flow, upstream))

    def check_probe(self, instance, start_number, route, was_forwarded, sent, oldest, now):
        """Checks an opening packet for a route that is added and removed. `oldest`
        is the result of oldest_version() when the packet was sent."""
        if self.is_connected(instance, sent):
            bound = self.bounds.configuration + self.bounds.slack
            oldest = max(oldest, self.current_version(sent - bound).number)
        allowed = [version.number for version in self.versions
                   if version.number >= oldest and version.written <= now
                   and (route in version.routes) == was_forwarded]
        if not allowed:
            self.record_violation(now, "old configuration: %s %s a flow for %s which only "
                              "versions before %d allow" % (
                                  instance, "took" if was_forwarded else "refused", route,
                                  oldest))
            return
        key = (instance, start_number)
        self.oldest_versions[key] = max(self.oldest_versions.get(key, 0), allowed[0])

    def oldest_version(self, instance, start_number):
        """The number of the oldest version that the instance may still use."""
        return self.oldest_versions.get((instance, start_number), 0)

    def process_ended(self, instance, code, was_asked, now):
        if not was_asked:
            self.record_violation(now, "ended: %s ended by itself with %s" % (instance, code))
        elif code != 0:
            self.record_violation(now, "ended: %s was told to stop and ended with %s" % (
                instance, code))

    def check_memory(self, instance, start_number, peak_bytes, now):
        start = (instance, start_number)
        if peak_bytes > self.bounds.memory_bytes and start not in self.reported_memory:
            self.reported_memory.add(start)
            self.record_violation(now, "memory: %s needed %d bytes" % (instance, peak_bytes))

    def check_recovery(self, instance, served, opened, now):
        if served < opened:
            self.record_violation(now, "unserved: %s served %d of %d flows after all "
                                       "faults ended" % (
                instance, served, opened))
