"""Runs real forwarders against the stand-in of the users' platform under random
faults, and checks the promises from what clients and upstreams see.

Usage: soak.py PROGRAM --seed N --minutes M [--instances N] [--defect KIND]"""

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
from faults import Changes, Faults  # noqa: E402
from flow_platform import Store, Upstream, upstream_key, wait_until  # noqa: E402
from forwarder_process import Instance, free_port  # noqa: E402
from oracle import Oracle  # noqa: E402
from traffic import Clients, Fabric  # noqa: E402

CHAT, PHOTOS = ("198.18.0.1", 443), ("198.18.0.1", 8443)
PROBES = [("198.18.0.2", 443), ("198.18.0.2", 8443)]
CHAT_UPSTREAMS, PHOTO_UPSTREAMS = 5, 2
# Some of each service stay untouched, so that there is always one to take flows.
UNTOUCHED = 2
OPEN_PERIOD_S, PROBE_PERIOD_S, FAULT_PERIOD_S = 0.04, 0.3, 0.7
RECOVERY_S = 5
RECOVERY_FLOWS = 10
# Ways to break a run on purpose; each has to be seen.
DEFECTS = ("wrong-address", "untold-faults", "untold-route", "no-restart")


class System:
    """All processes and stand-ins of one run."""

    def __init__(self, program, folder, instances, seed, defect):
        self.defect = defect
        self.oracle, self.store = Oracle(), Store()
        self.changes = Changes(self.store, self.oracle)
        port = free_port()
        self.routes = {CHAT: "chat", PHOTOS: "photos", PROBES[0]: "chat"}
        self.probe_routes = PROBES
        self.upstreams = []
        for number in range(CHAT_UPSTREAMS + PHOTO_UPSTREAMS):
            service = "chat" if number < CHAT_UPSTREAMS else "photos"
            self.add_upstream(number + 1, service, port)
        if defect == "wrong-address":
            # An address of the other service under an id of this one.
            self.upstreams[0].address = self.upstreams[-1].address
        for each in self.upstreams:
            self.register(each)
        self.changes.accept(self.routes)
        self.instances = []
        for number in range(1, instances + 1):
            self.add_instance(program, folder, number, port)
        self.clients = Clients("127.0.2.1", port, Fabric(self.instances), self.oracle, seed)
        self.clients.upstream_is_calm = self.upstream_is_calm
        for each in self.upstreams:
            each.on_packet = self.take_packet

    def add_upstream(self, number, service, port):
        upstream = Upstream(0x4000000000 + number, "127.0.3.%d" % number, port, port)
        upstream.service, upstream.born = service, 1
        upstream.key = upstream_key(upstream.identity)
        self.upstreams.append(upstream)

    def add_instance(self, program, folder, number, port):
        entrance = self.store.entrance()
        proxy = FaultProxy(entrance.server_address)
        instance = Instance(program, folder, "instance-%d" % number, "127.0.1.%d" % number, port,
                            proxy.address, seeds=[each.peer for each in self.instances],
                            maxStoreAgeMs=2000, changeBoundMs=2000)
        instance.entrance, instance.proxy, instance.boot = entrance, proxy, 1
        self.instances.append(instance)

    def start(self, instance):
        instance.boot += 1
        if self.defect != "no-restart":
            instance.start()

    def take_packet(self, upstream, named, packet, source):
        instance = next((each.name for each in self.instances if each.data == source), "?")
        self.clients.arrivals.append((upstream.identity, named, packet, instance,
                                      upstream.proves_handshake(packet), time.monotonic()))

    def spare_upstreams(self):
        return (self.upstreams[UNTOUCHED:CHAT_UPSTREAMS]
                + self.upstreams[CHAT_UPSTREAMS + PHOTO_UPSTREAMS - 1:])

    def register(self, upstream):
        # The oracle takes the word back before the store tells it to anyone.
        self.oracle.note_upstream(upstream.identity, upstream.service)
        self.store.put(upstream.key, upstream.registration(upstream.service, born=upstream.born))

    def drain(self, upstream):
        self.store.put(upstream.key, upstream.registration(upstream.service, "draining",
                                                           upstream.born))
        self.oracle.note_drain(upstream.identity, time.monotonic())

    def toggle_route(self, route):
        if route in self.routes:
            del self.routes[route]
        else:
            self.routes[route] = "chat"
        self.changes.accept(self.routes)

    def upstream_is_calm(self, identity):
        key = next(each.key for each in self.upstreams if each.identity == identity)
        since = time.monotonic() - self.oracle.bounds.stable
        return self.oracle.disturbances.is_calm(key, since)

    def watch_processes(self, faults):
        for each in self.instances:
            code = each.process.poll()
            if code is not None and id(each) not in faults.busy:
                self.oracle.process_ended(each.name, code, False, time.monotonic())
                each.start()

    def stop(self):
        for each in self.instances:
            each.kill()


