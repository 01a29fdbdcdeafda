"""An instance that was added after two configurations goes back to the earlier one when the
operator writes both again to a restored store. See claim.txt."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
import case as cases  # noqa: E402
from deployment import BOUNDS  # noqa: E402

CHAT = ("198.18.0.1", 8080)
# The routes that the versions 13 and 15 add.
DESK, KIOSK = ("198.18.0.1", 8443), ("198.18.0.2", 8080)
ROUTE = ("chat-core", "non_idempotent", 600)
VERSIONS = {10: {CHAT: ROUTE}, 13: {CHAT: ROUTE, DESK: ROUTE},
            15: {CHAT: ROUTE, DESK: ROUTE, KIOSK: ROUTE}}

# Between the two changes, and between the two writes after the drill.
GAP_S = 2.0
FIRST_CHANGE_S = 2.0
SECOND_CHANGE_S = FIRST_CHANGE_S + GAP_S
ADDED_AT_S = 4.5
DRILL_AT_S = 8.5
STORE_AWAY_S = 0.3
# The core has been stable for StableMs by then, so all machines are in touch again.
FIRST_REWRITE_S = DRILL_AT_S + STORE_AWAY_S + BOUNDS["StableMs"] / 1000 + 0.5
SECOND_REWRITE_S = FIRST_REWRITE_S + GAP_S
END_S = SECOND_REWRITE_S + 4
# The copy is from just before the first change.
COPY_AGE_S = DRILL_AT_S - FIRST_CHANGE_S + 0.2
OPENINGS_PER_S = 20
LONG_FLOWS = 5


def play(case):
    loop, slack = case.loop, BOUNDS["RollbackSlackMs"] / 1000
    for _ in range(4):
        case.add_target("chat-core")
    case.write_configuration(10, VERSIONS[10])
    case.add_machine(), case.add_machine()
    case.wait_until_ready()
    clients = case.add_clients()
    violations, seen = [], {}
    start = loop.now()
    in_touch_from = start + DRILL_AT_S + STORE_AWAY_S + BOUNDS["StableMs"] / 1000

    def on_event(flow, event, detail):
        if event == "opened" and flow.route == KIOSK:
            seen.setdefault(flow.machine.name, loop.now())
        effect = seen.get(flow.machine.name)
        if event == "refused" and detail == "the system" and flow.opened_at > in_touch_from and \
                effect is not None and flow.opened_at > effect + slack:
            violations.append(
                "CONFIG: %s refused a flow to %s:%d that a client opened at %.3f s, though it had "
                "opened one there at %.3f s" % (flow.machine.name, *flow.route, flow.opened_at,
                                                effect))
        if event == "reset":
            case.record("note: flow %d was open at a living target" % flow.port)
        if event == "answered" and flow.is_long:
            loop.after(0.3, lambda: clients.send_request(flow))
        elif event == "answered":
            clients.close(flow)

    clients.on_event = on_event

    def open_flow(machine, is_long=False):
        flow = clients.open(KIOSK, "POST", machine)
        flow.is_long = is_long

    def open_short_flows():
        for machine in case.machines:
            open_flow(machine)
        loop.after(1 / OPENINGS_PER_S, open_short_flows)

    def open_long_flows():
        for machine in case.machines:
            for _ in range(LONG_FLOWS):
                open_flow(machine, is_long=True)

    def drill():
        case.record("the store goes away")
        case.store.outage_status = 503
        loop.after(STORE_AWAY_S, restore)

    def restore():
        case.store.restore(COPY_AGE_S + STORE_AWAY_S)
        case.store.outage_status = None
        case.record("the store is back from a copy, era %d, revision %d" % (
            case.store.era, case.store.revision))
        for target in case.targets:
            target.check_in()

    at = lambda seconds, action: loop.at(start + seconds, action)
    at(FIRST_CHANGE_S, lambda: case.write_configuration(13, VERSIONS[13]))
    at(SECOND_CHANGE_S, lambda: case.write_configuration(15, VERSIONS[15]))
    at(ADDED_AT_S, case.add_machine)
    at(ADDED_AT_S + 1, open_short_flows)
    at(ADDED_AT_S + 1.5, open_long_flows)
    if case.trouble:
        at(DRILL_AT_S, drill)
        at(FIRST_REWRITE_S, lambda: case.write_configuration(13, VERSIONS[13]))
        at(SECOND_REWRITE_S, lambda: case.write_configuration(15, VERSIONS[15]))
    loop.run_until(start + END_S)
    if len(seen) < len(case.machines):
        case.not_run("no flow was opened through every machine")
    return violations


cases.run(play)
