"""Clients with long flows while the forwarders are restarted in turn and a small
share of the targets' datagrams is lost. Exits with 1 if rule FLOW is broken."""

import os
import random
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
# The share of the datagrams from targets to clients that is lost, and for how long.
LOSS = 0.025 if TROUBLE else 0
LOSS_S = 5.5
# From the end of the loss to the restarts: more than StableMs.
CALM_S = 4.3
RESTART_GAP_S = 2.0
CYCLE_S = 18
CYCLES = 5
ZONE = "mids-a"
FORWARDERS = ["127.30.0.1", "127.30.0.2", "127.30.0.3"]
TARGETS = ["127.30.1.%d" % n for n in range(1, 6)]
CLIENTS = ["127.30.2.%d" % n for n in range(1, 9)]
SERVICE = ("127.30.9.1", 443)
NEW_FLOWS_PER_S = 60
FLOW_AGE_S = 16
# Pauses between the requests of a flow.
PAUSE_S = (4.0, 8.0)
TIME_LIMIT_S = 0.6


def main():
    folder = os.path.dirname(os.path.abspath(__file__))
    world = s.World(folder, FORWARDERS + TARGETS + CLIENTS)
    draw = random.Random(SEED)
    loss = {"on": False, "ended": 0.0, "lost": 0}

    def is_lost(target, packet):
        if not loss["on"] or draw.random() >= LOSS:
            return False
        loss["lost"] += 1
        return True

    def set_loss(is_on):
        loss["on"], loss["ended"] = is_on, time.monotonic()
        world.record.write("loss begins" if is_on else "loss ends")

    world.loss = is_lost
    world.store = s.Store("127.30.8.1")
    world.store.put("op/config", s.configuration(7, [s.route("desk", SERVICE, "chat")]))
    targets = [s.Target(world, 0x4a10 + n, "chat", ZONE, address)
               for n, address in enumerate(TARGETS)]
    for target in targets:
        target.register()
    world.forwarders = [s.Forwarder(world, "front-%d" % n, ZONE, address, FORWARDERS)
                        for n, address in enumerate(FORWARDERS, 1)]
    for forwarder in world.forwarders:
        forwarder.start()
    world.start_routers()
    if not world.wait_ready():
        world.close()
        return 2
    clients = [s.Client(world, address) for address in CLIENTS]
    counts = {"flows": 0, "sent": 0, "answered": 0, "unanswered": 0}
    end = time.monotonic() + CYCLE_S * CYCLES

    def answered(flow, data):
        counts["answered" if data else "unanswered"] += 1
        flow.outcomes = getattr(flow, "outcomes", []) + [bool(data)]
        if data and flow.request_id.encode() not in data:
            world.record.write("MIXED: an answer to another request on %s" % (flow.source,))
        think(flow)

    def think(flow):
        if time.monotonic() - flow.opened_at > FLOW_AGE_S:
            flow.close()
            return
        world.loop.after(draw.uniform(*PAUSE_S), lambda: send(flow))

    def send(flow):
        if flow.state != "open":
            return
        counts["sent"] += 1
        flow.request_id = "q%06d" % counts["sent"]
        flow.request(flow.request_id, TIME_LIMIT_S, answered)

    def arrive():
        if time.monotonic() < end - CYCLE_S / 2:
            counts["flows"] += 1
            draw.choice(clients).open(SERVICE, send)
            world.loop.after(draw.expovariate(NEW_FLOWS_PER_S), arrive)

    def restart(forwarder):
        """Planned work: SIGTERM, and a new start after the process has ended."""
        forwarder.signal(signal.SIGTERM)
        def wait():
            if forwarder.is_running():
                world.loop.after(0.1, wait)
            else:
                world.loop.after(0.3, forwarder.start)
        wait()

    def on_reset(flow, was_open, by_system):
        target = world.opened_at_target.get(flow.source)
        held = target is not None and target.flows.get(flow.source, {}).get("open", False)
        resets.append((time.monotonic(), flow, was_open, by_system, held,
                       None if loss["on"] else loss["ended"]))

    resets = []
    world.on_reset = on_reset
    arrive()
    for cycle in range(CYCLES):
        start = cycle * CYCLE_S
        world.loop.after(start, lambda: set_loss(True))
        world.loop.after(start + LOSS_S, lambda: set_loss(False))
        for turn, forwarder in enumerate(world.forwarders):
            world.loop.after(start + LOSS_S + CALM_S + turn * RESTART_GAP_S,
                             lambda f=forwarder: restart(f))
    world.loop.run_until(end)
    world.is_probing = False

    broken = []
    for when, flow, was_open, by_system, held, loss_then in resets:
        target = world.opened_at_target.get(flow.source)
        if not was_open or target is None:
            continue
        calm_s = 0 if loss_then is None else when - loss_then
        sender = "the system" if by_system else "a target"
        world.record.write("open flow %s of %s is reset by %s; its target is %s and %s the flow; "
                           "%.1f s after the last loss; opening answers %d; request %s"
                           % (flow.source, SERVICE, sender, target.name,
                              "holds" if held else "does not hold", calm_s, flow.opening_answers,
                              flow.pending or getattr(flow, "request_id", "-")))
        if held and calm_s >= s.BOUNDS["StableMs"] / 1000:
            broken.append(flow)
    world.record.write("lost datagrams: %d" % loss["lost"])
    world.record.write("sent and run: %s" % counts)
    world.record.write("runs at targets: %s" % {t.name: len(t.runs) for t in targets})
    ran = {}
    for target in targets:
        for _, identity in target.runs:
            ran[identity] = ran.get(identity, 0) + 1
    world.record.write("requests run twice: %d" % sum(1 for n in ran.values() if n > 1))
    world.record.write("FLOW broken: %d open flows were reset by another than their target"
                       % len(broken))
    world.close()
    return 1 if broken else 0


if __name__ == "__main__":
    s.run_case(main)