class Soak:
    def __init__(self, system, seed):
        self.system, self.random = system, random.Random(seed)
        self.faults = Faults(system, self.random)

    def every(self, period, action):
        def again():
            action()
            self.system.clients.after(period, again)

        self.system.clients.after(period, again)

    def open_flow(self):
        route = CHAT if self.random.random() < 0.8 else PHOTOS
        self.system.clients.open(route, self.random.randint(1, 25))

    def probe(self):
        for instance in self.system.instances:
            for route in PROBES:
                self.system.clients.probe(route, instance, instance.boot)

    def run(self, seconds):
        clients = self.system.clients
        for each in self.system.instances:
            wait_until(each.is_ready, "%s is ready" % each.name)
        self.every(OPEN_PERIOD_S, self.open_flow)
        self.every(PROBE_PERIOD_S, self.probe)
        clients.run(2)
        end = time.monotonic() + seconds
        next_fault = time.monotonic()
        if self.system.defect == "untold-route":
            clients.after(2, self.remove_route_untold)
        if self.system.defect == "untold-faults":
            clients.after(2, self.cut_store_untold)
        while time.monotonic() < end:
            clients.run(0.02)
            if time.monotonic() >= next_fault:
                self.faults.step()
                next_fault += self.random.expovariate(1 / FAULT_PERIOD_S)
            self.faults.run_due()
            self.system.watch_processes(self.faults)
        self.recover(clients)

    def cut_store_untold(self):
        """Cuts all instances off from the store, and tells the oracle nothing."""
        for each in self.system.instances:
            each.proxy.set(Mode.SILENT)
        self.system.toggle_route(PROBES[0])

    def remove_route_untold(self):
        """Takes a route away behind the oracle's back."""
        self.system.routes.pop(CHAT)
        self.system.changes.accept(self.system.routes)
        self.system.oracle.versions[-1].routes[CHAT] = "chat"

    def recover(self, clients):
        """Ends all faults; after a while every instance has to serve."""
        while self.faults.pending:
            self.faults.run_due(everything=True)
            clients.run(0.1)
        clients.run(RECOVERY_S)
        asked = [(each, [clients.open(CHAT, 2, each) for _ in range(RECOVERY_FLOWS)])
                 for each in self.system.instances]
        clients.run(3)
        for instance, flows in asked:
            served = sum(flow.state == "finished" for flow in flows)
            self.system.oracle.check_recovery(instance.name, served, len(flows), time.monotonic())


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=1)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs, kept after a failure")
    parser.add_argument("--defect", choices=DEFECTS, help="breaks the run on purpose")
    return parser.parse_args()


def main():
    given = parse_arguments()
    with tempfile.TemporaryDirectory() as temporary:
        folder = given.keep or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        system = System(given.program, folder, given.instances, given.seed, given.defect)
        soak = Soak(system, given.seed)
        try:
            soak.run(given.minutes * 60)
        finally:
            system.stop()
    clients, seen = system.clients, system.oracle.violations
    print("soak: seed %d, %d instances, %.0f s: %d flows opened, %d finished, %d broken off, "
          "%d refused; faults: %s" % (
              given.seed, given.instances, given.minutes * 60, clients.opened, clients.finished,
              clients.broken, clients.refused, soak.faults.counts))
    for each in seen[:20]:
        print("soak: violation at", each)
    print("soak: seed %d: %d violations" % (given.seed, len(seen)))
    return 1 if seen else 0


if __name__ == "__main__":
    STATUS = main()
    sys.stdout.flush()
    os._exit(STATUS)  # Threads of the stand-ins wait for packets.
