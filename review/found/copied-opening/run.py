"""A repeated opening packet goes to the service that an older configuration names. See
claim.txt."""

import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib-2"))
import case as cases  # noqa: E402
from deployment import BOUNDS  # noqa: E402

ROUTE = ("198.18.0.1", 8443)
SERVICES = ("chat-core", "media-shelf")
CHANGE_EVERY_S = 2.0
RUN_S = 85.0
OPENINGS_PER_S = 150
# Share of the packets that are lost on each way: from clients to machines, from machines to
# targets, and back to clients.
LOSS = 0.03


def play(case):
    loop, slack = case.loop, BOUNDS["RollbackSlackMs"] / 1000
    lossy = random.Random(7)
    for service in SERVICES:
        for _ in range(4):
            case.add_target(service)
    case.write_configuration(10, {ROUTE: (SERVICES[0], "idempotent", 500)})
    case.add_machine(), case.add_machine()
    case.wait_until_ready()
    clients = case.add_clients()
    names = {machine.data_address: machine.name for machine in case.machines}
    version = 10
    # When a target first saw the effect of the newest version through a machine.
    effects, sent_at, violations = {}, {}, []
    opened = 0

    def is_lost():
        return case.trouble and lossy.random() < LOSS

    def service_of(number):
        return SERVICES[number // 3 % 2]

    def on_send(flow, packet, machine):
        if packet.is_opening:
            sent_at[(flow.port, packet.acknowledged)] = loop.now()
        return not is_lost()

    def on_arrival(target, packet, source):
        if is_lost():
            return False
        if packet.is_opening:
            take_opening(target, packet, names[source])
            return not is_lost()  # The answer is lost.
        return True

    def take_opening(target, packet, machine):
        port, sent = packet.source[1], sent_at[(packet.source[1], packet.acknowledged)]
        if target.service == service_of(version):
            effects.setdefault((machine, version), loop.now())
            return
        effect = effects.get((machine, version))
        if effect is not None and sent > effect + slack:
            violations.append(
                "CONFIG: flow %d: the opening packet sent at %.3f s (copy %d) was taken by a target "
                "of %s through %s, where a target had seen the effect of version %d at %.3f s" % (
                    port, sent, packet.acknowledged, target.service, machine, version, effect))

    def on_event(flow, event, detail):
        nonlocal opened
        if event == "opened":
            opened += 1
        elif event == "answered":
            clients.close(flow)

    clients.on_event, clients.on_send = on_event, on_send
    for target in case.targets:
        target.on_arrival = on_arrival

    def open_flow():
        clients.open(ROUTE, "GET")
        loop.after(1 / OPENINGS_PER_S, open_flow)

    def change():
        nonlocal version
        version += 3
        case.write_configuration(version, {ROUTE: (service_of(version), "idempotent", 500)})
        loop.after(CHANGE_EVERY_S, change)

    cases.wait_until(lambda: all(machine.in_rotation for machine in case.machines), 5)
    start = loop.now()
    open_flow()
    loop.after(2.0, change)
    loop.run_until(start + RUN_S)
    case.record("%d flows were opened" % opened)
    if opened < OPENINGS_PER_S * RUN_S / 2:
        case.not_run("too few flows were opened")
    return violations


cases.run(play)
