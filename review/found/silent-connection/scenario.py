"""The connections between the forwarders and the store go silent without a reset; new
ones work. Exits with 1 if rule DRAIN or CONFIG is broken."""

import os
import selectors
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lib"))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "mids-a"
FORWARDERS = ["127.33.0.1", "127.33.0.2"]
TARGETS = ["127.33.1.%d" % n for n in range(1, 6)]
CLIENTS = ["127.33.2.%d" % n for n in range(1, 5)]
STEADY, MOVED = ("127.33.9.1", 443), ("127.33.9.1", 8443)
ROUNDS = 3
TIME_LIMIT_S = 0.6


class SilencingProxy:
    """Passes connections on; those that are open when silence() is called carry
    nothing any more and are not closed."""

    def __init__(self, address, destination):
        self.destination, self.pairs = destination, []
        self.listener = socket.create_server((address, 0), backlog=128)
        self.endpoint = self.listener.getsockname()
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            client, _ = self.listener.accept()
            pair = {"silent": False, "open": True}
            self.pairs.append(pair)
            threading.Thread(target=self.pass_on, args=(pair, client), daemon=True).start()

    def pass_on(self, pair, client):
        with client, socket.create_connection(self.destination) as server:
            selector = selectors.DefaultSelector()
            selector.register(client, selectors.EVENT_READ, server)
            selector.register(server, selectors.EVENT_READ, client)
            while True:
                for key, _ in selector.select(0.05):
                    try:
                        data = key.fileobj.recv(65536)
                        if not data and (key.fileobj is client or not pair["silent"]):
                            pair["open"] = False
                            return
                        if not data:
                            selector.unregister(server)
                        elif not pair["silent"]:
                            key.data.sendall(data)
                    except OSError:
                        pair["open"] = False
                        return

    def silence(self):
        pairs = [pair for pair in self.pairs if pair["open"]]
        for pair in pairs:
            pair["silent"] = True
        return len(pairs)


def main():
    folder = os.path.dirname(os.path.abspath(__file__))
    world = s.World(folder, FORWARDERS + TARGETS + CLIENTS)
    note = world.record.write
    store = world.store = s.Store("127.33.8.1")
    version = [7]

    def write(moved_service):
        version[0] += 3
        acknowledged = store.put("op/config", s.configuration(version[0], [
            s.route("steady", STEADY, "chat"), s.route("moved", MOVED, moved_service)]))
        note("version %d is acknowledged" % version[0])
        return acknowledged

    write("chat")
    targets = [s.Target(world, 0x7d40 + n, "chat" if n < 4 else "media", ZONE, address)
               for n, address in enumerate(TARGETS)]
    for target in targets:
        target.register()
    proxies = [SilencingProxy("127.33.7.%d" % n, store.endpoint)
               for n in range(1, len(FORWARDERS) + 1)]
    world.forwarders = [s.Forwarder(world, "front-%d" % n, ZONE, address, FORWARDERS,
                                    store=proxies[n - 1].endpoint)
                        for n, address in enumerate(FORWARDERS, 1)]
    for forwarder in world.forwarders:
        forwarder.start()
    world.start_routers()
    if not world.wait_ready():
        world.close()
        return 2
    clients = [s.Client(world, address) for address in CLIENTS]
    counts = {"sent": 0, "answered": 0, "unanswered": 0}
    stop = [False]

    def answered(flow, data):
        counts["answered" if data else "unanswered"] += 1
        flow.close()

    def send(flow):
        counts["sent"] += 1
        flow.request("q%06d" % counts["sent"], TIME_LIMIT_S, answered)

    def arrive(number=0):
        if not stop[0]:
            for destination in (STEADY, MOVED):
                clients[number % 4].open(destination, send)
            world.loop.after(0.01, lambda: arrive(number + 1))

    def run(seconds):
        world.loop.run_until(time.monotonic() + seconds)

    arrive()
    run(5)
    stable_s = s.BOUNDS["StableMs"] / 1000
    broken = 0
    for turn in range(ROUNDS):
        # A change of the configuration, after which all forwarders watch anew.
        write("chat")
        run(0.68)
        if TROUBLE:
            note("%d connections to the store go silent" % sum(p.silence() for p in proxies))
        silent_at = time.monotonic()
        leaving = targets[turn]
        leaving.state = "draining"
        draining_at = leaving.register()
        moved_at = write("media")
        note("%s reports draining" % leaving.name)
        run(5.5)
        in_touch = silent_at + stable_s if TROUBLE else 0
        late = [t for t, _, _ in leaving.openings
                if t > max(draining_at + s.BOUNDS["DrainMs"] / 1000, in_touch)]
        old = [t for target in targets[:4] for t, _, destination in target.openings
               if destination == MOVED
               and t > max(moved_at + s.BOUNDS["ConfigApplyMs"] / 1000, in_touch)]
        for name, found, since in (("DRAIN", late, draining_at), ("CONFIG", old, moved_at)):
            note("%s: %d openings too late%s" % (
                name, len(found), ", %.3f to %.3f s after the acknowledgement, %.3f to %.3f s "
                "after the silence began" % (min(found) - since, max(found) - since,
                                             min(found) - silent_at, max(found) - silent_at)
                if found else ""))
        broken += len(late) + len(old)
        leaving.state = "ready"
        leaving.register()
        run(1)
        for target in targets:
            target.openings.clear()
        write("chat")
        run(5)
    stop[0] = True
    run(1)
    note("sent: %s" % counts)
    note("runs at targets: %s" % {t.name: len(t.runs) for t in targets})
    world.close()
    return 1 if broken else 0


if __name__ == "__main__":
    s.run_case(main)
