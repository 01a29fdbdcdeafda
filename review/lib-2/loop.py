"""A single-threaded event loop: sockets that become readable, and timers."""

import heapq
import itertools
import selectors
import time


class Loop:
    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers, self.order = [], itertools.count()
        self.start = time.monotonic()

    def now(self):
        """Seconds since the start of the run."""
        return time.monotonic() - self.start

    def watch(self, readable, hook):
        self.selector.register(readable, selectors.EVENT_READ, hook)

    def unwatch(self, readable):
        self.selector.unregister(readable)

    def at(self, when, hook):
        heapq.heappush(self.timers, (when, next(self.order), hook))

    def after(self, delay, hook):
        self.at(self.now() + delay, hook)

    def run_until(self, end):
        while (now := self.now()) < end:
            next_timer = self.timers[0][0] if self.timers else end
            timeout = max(0, min(next_timer, end) - now)
            for key, _ in self.selector.select(timeout):
                key.data()
            while self.timers and self.timers[0][0] <= self.now():
                heapq.heappop(self.timers)[2]()
