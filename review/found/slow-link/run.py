"""An instance with a slow link opens flows at a target long after it said that it leaves. See
claim.txt."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib-2"))
import case as cases  # noqa: E402
import deployment  # noqa: E402
from link import Link  # noqa: E402

# The bounds of the sheet with these links (andina-msg-now-grown).
deployment.BOUNDS.update(StableMs=5000, ConfigApplyMs=5000, DrainMs=5000)
DRAIN_S = deployment.BOUNDS["DrainMs"] / 1000
LINK_MBPS = 10.0
CHAT = ("198.18.0.1", 8080)
ROUTE = ("chat-core", "non_idempotent", 600)
# big_config, then config_storm, in the largest doses of the site files.
MORE_ROUTES = 1400
BIG_AT_S = 3.0
STORM_AT_S, STORM_S, STORM_GAP_S = 9.0, 2.0, 0.08
DRAIN_AT_S = STORM_AT_S + 1.5
# The target goes on for DrainMs and some seconds longer, then it exits.
EXIT_AT_S = DRAIN_AT_S + DRAIN_S + 6.0
END_S = 25.0
OPENINGS_PER_S = 60


def play(case):
    loop = case.loop
    targets = [case.add_target("chat-core") for _ in range(4)]
    leaving = targets[0]
    routes = {CHAT: ROUTE}
    more = {("198.18.%d.%d" % (1 + number // 250, 1 + number % 250), 443): ROUTE
            for number in range(MORE_ROUTES)}
    version = 10
    case.write_configuration(version, routes)
    link = Link(case.store.servers[0].server_address, LINK_MBPS)
    case.add_machine(store=link.address, link_mbps=LINK_MBPS)
    case.add_machine(store=Link(case.store.servers[0].server_address, LINK_MBPS).address,
                     link_mbps=LINK_MBPS)
    case.wait_until_ready()
    clients = case.add_clients()
    names = {machine.data_address: machine.name for machine in case.machines}
    drained_at, violations = None, []

    def on_arrival(target, packet, source):
        if target is leaving and packet.is_opening and drained_at is not None:
            late = sent_at[(packet.source[1], packet.acknowledged)] - drained_at
            case.record("a flow opens at the leaving target through %s, sent %.3f s after the "
                        "ack" % (names[source], late))
            if late > DRAIN_S:
                violations.append("DRAIN: flow %d, sent %.0f ms after the store acknowledged that "
                                  "the target leaves, reached it through %s" % (
                                      packet.source[1], 1000 * late, names[source]))
        return True

    for target in targets:
        target.on_arrival = on_arrival
    sent_at = {}

    def on_send(flow, packet, machine):
        if packet.is_opening:
            sent_at[(flow.port, packet.acknowledged)] = loop.now()
        return True

    def on_event(flow, event, detail):
        if event == "answered":
            clients.close(flow)

    clients.on_send, clients.on_event = on_send, on_event

    def open_flow():
        clients.open(CHAT, "POST")
        loop.after(1 / OPENINGS_PER_S, open_flow)

    def write():
        nonlocal version
        version += 2
        case.write_configuration(version, {**routes, **more})

    def storm(end):
        if loop.now() < end:
            write()
            loop.after(STORM_GAP_S, lambda: storm(end))

    def drain():
        nonlocal drained_at
        leaving.state = "draining"
        leaving.check_in()
        drained_at = loop.now()
        case.record("the store acknowledges that %s leaves" % leaving.name)

    def leave():
        leaving.exit()
        case.record("the leaving target exits; %d flows were open there" % len(leaving.flows))

    cases.wait_until(lambda: all(machine.in_rotation for machine in case.machines), 5)
    start = loop.now()
    open_flow()
    if case.trouble:
        loop.at(start + BIG_AT_S, write)
        loop.at(start + STORM_AT_S, lambda: storm(start + STORM_AT_S + STORM_S))
    loop.at(start + DRAIN_AT_S, drain)
    loop.at(start + EXIT_AT_S, leave)
    loop.run_until(start + END_S)
    return violations


cases.run(play)
