"""Runs real forwarders against the stand-in for the deployment platform under random
faults, and checks the guarantees from what clients and upstreams observe.

Usage: soak.py PROGRAM --seed N --minutes M [--instances N] [--defect KIND]
               [--reports] [--earlier-program PROGRAM [--upgrade]]"""

import argparse
import os
import pathlib
import random
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / "standins"), str(ROOT / "soak")]
from fault_proxy import FaultProxy, Mode  # noqa: E402
from faults import ConfigurationWriter, Faults  # noqa: E402
from flow_platform import (COLD_PER_S, COLD_START_S, Store, Upstream, upstream_key,  # noqa: E402
                           wait_until)
from forwarder_process import Instance, free_port  # noqa: E402
from oracle import Bounds, Oracle  # noqa: E402
from traffic import Clients, Fabric  # noqa: E402
from upgrade import Upgrade  # noqa: E402

CHAT, PHOTOS = ("198.18.0.1", 443), ("198.18.0.1", 8443)
PROBE_ROUTES = [("198.18.0.2", 443), ("198.18.0.2", 8443)]
CHAT_UPSTREAMS, PHOTO_UPSTREAMS = 5, 2
# These upstreams of a service get no faults, so that one can always take flows.
UNTOUCHED = 2
OPEN_PERIOD_S, PROBE_PERIOD_S, FAULT_PERIOD_S = 0.04, 0.3, 0.7
RECOVERY_S = 5
RECOVERY_FLOWS = 10
# The upstreams of each service alternate between the zones; all instances are in the first.
ZONES = ("zone-a", "zone-b")
# Registrations of another writer have this id and address; no flow may get there.
FOREIGN_ID, FOREIGN_ADDRESS = 0x4f00000001, "127.0.3.99"
# Defects that are injected on purpose; the oracle has to report each of them.
DEFECTS = ("wrong-address", "untold-faults", "untold-route", "no-restart",
           "unwritten-evacuation", "unannounced-cold")


