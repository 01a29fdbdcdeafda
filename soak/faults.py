"""The faults that the soak test injects into instances, upstreams, the store and
the configuration. Each action reports to the oracle what it disturbs, and is
undone after a while."""

import json
import math
import os
import signal
import time

from fault_proxy import Mode
from flow_platform import (COLD_PER_S, CONFIGURATION_KEY, alias_key, configuration,
                           evacuation_key, foreign_entries, large_foreign_entries)
from load import BusyProcesses, Starvation
from oracle import Version

PAUSE_S = (0.05, 4)
DOWN_S = (0.1, 3)
FAULT_S = (0.5, 5)
REGISTRATION_EXPIRY_OUTAGE_S = 2
REFUSALS = (429, 503)
# The age of the copy to which the store returns.
COPY_AGE_S = (0.5, 6)
# Operators and upstreams write what a restored store has lost within this time.
REWRITE_S = (0.1, 2)
# A restored store removes the registrations of upstreams that have left.
EXPIRY_S = 3.6
# Longer than the time after which an evacuation must be in force.
EVACUATION_S = (8, 16)
LATE_S, FEW_PUNCTUAL = (0.3, 1.5), (1, 3)
LOAD_S = (1, 4)
# Some faults begin a series of others.
SERIES_SHARE, SERIES_LENGTH, SERIES_INTERVAL_S = 0.2, (2, 5), (0.05, 0.5)
STARVED_S = (0.5, 3)


