"""Machines whose link rate is no whole number never start. See claim.txt."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
import case as cases  # noqa: E402

CHAT = ("198.18.0.1", 8080)
MACHINES = 3
# The link of the machines that replace the first ones, in Mbit/s.
TROUBLED_LINK_MBPS, CALM_LINK_MBPS = 2.6, 3.0
ADD_AT_S = 3.0
REMOVE_AT_S, REMOVE_EVERY_S = 8.0, 3.0
END_S = 30.0
OPENINGS_PER_S = 20
WATCH_EVERY_S = 0.05
# A tenth of the machines in use, but two at least, end by themselves three times.
FAULT_MACHINES, FAULT_ENDS = 2, 3


def play(case):
    loop = case.loop
    for _ in range(4):
        case.add_target("chat-core")
    case.write_configuration(10, {CHAT: ("chat-core", "non_idempotent", 600)})
    old = [case.add_machine() for _ in range(MACHINES)]
    case.wait_until_ready()
    clients = case.add_clients()
    counts = {"answered": 0}

    def on_event(flow, event, detail):
        counts[event] = counts.get(event, 0) + 1
        if event == "answered":
            clients.close(flow)

    clients.on_event = on_event

    def open_flow():
        clients.open(CHAT, "POST")
        loop.after(1 / OPENINGS_PER_S, open_flow)

    def add_machines():
        for _ in range(MACHINES):
            case.add_machine(link_mbps=TROUBLED_LINK_MBPS if case.trouble else CALM_LINK_MBPS)

    def watch():
        for machine in case.machines:
            machine.restart_if_ended(loop)
        loop.after(WATCH_EVERY_S, watch)

    start = loop.now()
    open_flow()
    watch()
    loop.at(start + ADD_AT_S, add_machines)
    for number, machine in enumerate(old):
        loop.at(start + REMOVE_AT_S + number * REMOVE_EVERY_S, machine.remove)
    loop.run_until(start + END_S)
    case.record("events of flows: %s" % sorted(counts.items()))
    if not counts["answered"]:
        case.not_run("no request was answered by the first machines")
    ended = [machine for machine in case.machines if machine.own_ends >= FAULT_ENDS]
    if len(ended) < FAULT_MACHINES:
        return []
    return ["Fault: the processes of %s ended by themselves %d times" % (
        machine.name, machine.own_ends) for machine in ended]


cases.run(play)
