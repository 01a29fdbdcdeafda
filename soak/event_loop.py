"""Timers and sockets of the soak's clients and upstreams, served by one thread."""

import heapq
import itertools
import selectors
import time

MAX_WAIT_S = 0.01
# Sockets are read after this many timers at the latest.
MAX_TIMERS = 20


class EventLoop:
    def __init__(self):
        self.selector = selectors.DefaultSelector()
        # Ordered by time.
        self.timers, self.timer_ids = [], itertools.count()
        # How late the latest timer ran: the soak itself was short of processor time.
        self.max_delay_s = 0.0

    def after(self, seconds, action):
        heapq.heappush(self.timers, (time.monotonic() + seconds, next(self.timer_ids), action))

    def watch(self, file, action):
        """Calls the action whenever the file can be read."""
        self.selector.register(file, selectors.EVENT_READ, action)

    def unwatch(self, file):
        self.selector.unregister(file)

    def run(self, seconds):
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            for _ in range(MAX_TIMERS):
                if not self.timers or self.timers[0][0] > now:
                    break
                due, _, action = heapq.heappop(self.timers)
                self.max_delay_s = max(self.max_delay_s, now - due)
                action()
            wait = min(end, self.timers[0][0] if self.timers else end, now + MAX_WAIT_S) - now
            for key, _ in self.selector.select(max(wait, 0)):
                # An earlier action may have closed the file.
                if self.selector.get_map().get(key.fd) is key:
                    key.data()