class Faults:
    """Starts and ends randomly chosen faults on a system."""

    def __init__(self, system, random_source):
        self.system, self.random, self.oracle = system, random_source, system.oracle
        # Ids of the instances and upstreams with a fault in progress that excludes others.
        self.busy = set()
        self.pending = []
        # No fault begins any more.
        self.is_ending = False
        self.load_processes = BusyProcesses()
        self.late_clients = set()
        self.counts = {}
        self.kinds = [self.pause, self.kill, self.stop, self.store_link, self.silence_connections,
                      self.turn_away, self.reload, self.broken_settings, self.outage, self.slow,
                      self.forget, self.restore_copy, self.lapse, self.drain, self.crash,
                      self.silence_upstream, self.toggle_route, self.toggle_route,
                      self.burst_of_changes, self.evacuate, self.evacuate, self.foreign_entry,
                      self.restart_in_cut, self.lapse_many, self.load, self.load, self.starve,
                      self.starve, self.delay_clients, self.delay_clients]
        # Series leave the store and most instances undisturbed, so that the time bounds hold
        # for long enough.
        self.series_kinds = [self.load, self.delay_clients, self.stop, self.drain,
                             self.toggle_route, self.burst_of_changes, self.crash,
                             self.silence_upstream, self.reload]

    def select(self, names):
        """Leaves only the kinds of these names."""
        self.kinds = [kind for kind in self.kinds if kind.__name__ in names]
        self.series_kinds = self.kinds

    def step(self):
        """Starts one random fault, and at times a series of others that overlap it."""
        self.start_fault(self.kinds)
        if self.random.random() < SERIES_SHARE:
            delay = 0
            for _ in range(self.random.randint(*SERIES_LENGTH)):
                delay += self.duration(SERIES_INTERVAL_S)
                self.later(delay, lambda: self.start_fault(self.series_kinds))

    def start_fault(self, kinds):
        """Starts one random fault, or none if the chosen one is not possible now."""
        kind = self.random.choice(kinds)
        if not self.is_ending and kind():
            self.counts[kind.__name__] = self.counts.get(kind.__name__, 0) + 1

    def duration(self, limits):
        return self.random.uniform(*limits)

    def disturb(self, name, seconds, undo):
        self.oracle.disturbances.begin(name)

        def end():
            undo()
            self.oracle.disturbances.end(name, time.monotonic())

        self.later(seconds, end)

    def later(self, seconds, action):
        self.pending.append((time.monotonic() + seconds, action))

    def run_due(self, everything=False):
        now = time.monotonic()
        due = [entry for entry in self.pending if everything or entry[0] <= now]
        self.pending = [entry for entry in self.pending if entry not in due]
        for _, action in sorted(due, key=lambda entry: entry[0]):
            action()

    def reserve(self, candidates):
        """Reserves a random candidate without a fault in progress; None if there is none."""
        free = [candidate for candidate in candidates if id(candidate) not in self.busy]
        if not free:
            return None
        chosen = self.random.choice(free)
        self.busy.add(id(chosen))
        return chosen

    def release(self, target):
        self.busy.discard(id(target))

    # Instances.

    def pause(self):
        instance = self.reserve(self.system.instances)
        if instance is None:
            return False
        instance.process.send_signal(signal.SIGSTOP)

        def wake():
            instance.process.send_signal(signal.SIGCONT)
            self.release(instance)

        self.disturb(instance.name, self.duration(PAUSE_S), wake)
        return True

    def kill(self):
        instance = self.reserve(self.system.instances)
        if instance is None:
            return False
        instance.kill()
        self.disturb(instance.name, self.duration(DOWN_S), lambda: self.restart(instance))
        return True

    def restart(self, instance):
        self.system.start(instance)
        self.release(instance)

    def stop(self):
        instance = self.reserve(self.system.instances)
        if instance is None:
            return False
        process = instance.process
        process.send_signal(signal.SIGTERM)
        self.oracle.disturbances.begin(instance.name)
        # A SIGHUP that follows a SIGTERM must not cancel the graceful shutdown.
        if self.random.random() < 0.3:
            self.later(0.1, lambda: process.poll() is None
                       and process.send_signal(signal.SIGHUP))
        self.await_end(instance, time.monotonic() + instance.settings["stopLimitS"])
        return True

    def await_end(self, instance, limit):
        now = time.monotonic()
        code = instance.process.poll()
        if code is None and now < limit:
            self.later(0.05, lambda: self.await_end(instance, limit))
            return
        self.oracle.process_ended(instance.name, "no end in time" if code is None else code,
                                  was_asked=True, now=now)
        instance.kill()
        self.restart(instance)
        self.oracle.disturbances.end(instance.name, time.monotonic())

    # Open flows have to survive a shortage of processor time and late clients. Load and late
    # clients excuse nothing; an instance that is stopped nine tenths of the time may miss the
    # time bounds, as one that is paused.

    def load(self):
        """Keeps half of the processors or more busy."""
        count = self.random.randint((os.cpu_count() + 1) // 2, os.cpu_count())
        seconds = self.duration(LOAD_S)
        processes = self.load_processes.start(count, seconds)
        self.later(seconds, lambda: self.load_processes.stop(processes))
        return bool(processes)

    def starve(self):
        instance = self.reserve(self.system.instances)
        if instance is None:
            return False
        starvation = Starvation(self.system.loop, instance.process)

        def end():
            starvation.end()
            self.release(instance)

        self.disturb(instance.name, self.duration(STARVED_S), end)
        return True

    def delay_clients(self):
        """Packets for some clients of a zone wait, or for nearly all, as on a slow path."""
        clients = self.system.clients
        zone = self.random.choice(sorted(self.system.size.instances))
        punctual = [client for client in clients.clients
                    if client.zone == zone and client not in self.late_clients]
        if len(punctual) <= FEW_PUNCTUAL[1]:
            return False
        count = (len(punctual) - self.random.randint(*FEW_PUNCTUAL) if self.random.random() < 0.5
                 else self.random.randint(1, len(punctual)))
        late = self.random.sample(punctual, count)
        self.late_clients.update(late)
        for client in late:
            clients.suspend(client)

        def end():
            self.late_clients.difference_update(late)
            for client in late:
                clients.resume(client)

        self.later(self.duration(LATE_S), end)
        return True

    def store_link(self):
        instance = self.random.choice(self.system.instances)
        mode = self.random.choice([mode for mode in Mode if mode is not Mode.PASS])
        instance.proxy.set(mode)
        self.disturb(instance.name, self.duration(FAULT_S), lambda: instance.proxy.set(Mode.PASS))
        return True

    def silence_connections(self):
        # Models a network that lost its connection state. The oracle gets no disturbance,
        # since the instance has to recover without an effect on its flows.
        self.random.choice(self.system.instances).proxy.silence_open()
        return True

    def turn_away(self):
        instance = self.random.choice(self.system.instances)
        instance.store_server.refusal = self.random.choice(REFUSALS)

        def end_refusal():
            instance.store_server.refusal = None

        self.disturb(instance.name, self.duration(FAULT_S), end_refusal)
        return True

    def reload(self):
        instance = self.random.choice(self.system.instances)
        instance.settings["logLinesPerSecond"] = self.random.choice(self.system.log_rates)
        instance.write_settings(json.dumps(instance.settings))
        if id(instance) not in self.busy and instance.handles_signal(signal.SIGHUP):
            instance.process.send_signal(signal.SIGHUP)
        return True

    def broken_settings(self):
        instance = self.reserve(self.system.instances)
        if instance is None:
            return False
        instance.write_settings(self.random.choice(["", "{", '{"name": 7}']))
        if instance.handles_signal(signal.SIGHUP):
            instance.process.send_signal(signal.SIGHUP)

        def restore_settings():
            instance.write_settings(json.dumps(instance.settings))
            self.release(instance)

        self.later(self.duration(FAULT_S), restore_settings)
        return True

    # The store.

    def outage(self):
        self.system.store.outage_status = 503
        self.disturb("store", self.duration(FAULT_S), self.end_outage)
        return True

    def end_outage(self):
        self.system.store.outage_status = None
        self.oracle.record_store_return(time.monotonic())

    def slow(self):
        self.system.store.delay_s = self.random.uniform(0.05, 0.6)

        def restore():
            self.system.store.delay_s = 0

        self.disturb("store", self.duration(FAULT_S), restore)
        return True

    def forget(self):
        self.system.store.forget_history()
        return True

    def restore_copy(self):
        """The store is away for a moment and comes back from an older copy."""
        store = self.system.store
        store.outage_status = 503

        def come_back():
            self.end_outage()
            self.oracle.record_lost_state()
            store.restore(self.duration(COPY_AGE_S))
            for key in store.lost_keys():
                self.disturb("store", self.duration(REWRITE_S), lambda key=key: rewrite(key))
            self.later(EXPIRY_S, expire)

        def rewrite(key):
            if key in store.acknowledged:
                store.put(key, store.acknowledged[key])

        def expire():
            for key in store.outdated_keys():
                store.remove(key)

        self.disturb("store", self.duration((0.05, 1.5)), come_back)
        return True

    def lapse(self):
        """A registration expires while the store is down, and is written again 1 s after."""
        upstream = self.reserve(self.system.faultable_upstreams())
        if upstream is None:
            return False
        self.system.store.outage_status = 503

        def end_outage():
            self.end_outage()
            self.system.remove_registration(upstream)
            self.later(1, lambda: self.register_again(upstream))

        self.disturb("store", REGISTRATION_EXPIRY_OUTAGE_S, end_outage)
        return True

    def register_again(self, upstream):
        """Registers an upstream whose registration has expired once the store is there."""
        if self.system.store.outage_status and not self.is_ending:
            self.later(self.duration(REWRITE_S), lambda: self.register_again(upstream))
            return
        self.system.register(upstream)
        self.release(upstream)

    def lapse_many(self):
        """Registrations expire in a long outage; their upstreams write them again, at times
        only after another outage."""
        upstreams = [upstream for upstream in self.system.faultable_upstreams()
                     if id(upstream) not in self.busy and self.random.random() < 0.5]
        self.busy.update(id(upstream) for upstream in upstreams)
        self.system.store.outage_status = 503

        def end_outage():
            self.end_outage()
            for upstream in upstreams:
                self.system.remove_registration(upstream)
                self.later(self.duration(REWRITE_S),
                           lambda upstream=upstream: self.register_again(upstream))
            if self.random.random() < 0.5 and not self.is_ending:
                self.later(self.duration(SERIES_INTERVAL_S), self.outage)

        self.disturb("store", EXPIRY_S, end_outage)
        return True

    # Upstreams.

    def drain(self):
        upstream = self.reserve(self.system.faultable_upstreams())
        if upstream is None:
            return False
        self.system.drain(upstream)

        def undrain():
            self.system.register(upstream)
            self.release(upstream)

        self.later(self.duration((1, 8)), undrain)
        return True

    def crash(self):
        """An upstream crashes. Its registration expires or stays until it starts again
        under the same id."""
        upstream = self.reserve(self.system.faultable_upstreams())
        if upstream is None:
            return False
        upstream.crash()
        self.oracle.record_lost_flows(upstream.identity)
        has_started = False

        def expire():
            if not has_started:
                self.system.store.remove(upstream.key)

        def start():
            nonlocal has_started
            has_started = True
            self.system.restart_cold(upstream)
            self.release(upstream)

        if self.random.random() < 0.5:
            self.later(self.system.size.expiry_s, expire)
        self.disturb(upstream.key, self.duration((1.5, 5)), start)
        return True

    def restart_in_cut(self):
        """An upstream starts again under its id while its zone is cut off from the store."""
        upstream = self.reserve(self.system.faultable_upstreams())
        if upstream is None:
            return False
        for instance in self.system.instances:
            instance.proxy.set(Mode.SILENT)
            self.disturb(instance.name, 3, lambda instance=instance: instance.proxy.set(Mode.PASS))
        upstream.crash()
        self.oracle.record_lost_flows(upstream.identity)

        def start():
            self.system.restart_cold(upstream)
            self.release(upstream)

        self.disturb(upstream.key, 1, start)
        return True

    def silence_upstream(self):
        upstream = self.reserve(self.system.faultable_upstreams())
        if upstream is None:
            return False
        upstream.is_silent = True

        def end_silence():
            upstream.is_silent = False
            self.release(upstream)

        self.disturb(upstream.key, self.duration(FAULT_S), end_silence)
        return True

    # Operators and other writers.

    def evacuate(self):
        zone, store = self.system.evacuated_zone, self.system.store
        if zone in self.oracle.evacuated:
            return False
        if self.system.defect != "unwritten-evacuation":
            store.put(evacuation_key(zone), {})
        self.oracle.record_evacuation(zone, time.monotonic())

        def end():
            self.oracle.record_end_of_evacuation(zone)
            store.remove(evacuation_key(zone))

        self.later(self.duration(EVACUATION_S), end)
        return True

    def foreign_entry(self):
        """Another writer puts an entry that names no usable upstream among the registrations."""
        foreign = self.system.foreign
        alias = alias_key(self.random.choice(self.system.upstreams).identity)
        key = self.random.choice([foreign.key, alias])
        entries = foreign_entries(foreign.address) + large_foreign_entries()
        self.system.store.put(key, self.random.choice(entries))
        self.later(self.duration(FAULT_S), lambda: self.system.store.remove(key))
        return True

    # The configuration.

    def toggle_route(self):
        self.system.toggle_route(self.random.choice(self.system.probe_routes))
        return True

    def burst_of_changes(self):
        for _ in range(self.random.randint(2, 6)):
            self.toggle_route()
        return True


class ConfigurationWriter:
    """Writes configurations to the store, one at a time, as an operator would."""

    def __init__(self, store, oracle):
        self.store, self.oracle, self.number = store, oracle, 0

    def publish(self, routes):
        self.number += 1
        version = Version(self.number, dict(routes), time.monotonic(), math.inf)
        self.oracle.record_version(version)
        self.store.put(CONFIGURATION_KEY, configuration(self.number, routes, COLD_PER_S))
        version.acknowledged = time.monotonic()
