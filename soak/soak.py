"""Runs real forwarders against the stand-in for the deployment platform under random
faults, and checks the guarantees from what clients and upstreams observe.

Usage: soak.py PROGRAM --seed N --minutes M [--instances N | --deployment-size]
               [--defect KIND] [--load N] [--store-faults-in-series]
               [--faults KIND,...] [--earlier-program PROGRAM [--upgrade]]"""

import argparse
import itertools
import os
import pathlib
import random
import signal
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / "standins"), str(ROOT / "soak")]
import sizes  # noqa: E402
from fault_proxy import Mode  # noqa: E402
from faults import Faults  # noqa: E402
from flow_platform import ACKNOWLEDGE, RESET, Packet, wait_until  # noqa: E402
from load import BusyProcesses  # noqa: E402
from reset_causes import count_causes  # noqa: E402
from system import CHAT, PHOTOS, PROBE_ROUTES, System  # noqa: E402
from traffic import PAUSE_S  # noqa: E402
from upgrade import Upgrade  # noqa: E402

CHAT_SHARE = 0.8
# Flows that stay open, and those that are opened for a request or two.
MANY_REQUESTS, FEW_REQUESTS, SHORT_PAUSE_S = (4, 14), (1, 2), (0, 0.4)
OPEN_PERIOD_S, FIRST_OPEN_PERIOD_S, PROBE_PERIOD_S = 0.04, 0.006, 0.075
WATCH_PERIOD_S, UNTOLD_CUT_PERIOD_S = 0.1, 0.2
START_LIMIT_S = 30
RECOVERY_S = 5
RECOVERY_FLOWS = 10
# All violations; the output shows the first ones.
VIOLATIONS_FILE, MAX_SHOWN = "violations.txt", 20
# Defects that are injected on purpose; the oracle has to report each of them.
DEFECTS = ("wrong-address", "untold-faults", "untold-route", "no-restart",
           "unwritten-evacuation", "unannounced-cold", "forged-reset", "stray-packet")


class Soak:
    def __init__(self, system, seed):
        self.system, self.random = system, random.Random(seed)
        self.upgrade = None
        self.probed_instances = itertools.cycle(system.instances)
        self.faults = Faults(system, self.random)

    def upgrade_from(self, earlier_program, program):
        """Plays an upgrade in place of the faults."""
        self.faults = self.upgrade = Upgrade(self.system, self.random, earlier_program, program)
        # The upgrade chooses the program of each start.
        self.system.programs = []

    def every(self, period, action):
        def run_and_reschedule():
            action()
            self.system.loop.after(period, run_and_reschedule)

        self.system.loop.after(period, run_and_reschedule)

    def open_flow(self):
        clients = self.system.clients
        stays_open = clients.open_flows < self.system.size.flows
        requests, pause = (MANY_REQUESTS, PAUSE_S) if stays_open else (FEW_REQUESTS, SHORT_PAUSE_S)
        clients.open(CHAT if self.random.random() < CHAT_SHARE else PHOTOS,
                     self.random.randint(*requests), pause=pause)

    def probe(self):
        instance = next(self.probed_instances)
        for route in PROBE_ROUTES:
            self.system.clients.probe(route, instance)

    def begin(self):
        """Starts the traffic of clients."""
        system = self.system
        for instance in system.instances:
            wait_until(instance.is_ready, "%s is ready" % instance.name, START_LIMIT_S)
        for number in range(system.size.flows):
            system.loop.after(number * FIRST_OPEN_PERIOD_S, self.open_flow)
        self.every(OPEN_PERIOD_S, self.open_flow)
        self.every(PROBE_PERIOD_S, self.probe)
        system.loop.run(2 + system.size.flows * FIRST_OPEN_PERIOD_S)

    def inject_defect(self):
        actions = {"untold-route": self.remove_route_unreported,
                   "untold-faults": self.cut_store_unreported,
                   "forged-reset": self.forge_reset, "stray-packet": self.send_astray}
        if self.system.defect in actions:
            self.system.loop.after(2, actions[self.system.defect])

    def run(self, seconds):
        loop = self.system.loop
        self.begin()
        self.inject_defect()
        self.every(WATCH_PERIOD_S, lambda: self.system.watch_processes(self.faults))
        end = time.monotonic() + seconds
        next_fault = time.monotonic()
        while time.monotonic() < end or (self.upgrade and not self.upgrade.is_complete()):
            loop.run(0.02)
            if self.upgrade:
                self.upgrade.step()
            elif time.monotonic() >= next_fault:
                self.faults.step()
                next_fault += self.random.expovariate(1 / self.system.size.fault_period_s)
            self.faults.run_due()
        self.recover()

    def open_flow_at_untouched_upstream(self):
        oracle = self.system.oracle
        untouched = {upstream.identity for upstream in self.system.upstreams
                     if upstream.is_untouched}
        return next((flow, oracle.upstreams_by_flow[flow.address])
                    for flow in self.system.clients.flows.values()
                    if flow.state == "open"
                    and oracle.upstreams_by_flow.get(flow.address) in untouched)

    def forge_reset(self):
        """Resets an open flow as an instance would."""
        flow, _ = self.open_flow_at_untouched_upstream()
        self.system.clients.receive(Packet(flow.route, flow.address, RESET, flow.acknowledged,
                                           mark=0))

    def send_astray(self):
        """Delivers a packet of an open flow to another upstream, as an instance would."""
        flow, holder = self.open_flow_at_untouched_upstream()
        other = next(upstream for upstream in self.system.upstreams
                     if upstream.identity != holder and upstream.is_untouched)
        packet = self.system.clients.packet(flow, ACKNOWLEDGE)
        self.system.oracle.record_sent_packet(packet)
        other.handle(struct.pack(">Q", other.identity) + packet.encode(), ("", 0))

    def cut_store_unreported(self):
        """Cuts all instances off from the store without a report to the oracle, also after
        other faults have mended their links."""
        self.every(UNTOLD_CUT_PERIOD_S, lambda: [
            instance.proxy.set(Mode.SILENT) for instance in self.system.instances])
        self.system.toggle_route(PROBE_ROUTES[0])

    def remove_route_unreported(self):
        """Removes a route without a report to the oracle."""
        self.system.routes.pop(CHAT)
        self.system.configuration_writer.publish(self.system.routes)
        self.system.oracle.versions[-1].routes[CHAT] = "chat"

    def recover(self):
        """Ends all faults; after RECOVERY_S every instance has to serve flows. A last
        evacuation begins meanwhile, which all instances have to know by then."""
        system = self.system
        self.faults.is_ending = True
        while self.faults.pending:
            self.faults.run_due(everything=True)
            system.loop.run(0.1)
        self.faults.evacuate()
        system.loop.run(RECOVERY_S)
        opened_flows = []
        for instance in system.instances:
            opened_flows.append((instance, [
                system.clients.open(CHAT, 2, instance, SHORT_PAUSE_S)
                for _ in range(RECOVERY_FLOWS)]))
            system.loop.run(0.02)
        system.loop.run(system.size.recovery_s)
        for instance, flows in opened_flows:
            served = sum(flow.state == "finished" for flow in flows)
            system.oracle.check_recovery(instance.name, served, len(flows), time.monotonic())


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=1)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--deployment-size", action="store_true",
                        help="77 instances in 4 zones and 150 upstreams")
    parser.add_argument("--keep", type=pathlib.Path,
                        help="folder for logs and violations, kept after the run")
    parser.add_argument("--load", type=int, default=0,
                        help="processes that keep a processor each busy for the whole run")
    parser.add_argument("--store-faults-in-series", action="store_true",
                        help="faults of all kinds overlap, so time bounds seldom hold")
    parser.add_argument("--faults", type=lambda text: text.split(","),
                        help="only these kinds of faults, by the names of the output")
    parser.add_argument("--earlier-program",
                        help="instances run this program as well, chosen at each start")
    parser.add_argument("--upgrade", action="store_true",
                        help="upgrades from the earlier program, without other faults")
    parser.add_argument("--defect", choices=DEFECTS, help="breaks the run on purpose")
    return parser.parse_args()


