"""After a planned restart, an instance sends the packets of open flows to the address of another
writer's entry. See claim.txt."""

import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
import case as cases  # noqa: E402
from deployment import BOUNDS  # noqa: E402

PHOTOS = ("198.18.0.2", 8443)
TIME_LIMIT_S = 3.0
FLOWS = 24
PAUSE_S = (0.3, 1.0)
ODD_ENTRY_AT_S = 2.0
# Each machine is stopped and started in turn.
STOP_AT_S, STOP_EVERY_S = 4.0, 9.0
END_S = 26.0
MIN_STRAYS = 3


def play(case):
    loop, stray_s = case.loop, BOUNDS["FlowStrayMs"] / 1000
    photos = [case.add_target("media-shelf") for _ in range(3)]
    chat = case.add_target("chat-core")
    case.write_configuration(10, {PHOTOS: ("media-shelf", "download", int(1000 * TIME_LIMIT_S))})
    case.add_machine(), case.add_machine()
    case.wait_until_ready()
    clients = case.add_clients()
    # The target of each open flow; when packets of a flow reached its own target or others.
    owners, own_packets, strays, violations = {}, {}, {}, []

    def on_arrival(target, packet, source):
        port, owner = packet.source[1], owners.get(packet.source[1])
        if owner is target:
            own_packets[port] = loop.now()
            strays.pop(port, None)
        elif owner is not None and not packet.is_opening:
            strays.setdefault(port, []).append(loop.now())
            case.record("a packet of flow %d, which is open at %s, reaches %s" % (
                port, owner.name, target.name))
        return True

    def on_open(target, packet, source):
        owners[packet.source[1]] = target
        case.record("flow %d is open at %s" % (packet.source[1], target.name))

    for target in case.targets:
        target.on_arrival, target.on_open = on_arrival, on_open

    def request(flow):
        if flow.state != "open":
            return
        clients.send_request(flow)
        loop.after(stray_s + 0.1, lambda request_id=flow.waiting_for: judge(flow, request_id))
        loop.after(TIME_LIMIT_S, lambda request_id=flow.waiting_for: give_up(flow, request_id))

    def judge(flow, request_id):
        """Whether three or more packets in FlowStrayMs reached other targets, none its own."""
        times = [when for when in strays.get(flow.port, []) if when > loop.now() - stray_s - 0.1]
        if flow.waiting_for == request_id and flow.state == "open" and len(times) >= MIN_STRAYS \
                and own_packets.get(flow.port, 0) < loop.now() - stray_s:
            violations.append("FLOW: %d packets of flow %d reached other targets in %.1f s, none "
                              "its own" % (len(times), flow.port, stray_s))

    def give_up(flow, request_id):
        if flow.waiting_for == request_id and flow.state == "open":
            case.record("request %s is not answered within its time limit" % request_id)
            clients.close(flow)
            clients.open(PHOTOS, "GET")

    def on_event(flow, event, detail):
        if event == "opened":
            loop.after(random.uniform(*PAUSE_S), lambda: request(flow))
        elif event == "answered":
            loop.after(random.uniform(*PAUSE_S), lambda: request(flow))
        else:
            clients.open(PHOTOS, "GET")

    clients.on_event, clients.sends_at_once = on_event, False

    def write_odd_entry():
        """An entry of another writer that names no service of the configuration."""
        target = photos[0]
        entry = {**target.registration(), "Service": "backup",
                 "Address": "%s:%d" % chat.endpoint}
        case.store.put("servers/backup-%x" % target.identity, entry)
        case.record("another writer puts servers/backup-%x: %s" % (target.identity, entry))

    def watch():
        for machine in case.machines:
            machine.restart_if_ended(loop)
        loop.after(0.05, watch)

    cases.wait_until(lambda: all(machine.in_rotation for machine in case.machines), 5)
    start = loop.now()
    watch()
    for number in range(FLOWS):
        loop.at(start + 0.02 * number, lambda: clients.open(PHOTOS, "GET"))
    if case.trouble:
        loop.at(start + ODD_ENTRY_AT_S, write_odd_entry)
    for number, machine in enumerate(case.machines):
        loop.at(start + STOP_AT_S + number * STOP_EVERY_S,
                lambda machine=machine: machine.signal(signal.SIGTERM))
    loop.run_until(start + END_S)
    if len(owners) < FLOWS / 2:
        case.not_run("too few flows were opened")
    return violations


cases.run(play)
