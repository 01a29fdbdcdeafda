"""A rolling upgrade of all instances, back halfway, and forward again, as planned work."""

import signal
import time

from faults import Faults

# Between the start of a process and the stop of the next instance.
PAUSE_S = 1


class Upgrade(Faults):
    """Replaces the instances one after the other: all get the new program, the first half goes
    back to the earlier one, and forward again. There are no other faults."""

    def __init__(self, system, random_source, earlier_program, program):
        super().__init__(system, random_source)
        half = system.instances[:len(system.instances) // 2]
        self.steps = ([(instance, program) for instance in system.instances]
                      + [(instance, earlier_program) for instance in half]
                      + [(instance, program) for instance in half])
        self.counts = {"upgrade": 0}
        self.next_step = time.monotonic() + PAUSE_S

    def step(self):
        if self.busy or not self.steps or time.monotonic() < self.next_step:
            return
        instance, program = self.steps.pop(0)
        # Takes effect at the next start.
        instance.program = program
        self.busy.add(id(instance))
        instance.process.send_signal(signal.SIGTERM)
        self.oracle.disturbances.begin(instance.name)
        self.await_end(instance, time.monotonic() + instance.settings["stopLimitS"])

    def release(self, target):
        super().release(target)
        self.counts["upgrade"] += 1
        self.next_step = time.monotonic() + PAUSE_S

    def evacuate(self):
        """An upgrade evacuates no zone."""

    def is_complete(self):
        return not self.steps and not self.busy
