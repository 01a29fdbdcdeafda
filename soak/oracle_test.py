"""Checks that the oracle reports each kind of violation, and accepts behaviour that
is allowed. Runs without processes."""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / "standins"), str(ROOT / "soak")]
from flow_platform import ACKNOWLEDGE, OPEN, RESET, Packet  # noqa: E402
from oracle import Oracle, Version  # noqa: E402

ROUTE, OTHER_ROUTE = ("198.18.0.1", 443), ("198.18.0.2", 443)
CLIENT = ("127.0.2.1", 20000)
CHAT, CHAT_TWO, PHOTO = 1, 2, 3


class OracleTest(unittest.TestCase):
    def setUp(self):
        self.oracle = Oracle()
        self.oracle.record_version(Version(1, {ROUTE: "chat"}, 0, 0))
        for upstream, service in ((CHAT, "chat"), (CHAT_TWO, "chat"), (PHOTO, "photos")):
            self.oracle.record_upstream(upstream, service)

    def deliver(self, packet, upstream=CHAT, addressed_upstream=None, proves_handshake=False,
                at=10.0):
        self.oracle.record_sent_packet(packet)
        self.oracle.upstream_got(upstream,
                                 upstream if addressed_upstream is None else addressed_upstream,
                                 packet, "instance-1", proves_handshake, at, at)

    def open(self, **options):
        self.deliver(Packet(CLIENT, ROUTE, OPEN), **options)

    def establish_flow(self, upstream=CHAT):
        self.deliver(Packet(CLIENT, ROUTE, ACKNOWLEDGE, 1, 8, data=b"first"), upstream=upstream,
                     proves_handshake=True)

    def assert_violation(self, what):
        self.assertEqual([text.split(": ")[1] for text in self.oracle.violations], [what])

    def assert_nothing_seen(self):
        self.assertEqual(self.oracle.violations, [])

    def test_accepts_a_flow_that_keeps_its_upstream(self):
        self.open()
        self.establish_flow()
        self.deliver(Packet(CLIENT, ROUTE, ACKNOWLEDGE, 6, 8, data=b"second"))
        self.assert_nothing_seen()

    def test_sees_a_packet_for_another_upstream(self):
        self.open(addressed_upstream=CHAT_TWO)
        self.assert_violation("misdelivered")

    def test_sees_a_packet_that_no_client_wrote(self):
        packet = Packet(CLIENT, ROUTE, OPEN)
        self.oracle.upstream_got(CHAT, CHAT, packet, "instance-1", False, 10, 10)
        self.assert_violation("altered")

    def test_sees_a_flow_at_another_service(self):
        self.open(upstream=PHOTO)
        self.assert_violation("other service")

    def test_sees_a_packet_that_strays_from_its_flow(self):
        self.establish_flow()
        self.deliver(Packet(CLIENT, ROUTE, ACKNOWLEDGE, 6, 8, data=b"second"), upstream=CHAT_TWO)
        self.assert_violation("stray")

    def test_sees_the_reset_of_an_open_flow(self):
        self.establish_flow()
        reset = Packet(ROUTE, CLIENT, RESET, mark=0)
        self.oracle.client_was_reset(reset, lambda upstream: True, 11)
        self.assert_violation("reset")

    def test_accepts_the_reset_of_a_flow_of_a_disturbed_upstream(self):
        self.establish_flow()
        reset = Packet(ROUTE, CLIENT, RESET, mark=0)
        self.oracle.client_was_reset(reset, lambda upstream: False, 11)
        self.assert_nothing_seen()

    def test_presumes_an_upstream_gone_that_registers_too_late(self):
        self.oracle.record_missing(CHAT, 5)
        self.oracle.record_missing(CHAT_TWO, 5)
        self.oracle.record_registration(CHAT_TWO, 6.9)
        for upstream, now, since, is_presumed_gone in (
                (CHAT, 6.9, 4, False), (CHAT, 7.1, 5, True), (CHAT_TWO, 7.1, 5, False)):
            self.assertEqual(self.oracle.was_presumed_gone(upstream, since, now),
                             is_presumed_gone, (upstream, now))
        self.oracle.record_registration(CHAT, 7.5)
        self.assertTrue(self.oracle.was_presumed_gone(CHAT, 7, 9))
        self.assertFalse(self.oracle.was_presumed_gone(CHAT, 8, 10))

    def test_presumes_no_upstream_gone_while_the_store_is_away(self):
        self.oracle.record_missing(CHAT, 5)
        self.oracle.record_store_return(8)
        self.assertFalse(self.oracle.was_presumed_gone(CHAT, 5, 9.9))
        self.assertTrue(self.oracle.was_presumed_gone(CHAT, 5, 10.1))
        self.oracle.record_registration(CHAT, 9.9)
        self.assertFalse(self.oracle.was_presumed_gone(CHAT, 5, 11))

    def test_sees_a_new_flow_at_an_upstream_that_drained_long_ago(self):
        self.oracle.record_drain(CHAT, 5)
        self.open(at=9)
        self.assert_violation("late drain")

    def test_accepts_a_new_flow_soon_after_the_drain_or_while_disturbed(self):
        self.oracle.record_drain(CHAT, 5)
        self.open(at=6)
        self.oracle.disturbances.begin("instance-1")
        self.open(at=9)
        self.assert_nothing_seen()

    def test_accepts_new_flows_of_an_upstream_that_came_back(self):
        self.oracle.record_drain(CHAT, 5)
        self.oracle.record_upstream(CHAT, "chat")
        self.open(at=9)
        self.assert_nothing_seen()

    def test_sees_a_new_flow_in_a_zone_that_was_evacuated_long_ago(self):
        self.oracle.record_evacuation("zone-a", 5)
        self.open(at=10.4)
        self.assert_nothing_seen()
        self.open(at=10.6)
        self.assert_violation("evacuation")

    def test_accepts_new_flows_elsewhere_while_disturbed_and_after_the_end(self):
        self.oracle.record_evacuation("zone-a", 5)
        self.oracle.record_upstream(CHAT_TWO, "chat", "zone-b")
        self.oracle.disturbances.begin("instance-1")
        self.open(upstream=CHAT_TWO, at=12)
        self.open(at=12)
        self.oracle.disturbances.end("instance-1", 13)
        self.oracle.record_end_of_evacuation("zone-a")
        self.open(at=16)
        self.assert_nothing_seen()

    def test_sees_an_evacuation_that_is_forgotten_in_an_outage(self):
        self.oracle.record_evacuation("zone-a", 5)
        self.oracle.record_upstream(CHAT_TWO, "chat", "zone-b")
        self.open(upstream=CHAT_TWO, at=11)
        self.oracle.disturbances.begin("store")
        self.open(at=12)
        self.assert_violation("evacuation")

    def test_accepts_an_evacuation_that_a_new_process_does_not_know(self):
        for instance in ("instance-1", None):
            self.oracle.record_evacuation("zone-a", 5)
            self.oracle.record_upstream(CHAT_TWO, "chat", "zone-b")
            self.open(upstream=CHAT_TWO, at=11)
            self.oracle.disturbances.begin("store")
            self.oracle.record_lost_state(instance)
            self.open(at=12)
            self.oracle.disturbances.end("store", 8)
        self.assert_nothing_seen()

    def test_accepts_open_flows_of_an_evacuated_zone(self):
        self.establish_flow()
        self.oracle.record_evacuation("zone-a", 5)
        self.deliver(Packet(CLIENT, ROUTE, ACKNOWLEDGE, 6, 8, data=b"second"), at=12)
        self.assert_nothing_seen()

    def open_often(self, count, interval, start=10.0):
        for number in range(count):
            self.open(at=start + number * interval)

    def test_sees_too_many_openings_of_a_cold_upstream(self):
        self.oracle.record_cold(CHAT, 5, 8)
        self.open_often(6, 0.1)
        self.assert_nothing_seen()
        self.open(at=10.9)
        self.assert_violation("cold")

    def test_accepts_the_rate_and_openings_of_warm_upstreams(self):
        self.oracle.record_cold(CHAT, 5, 8)
        self.open_often(12, 0.2, start=10.0)
        self.open_often(20, 0.01, start=13.1)
        self.oracle.record_cold(CHAT, 20, 8)
        self.open_often(20, 0.01, start=22)
        self.oracle.record_upstream(CHAT, "chat")
        self.open_often(20, 0.01, start=24)
        self.assert_nothing_seen()

    def probe(self, was_forwarded, sent, oldest=0):
        self.oracle.check_probe("instance-1", 1, OTHER_ROUTE, was_forwarded, sent, oldest,
                                sent + 0.01)

    def test_sees_a_configuration_that_comes_late(self):
        self.oracle.record_version(Version(2, {ROUTE: "chat", OTHER_ROUTE: "chat"}, 5, 5))
        self.probe(False, sent=6)
        self.assert_nothing_seen()
        self.probe(False, sent=9)
        self.assert_violation("old configuration")

    def test_sees_a_configuration_that_reverts(self):
        self.oracle.record_version(Version(2, {ROUTE: "chat", OTHER_ROUTE: "chat"}, 5, 5))
        self.probe(True, sent=5.1)
        self.probe(False, sent=5.5, oldest=self.oracle.oldest_version("instance-1", 1))
        self.assert_violation("old configuration")

    def test_accepts_an_older_configuration_after_a_start(self):
        self.oracle.record_version(Version(2, {ROUTE: "chat", OTHER_ROUTE: "chat"}, 5, 5))
        self.probe(True, sent=5.1)
        self.probe(False, sent=5.5, oldest=self.oracle.oldest_version("instance-1", 2))
        self.assert_nothing_seen()

    def test_sees_a_process_that_ends_by_itself_or_badly(self):
        self.oracle.process_ended("instance-1", 0, True, 1)
        self.assert_nothing_seen()
        self.oracle.process_ended("instance-1", 0, False, 1)
        self.assert_violation("ended")
        self.oracle.process_ended("instance-1", -6, True, 1)
        self.assertEqual(len(self.oracle.violations), 2)

    def test_sees_a_process_that_needs_more_than_the_smallest_machine_has_once(self):
        limit = self.oracle.bounds.memory_bytes
        self.oracle.check_memory("instance-1", 1, limit, 1)
        self.assert_nothing_seen()
        self.oracle.check_memory("instance-1", 1, limit + 1, 2)
        self.oracle.check_memory("instance-1", 1, limit + 2, 3)
        self.assert_violation("memory")

    def test_sees_an_instance_that_does_not_serve_after_recovery(self):
        self.oracle.check_recovery("instance-1", 10, 10, 1)
        self.assert_nothing_seen()
        self.oracle.check_recovery("instance-1", 9, 10, 1)
        self.assert_violation("unserved")


if __name__ == "__main__":
    unittest.main()