def run(options, folder):
    """Returns the finished soak."""
    folder.mkdir(parents=True, exist_ok=True)
    size = sizes.deployment() if options.deployment_size else sizes.small(options.instances)
    system = System(options.program, folder, size, options.seed, options.defect,
                    options.earlier_program)
    if options.keep:
        # Without lines, a kept log would not tell the reason of a reset.
        system.log_rates.remove(0)
    soak = Soak(system, options.seed)
    if options.store_faults_in_series:
        soak.faults.series_kinds = soak.faults.kinds
    if options.faults:
        soak.faults.select(options.faults)
    if options.upgrade:
        soak.upgrade_from(options.earlier_program, options.program)
    busy_processes = BusyProcesses()
    load = busy_processes.start(options.load, options.minutes * 60 + START_LIMIT_S)
    try:
        soak.run(options.minutes * 60)
    finally:
        busy_processes.stop(load)
        busy_processes.stop(soak.faults.load_processes.processes)
        system.stop()
    return soak


def report(soak, options, folder):
    """Prints the results and returns the exit status."""
    system = soak.system
    clients, violations = system.clients, system.oracle.violations
    print("soak: seed %d, %d instances, %.0f s: %d flows opened, %d finished, %d broken off %s, "
          "%d refused; %d of %d requests answered; %d of %d probes answered; faults: %s" % (
              options.seed, len(system.instances), options.minutes * 60,
              clients.opened, clients.finished, clients.broken, dict(clients.causes),
              clients.refused,
              clients.answers, clients.requests, clients.answered_probes, clients.probes,
              soak.faults.counts))
    print("soak: timers of clients and upstreams were late by %.0f ms at most; %d resets ignored"
          % (system.loop.max_delay_s * 1000, clients.ignored_resets))
    for violation in violations[:MAX_SHOWN]:
        print("soak: violation at", violation)
    (folder / VIOLATIONS_FILE).write_text("".join(text + "\n" for text in violations))
    causes = count_causes(violations, folder)
    if causes:
        print("soak: causes of resets by the logs:", causes)
    print("soak: seed %d: %d violations" % (options.seed, len(violations)))
    lost = clients.broken + clients.refused if options.upgrade else 0
    if lost:
        print("soak: an upgrade must lose no flow, but %d were" % lost)
    return 1 if violations or lost else 0


def main():
    options = parse_arguments()
    # Ends the processes of the run if it is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.keep or pathlib.Path(temporary)
        return report(run(options, folder), options, folder)


if __name__ == "__main__":
    STATUS = main()
    sys.stdout.flush()
    os._exit(STATUS)  # Threads of the stand-ins wait for calls.
