"""A rolling upgrade of all instances, back halfway, and forward again, as planned work."""

import signal
import time

# Between the start of a process and the stop of the next instance.
PAUSE_S = 1


class Upgrade:
    """Replaces the instances one after the other: all get the new program, the first half goes
    back to the earlier one, and forward again."""

    def __init__(self, system, earlier_program, program):
        self.system = system
        half = system.instances[:len(system.instances) // 2]
        self.steps = ([(instance, program) for instance in system.instances]
                      + [(instance, earlier_program) for instance in half]
                      + [(instance, program) for instance in half])
        self.busy, self.pending, self.counts = set(), [], {"upgrade": 0}
        self.next_step = time.monotonic() + PAUSE_S
        self.stopping = None

    def step(self):
        """Continues the upgrade; called often."""
        now = time.monotonic()
        if self.stopping is not None:
            self.await_end(now)
        elif self.steps and now >= self.next_step:
            instance, program = self.steps.pop(0)
            instance.next_program = program
            instance.process.send_signal(signal.SIGTERM)
            self.busy.add(id(instance))
            self.system.oracle.disturbances.begin(instance.name)
            self.stopping = (instance, now + instance.settings["stopLimitS"])

    def await_end(self, now):
        instance, limit = self.stopping
        code = instance.process.poll()
        if code is None and now < limit:
            return
        self.system.oracle.process_ended(
            instance.name, "no end in time" if code is None else code, was_asked=True, now=now)
        instance.kill()
        instance.program = instance.next_program
        self.system.start(instance)
        self.busy.discard(id(instance))
        self.system.oracle.disturbances.end(instance.name, now)
        self.counts["upgrade"] += 1
        self.stopping, self.next_step = None, now + PAUSE_S

    def run_due(self, everything=False):
        """There are no faults to end."""

    def evacuate(self):
        """An upgrade evacuates no zone."""

    def is_complete(self):
        return not self.steps and self.stopping is None
