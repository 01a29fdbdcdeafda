"""What the soak does to instances, upstreams, the store and the configuration.
Each action tells the oracle what it disturbs, and undoes itself after a while."""

import json
import math
import signal
import time

from fault_proxy import Mode
from flow_platform import CONFIGURATION_KEY, configuration
from oracle import Version

PAUSE_S = (0.05, 4)
DOWN_S = (0.1, 3)
FAULT_S = (0.5, 5)
LAPSE_S = 2
REFUSALS = (429, 503)


class Faults:
    """Begins and ends actions on a system; a random source chooses."""

    def __init__(self, system, chance):
        self.system, self.random, self.oracle = system, chance, system.oracle
        # What is being done to an instance or an upstream that bears one thing at a time.
        self.busy = set()
        self.pending = []
        self.counts = {}
        self.kinds = [self.pause, self.kill, self.stop, self.store_link, self.silence_connections,
                      self.turn_away, self.reload, self.broken_settings, self.outage, self.slow,
                      self.forget, self.lapse, self.drain, self.crash, self.silence_upstream,
                      self.toggle_route, self.toggle_route, self.burst_of_changes]

    def step(self):
        """Begins one action, or none if the chosen one does not fit now."""
        kind = self.random.choice(self.kinds)
        if kind():
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
        due = [each for each in self.pending if everything or each[0] <= now]
        self.pending = [each for each in self.pending if each not in due]
        for _, action in sorted(due, key=lambda each: each[0]):
            action()

    def claim(self, among):
        """Takes one that nothing is being done to; None if there is none."""
        free = [each for each in among if id(each) not in self.busy]
        if not free:
            return None
        chosen = self.random.choice(free)
        self.busy.add(id(chosen))
        return chosen

    def release(self, given):
        self.busy.discard(id(given))

    # Instances.

    def pause(self):
        instance = self.claim(self.system.instances)
        if instance is None:
            return False
        instance.process.send_signal(signal.SIGSTOP)

        def wake():
            instance.process.send_signal(signal.SIGCONT)
            self.release(instance)

        self.disturb(instance.name, self.duration(PAUSE_S), wake)
        return True

    def kill(self):
        instance = self.claim(self.system.instances)
        if instance is None:
            return False
        instance.kill()
        self.disturb(instance.name, self.duration(DOWN_S), lambda: self.restart(instance))
        return True

    def restart(self, instance):
        self.system.start(instance)
        self.release(instance)

    def stop(self):
        instance = self.claim(self.system.instances)
        if instance is None:
            return False
        instance.process.send_signal(signal.SIGTERM)
        self.oracle.disturbances.begin(instance.name)
        # Signals come in series; a reload does not stop the stop.
        if self.random.random() < 0.3:
            self.later(0.1, lambda: instance.process.poll() is None
                       and instance.process.send_signal(signal.SIGHUP))
        self.await_end(instance, time.monotonic() + instance.content["stopLimitS"])
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

    def store_link(self):
        instance = self.random.choice(self.system.instances)
        mode = self.random.choice([each for each in Mode if each is not Mode.PASS])
        instance.proxy.set(mode)
        self.disturb(instance.name, self.duration(FAULT_S), lambda: instance.proxy.set(Mode.PASS))
        return True

    def silence_connections(self):
        # The network lost track of open connections; nothing excuses the instance.
        self.random.choice(self.system.instances).proxy.silence_open()
        return True

    def turn_away(self):
        instance = self.random.choice(self.system.instances)
        instance.entrance.refusal = self.random.choice(REFUSALS)

        def admit():
            instance.entrance.refusal = None

        self.disturb(instance.name, self.duration(FAULT_S), admit)
        return True

    def reload(self):
        instance = self.random.choice(self.system.instances)
        instance.content["logLinesPerSecond"] = self.random.choice([0, 100, 200])
        instance.write_settings(json.dumps(instance.content))
        if instance.process.poll() is None and id(instance) not in self.busy:
            instance.process.send_signal(signal.SIGHUP)
        return True

    def broken_settings(self):
        instance = self.claim(self.system.instances)
        if instance is None:
            return False
        instance.write_settings(self.random.choice(["", "{", '{"name": 7}']))
        instance.process.send_signal(signal.SIGHUP)

        def mend():
            instance.write_settings(json.dumps(instance.content))
            self.release(instance)

        self.later(self.duration(FAULT_S), mend)
        return True

    # The store.

    def outage(self):
        self.system.store.outage = 503

        def admit():
            self.system.store.outage = None

        self.disturb("store", self.duration(FAULT_S), admit)
        return True

    def slow(self):
        self.system.store.delay_s = self.random.uniform(0.05, 0.6)

        def restore():
            self.system.store.delay_s = 0

        self.disturb("store", self.duration(FAULT_S), restore)
        return True

    def forget(self):
        self.system.store.forget_history()
        return True

    def lapse(self):
        """Registrations lapse while the store is down, and are back soon after."""
        upstream = self.claim(self.system.spare_upstreams())
        if upstream is None:
            return False
        self.system.store.outage = 503

        def admit():
            self.system.store.outage = None
            self.system.store.remove(upstream.key)
            self.later(1, come_back)

        def come_back():
            self.system.register(upstream)
            self.release(upstream)

        self.disturb("store", LAPSE_S, admit)
        return True

    # Upstreams.

    def drain(self):
        upstream = self.claim(self.system.spare_upstreams())
        if upstream is None:
            return False
        self.system.drain(upstream)

        def undrain():
            self.system.register(upstream)
            self.release(upstream)

        self.later(self.duration((1, 8)), undrain)
        return True

    def crash(self):
        """It ends without a word; its registration goes later. It starts again
        under the same id."""
        upstream = self.claim(self.system.spare_upstreams())
        if upstream is None:
            return False
        upstream.crash()
        self.oracle.note_upstream_lost_flows(upstream.identity)
        lapses = self.random.random() < 0.5
        if lapses:
            self.later(1, lambda: self.system.store.remove(upstream.key))

        def start():
            upstream.start()
            upstream.born += 1
            self.system.register(upstream)
            self.release(upstream)

        self.disturb(upstream.key, self.duration((1.5, 5)), start)
        return True

    def silence_upstream(self):
        upstream = self.claim(self.system.spare_upstreams())
        if upstream is None:
            return False
        upstream.is_silent = True

        def speak():
            upstream.is_silent = False
            self.release(upstream)

        self.disturb(upstream.key, self.duration(FAULT_S), speak)
        return True

    # The configuration.

    def toggle_route(self):
        self.system.toggle_route(self.random.choice(self.system.probe_routes))
        return True

    def burst_of_changes(self):
        for _ in range(self.random.randint(2, 6)):
            self.toggle_route()
        return True


class Changes:
    """Writes configurations to the store, one at a time, as an operator does."""

    def __init__(self, store, oracle):
        self.store, self.oracle, self.number = store, oracle, 0

    def accept(self, routes):
        self.number += 1
        version = Version(self.number, dict(routes), time.monotonic(), math.inf)
        self.oracle.note_version(version)
        self.store.put(CONFIGURATION_KEY, configuration(self.number, routes))
        version.acknowledged = time.monotonic()
