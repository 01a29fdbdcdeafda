"""Shortage of processor time: processes that keep processors busy, and a process that is
stopped for most of each period."""

import os
import signal
import subprocess
import sys
import time

# Ends by itself as well, in case the soak is killed.
BUSY_LOOP = """import sys, time
end = time.monotonic() + float(sys.argv[1])
while time.monotonic() < end:
    pass
"""


class BusyProcesses:
    """Child processes that use a processor each, at most as many as there are."""

    def __init__(self):
        self.processes = []

    def start(self, count, seconds):
        self.processes = [process for process in self.processes if process.poll() is None]
        count = min(count, os.cpu_count() - len(self.processes))
        started = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP, str(seconds)])
                   for _ in range(count)]
        self.processes += started
        return started

    @staticmethod
    def stop(processes):
        for process in processes:
            if process.poll() is None:
                process.kill()
            process.wait()


class Starvation:
    """Lets a process run for RUN_S of each PERIOD_S only, until `end` is called."""

    RUN_S, PERIOD_S = 0.02, 0.2

    def __init__(self, loop, process):
        self.loop, self.process, self.is_over = loop, process, False
        self.halt()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def halt(self):
        if self.is_over:
            return
        self.signal(signal.SIGSTOP)
        self.loop.after(self.PERIOD_S - self.RUN_S, self.resume)

    def resume(self):
        if self.is_over:
            return
        self.signal(signal.SIGCONT)
        self.loop.after(self.RUN_S, self.halt)

    def end(self):
        self.is_over = True
        self.signal(signal.SIGCONT)