class System:
    """All processes and stand-ins of one run."""

    def __init__(self, program, folder, instances, seed, defect, earlier_program=None,
                 has_reports=False):
        self.defect = defect
        # Each start of an instance takes one of these.
        self.programs = [program, earlier_program] if earlier_program else [program]
        self.random = random.Random(seed)
        self.oracle, self.store = Oracle(Bounds(cold_per_s=COLD_PER_S)), Store()
        # An upstream of the other zone never gets faults and is never cold, so the services
        # stay available.
        self.evacuated_zone = random.Random(seed).choices(ZONES, (3, 1))[0]
        self.configuration_writer = ConfigurationWriter(self.store, self.oracle)
        port = free_port()
        # Port 0 switches the reports between instances off.
        self.report_port = free_port() if has_reports else 0
        self.routes = {CHAT: "chat", PHOTOS: "photos", PROBE_ROUTES[0]: "chat"}
        self.probe_routes = PROBE_ROUTES
        self.upstreams = []
        for number in range(CHAT_UPSTREAMS + PHOTO_UPSTREAMS):
            service = "chat" if number < CHAT_UPSTREAMS else "photos"
            self.add_upstream(number + 1, service, port)
        self.foreign = Upstream(FOREIGN_ID, FOREIGN_ADDRESS, port, port)
        self.foreign.key = upstream_key(FOREIGN_ID)
        self.oracle.record_upstream(FOREIGN_ID, "foreign")
        if defect == "wrong-address":
            # Registers an address of another service under the id of a chat upstream.
            self.upstreams[0].address = self.upstreams[-1].address
        for upstream in self.upstreams:
            self.register(upstream)
        self.configuration_writer.publish(self.routes)
        self.instances = []
        for number in range(1, instances + 1):
            self.add_instance(self.programs[-1], folder, number, port)
        self.clients = Clients("127.0.2.1", port, Fabric(self.instances), self.oracle, seed)
        self.clients.upstream_is_undisturbed = self.upstream_is_undisturbed
        for upstream in [*self.upstreams, self.foreign]:
            upstream.on_packet = self.take_packet

    def add_upstream(self, number, service, port):
        upstream = Upstream(0x4000000000 + number, "127.0.3.%d" % number, port, port)
        upstream.service, upstream.start_count = service, 1
        upstream.zone = ZONES[(number - 1) % len(ZONES)]
        upstream.key = upstream_key(upstream.identity)
        self.upstreams.append(upstream)

    def add_instance(self, program, folder, number, port):
        store_server = self.store.start_server()
        proxy = FaultProxy(store_server.server_address)
        instance = Instance(program, folder, "instance-%d" % number, "127.0.1.%d" % number, port,
                            proxy.address, seeds=[other.peer_address for other in self.instances],
                            maxStoreAgeMs=2000, changeBoundMs=2000,
                            reportAddress="127.0.1.%d:%d" % (number, self.report_port))
        instance.store_server, instance.proxy, instance.start_count = store_server, proxy, 1
        self.instances.append(instance)

    def start(self, instance):
        instance.start_count += 1
        self.oracle.record_lost_state(instance.name)
        if self.programs:
            instance.program = self.random.choice(self.programs)
        if self.defect != "no-restart":
            instance.start()

    def take_packet(self, upstream, addressed_upstream, packet, source):
        instance = next((candidate.name for candidate in self.instances
                         if candidate.data_address == source), "?")
        self.clients.arrivals.append((upstream.identity, addressed_upstream, packet, instance,
                                      upstream.proves_handshake(packet), time.monotonic()))

    def faultable_upstreams(self):
        return (self.upstreams[UNTOUCHED:CHAT_UPSTREAMS]
                + self.upstreams[CHAT_UPSTREAMS + PHOTO_UPSTREAMS - 1:])

    def register(self, upstream, cold_s=0):
        # The oracle clears the drain before the store publishes the registration.
        self.oracle.record_upstream(upstream.identity, upstream.service, upstream.zone)
        self.store.put(upstream.key, upstream.registration(
            upstream.service, start_count=upstream.start_count,
            cold_s=0 if self.defect == "unannounced-cold" else cold_s))
        if cold_s:
            self.oracle.record_cold(upstream.identity, time.monotonic(), cold_s)

    def restart_cold(self, upstream):
        """Starts a process that crashed again under its id."""
        upstream.start()
        upstream.start_count += 1
        self.register(upstream, COLD_START_S)

    def drain(self, upstream):
        self.store.put(upstream.key, upstream.registration(upstream.service, "draining",
                                                           upstream.start_count))
        self.oracle.record_drain(upstream.identity, time.monotonic())

    def toggle_route(self, route):
        if route in self.routes:
            del self.routes[route]
        else:
            self.routes[route] = "chat"
        self.configuration_writer.publish(self.routes)

    def upstream_is_undisturbed(self, identity):
        key = next(upstream.key for upstream in self.upstreams
                   if upstream.identity == identity)
        since = time.monotonic() - self.oracle.bounds.stable
        return self.oracle.disturbances.is_undisturbed(key, since)

    def watch_processes(self, faults):
        for instance in self.instances:
            code = instance.process.poll()
            if code is not None and id(instance) not in faults.busy:
                self.oracle.process_ended(instance.name, code, False, time.monotonic())
                instance.start()

    def stop(self):
        for instance in self.instances:
            instance.kill()


