"""The network in front of the instances: sends each flow to a ready instance."""

import threading
import time
import zlib


class Fabric:
    """Chooses the instance of a packet among those of the client's zone that report to be
    ready, or of another zone if none is."""

    POLL_S = 0.5
    FAILED_POLLS_UNTIL_REMOVED = 2

    def __init__(self, instances):
        self.instances, self.failed_polls = instances, {instance.name: 0 for instance in instances}
        self.zones = {}
        for instance in instances:
            self.zones.setdefault(instance.zone, []).append(instance)
            threading.Thread(target=self.poll, args=(instance,), daemon=True).start()

    def poll(self, instance):
        while True:
            is_ready = instance.is_ready(timeout=self.POLL_S)
            self.failed_polls[instance.name] = \
                0 if is_ready else self.failed_polls[instance.name] + 1
            time.sleep(self.POLL_S)

    def candidates(self, zone):
        names = sorted(self.zones)
        start = names.index(zone)
        for name in names[start:] + names[:start]:
            ready = [instance for instance in self.zones[name]
                     if self.failed_polls[instance.name] < self.FAILED_POLLS_UNTIL_REMOVED]
            if ready:
                return ready if 2 * len(ready) >= len(self.zones[name]) else self.zones[name]
        return self.zones[zone]

    def choose(self, packet, zone):
        candidates = self.candidates(zone)
        return candidates[
            zlib.crc32(repr((packet.source, packet.destination)).encode()) % len(candidates)]
