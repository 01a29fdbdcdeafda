"""All processes and stand-ins of one run."""

import atexit
import random
import time

from event_loop import EventLoop
from fabric import Fabric
from fault_proxy import FaultProxy
from faults import ConfigurationWriter
from flow_platform import COLD_PER_S, COLD_START_S, Store, upstream_key
from forwarder_process import Instance
from loopback import DATA_PORT, PEER_PORT, READY_PORT, REPORT_PORT, LoopbackSlot
from oracle import Oracle
from traffic import Client, Clients
from upstreams import LoopUpstream

CHAT, PHOTOS = ("198.18.0.1", 443), ("198.18.0.1", 8443)
PROBE_ROUTES = [("198.18.0.2", 443), ("198.18.0.2", 8443)]
# Networks of the run's loopback addresses.
INSTANCES, CLIENTS, UPSTREAMS = 1, 2, 3
FOREIGN_ID, FOREIGN_HOST = 0x4f00000001, 199


class System:
    def __init__(self, program, folder, size, seed, defect, earlier_program=None):
        self.defect, self.size = defect, size
        # Each start of an instance takes one of these.
        self.programs = [program, earlier_program] if earlier_program else [program]
        self.random = random.Random(seed)
        self.slot, self.loop = LoopbackSlot(), EventLoop()
        self.oracle, self.store = Oracle(size.bounds), Store()
        self.log_rates = [0, 100, 200]
        # The untouched upstreams of another zone are never cold, so the services stay
        # available.
        self.evacuated_zone = random.Random(seed).choices(
            size.zones, [3] + [1] * (len(size.zones) - 1))[0]
        self.configuration_writer = ConfigurationWriter(self.store, self.oracle)
        self.routes = {CHAT: "chat", PHOTOS: "photos", PROBE_ROUTES[0]: "chat"}
        self.probe_routes = PROBE_ROUTES
        self.upstreams, self.instances = [], []
        for service, count in size.upstreams.items():
            for number in range(count):
                self.add_upstream(len(self.upstreams) + 1, service,
                                  number < size.untouched[service])
        # Registrations of another writer have this id and address; no flow may get there.
        self.foreign = LoopUpstream(self.loop, FOREIGN_ID,
                                    self.slot.address(UPSTREAMS, FOREIGN_HOST), DATA_PORT)
        self.foreign.key = upstream_key(FOREIGN_ID)
        self.oracle.record_upstream(FOREIGN_ID, "foreign")
        if defect == "wrong-address":
            # Registers an address of another service under the id of a chat upstream.
            self.upstreams[0].address = self.upstreams[-1].address
        for upstream in self.upstreams:
            self.register(upstream)
        self.configuration_writer.publish(self.routes)
        atexit.register(self.stop)
        for zone, count in size.instances.items():
            for number in range(count):
                self.add_instance(self.programs[-1], folder, zone, number)
        self.names = {instance.data_address: instance.name for instance in self.instances}
        self.add_clients(seed)

    def add_clients(self, seed):
        clients = [Client(self.slot.address(CLIENTS, 1 + number), DATA_PORT, zone)
                   for number, zone in enumerate(
                       zone for zone in self.size.instances
                       for _ in range(self.size.clients_per_zone))]
        self.clients = Clients(self.loop, clients, Fabric(self.instances), self.oracle, seed)
        self.clients.upstream_is_undisturbed = self.upstream_is_undisturbed
        self.clients.read_upstreams = self.read_upstreams
        for upstream in [*self.upstreams, self.foreign]:
            upstream.on_packet = self.take_packet

    def add_upstream(self, number, service, is_untouched):
        upstream = LoopUpstream(self.loop, 0x4000000000 + number,
                                self.slot.address(UPSTREAMS, number), DATA_PORT)
        upstream.service, upstream.start_count = service, 1
        upstream.is_untouched = is_untouched
        upstream.zone = self.size.zones[(number - 1) % len(self.size.zones)]
        upstream.key = upstream_key(upstream.identity)
        self.upstreams.append(upstream)

    def add_instance(self, program, folder, zone, number_in_zone):
        number = len(self.instances) + 1
        store_server = self.store.start_server()
        proxy = FaultProxy(store_server.server_address)
        address = self.slot.address(INSTANCES, number)
        is_seed = number_in_zone < self.size.seeds_per_zone
        settings = {"linkMbps": link} if (link := self.size.links_mbps[not is_seed]) else {}
        instance = Instance(program, folder, "instance-%d" % number, address, DATA_PORT,
                            proxy.address, zone=zone, **self.size.settings, **settings,
                            readyAddress="%s:%d" % (address, READY_PORT),
                            peerAddress="%s:%d" % (address, PEER_PORT),
                            reportAddress="%s:%d" % (address, REPORT_PORT),
                            seeds=[other.peer_address for other in self.instances
                                   if other.is_seed])
        instance.store_server, instance.proxy, instance.start_count = store_server, proxy, 1
        instance.is_seed = is_seed
        self.instances.append(instance)

    def start(self, instance):
        instance.start_count += 1
        self.oracle.record_lost_state(instance.name)
        if self.programs:
            instance.program = self.random.choice(self.programs)
        if self.defect != "no-restart":
            instance.start()

    def take_packet(self, upstream, addressed_upstream, packet, source):
        self.clients.take_arrival(upstream.identity, addressed_upstream, packet,
                                  self.names.get(source, "?"), upstream.proves_handshake(packet))

    def read_upstreams(self):
        for upstream in self.upstreams:
            upstream.read()

    def faultable_upstreams(self):
        return [upstream for upstream in self.upstreams if not upstream.is_untouched]

    def register(self, upstream, cold_s=0):
        upstream.is_draining = False
        # The oracle clears the drain before the store publishes the registration.
        self.oracle.record_upstream(upstream.identity, upstream.service, upstream.zone)
        self.store.put(upstream.key, upstream.registration(
            upstream.service, start_count=upstream.start_count,
            cold_s=0 if self.defect == "unannounced-cold" else cold_s))
        self.oracle.record_registration(upstream.identity, time.monotonic())
        if cold_s:
            self.oracle.record_cold(upstream.identity, time.monotonic(), cold_s)

    def restart_cold(self, upstream):
        """Starts a process that crashed again under its id."""
        upstream.start()
        upstream.start_count += 1
        self.register(upstream, COLD_START_S)

    def remove_registration(self, upstream):
        """Removes the registration of an upstream that goes on."""
        self.store.remove(upstream.key)
        self.oracle.record_missing(upstream.identity, time.monotonic())

    def drain(self, upstream):
        upstream.is_draining = True
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
        return (self.oracle.disturbances.is_undisturbed(key, since)
                and not self.oracle.was_presumed_gone(identity, since, time.monotonic()))

    def watch_processes(self, faults):
        for instance in self.instances:
            self.oracle.check_memory(instance.name, instance.start_count,
                                     instance.memory_peak_bytes(), time.monotonic())
            code = instance.process.poll()
            if code is not None and id(instance) not in faults.busy:
                self.oracle.process_ended(instance.name, code, False, time.monotonic())
                instance.start()

    def stop(self):
        for instance in self.instances:
            instance.kill()