class Soak:
    def __init__(self, system, seed):
        self.system, self.random = system, random.Random(seed)
        self.upgrade = None
        self.faults = Faults(system, self.random)

    def upgrade_from(self, earlier_program, program):
        """Plays an upgrade in place of the faults."""
        self.faults = self.upgrade = Upgrade(self.system, self.random, earlier_program, program)
        # The upgrade chooses the program of each start.
        self.system.programs = []

    def every(self, period, action):
        def run_and_reschedule():
            action()
            self.system.clients.after(period, run_and_reschedule)

        self.system.clients.after(period, run_and_reschedule)

    def open_flow(self):
        route = CHAT if self.random.random() < 0.8 else PHOTOS
        self.system.clients.open(route, self.random.randint(1, 25))

    def probe(self):
        for instance in self.system.instances:
            for route in PROBE_ROUTES:
                self.system.clients.probe(route, instance, instance.start_count)

    def run(self, seconds):
        clients = self.system.clients
        for instance in self.system.instances:
            wait_until(instance.is_ready, "%s is ready" % instance.name)
        self.every(OPEN_PERIOD_S, self.open_flow)
        self.every(PROBE_PERIOD_S, self.probe)
        clients.run(2)
        end = time.monotonic() + seconds
        next_fault = time.monotonic()
        if self.system.defect == "untold-route":
            clients.after(2, self.remove_route_unreported)
        if self.system.defect == "untold-faults":
            clients.after(2, self.cut_store_unreported)
        while time.monotonic() < end or (self.upgrade and not self.upgrade.is_complete()):
            clients.run(0.02)
            if self.upgrade:
                self.upgrade.step()
            elif time.monotonic() >= next_fault:
                self.faults.step()
                next_fault += self.random.expovariate(1 / FAULT_PERIOD_S)
            self.faults.run_due()
            self.system.watch_processes(self.faults)
        self.recover(clients)

    def cut_store_unreported(self):
        """Cuts all instances off from the store without a report to the oracle."""
        for instance in self.system.instances:
            instance.proxy.set(Mode.SILENT)
        self.system.toggle_route(PROBE_ROUTES[0])

    def remove_route_unreported(self):
        """Removes a route without a report to the oracle."""
        self.system.routes.pop(CHAT)
        self.system.configuration_writer.publish(self.system.routes)
        self.system.oracle.versions[-1].routes[CHAT] = "chat"

    def recover(self, clients):
        """Ends all faults; after RECOVERY_S every instance has to serve flows. A last
        evacuation begins meanwhile, which all instances have to know by then."""
        while self.faults.pending:
            self.faults.run_due(everything=True)
            clients.run(0.1)
        self.faults.evacuate()
        clients.run(RECOVERY_S)
        opened_flows = [(instance, [clients.open(CHAT, 2, instance) for _ in range(RECOVERY_FLOWS)])
                 for instance in self.system.instances]
        clients.run(3)
        for instance, flows in opened_flows:
            served = sum(flow.state == "finished" for flow in flows)
            self.system.oracle.check_recovery(instance.name, served, len(flows), time.monotonic())


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=1)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs, kept after a failure")
    parser.add_argument("--earlier-program",
                        help="instances run this program as well, chosen at each start")
    parser.add_argument("--reports", action="store_true",
                        help="instances report evidence and placements to each other")
    parser.add_argument("--upgrade", action="store_true",
                        help="upgrades from the earlier program, without other faults")
    parser.add_argument("--defect", choices=DEFECTS, help="breaks the run on purpose")
    return parser.parse_args()


def main():
    options = parse_arguments()
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.keep or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        system = System(options.program, folder, options.instances, options.seed, options.defect,
                        options.earlier_program, options.reports)
        soak = Soak(system, options.seed)
        if options.upgrade:
            soak.upgrade_from(options.earlier_program, options.program)
        try:
            soak.run(options.minutes * 60)
        finally:
            system.stop()
    clients, violations = system.clients, system.oracle.violations
    print("soak: seed %d, %d instances, %.0f s: %d flows opened, %d finished, %d broken off, "
          "%d refused; faults: %s" % (
              options.seed, options.instances, options.minutes * 60,
              clients.opened, clients.finished,
              clients.broken, clients.refused, soak.faults.counts))
    for violation in violations[:20]:
        print("soak: violation at", violation)
    print("soak: seed %d: %d violations" % (options.seed, len(violations)))
    lost = clients.broken + clients.refused if options.upgrade else 0
    if lost:
        print("soak: an upgrade must lose no flow, but %d were" % lost)
    return 1 if violations or lost else 0


if __name__ == "__main__":
    STATUS = main()
    sys.stdout.flush()
    os._exit(STATUS)  # Threads of the stand-ins wait for packets.
