"""What the scripts of all cases share: the record, the system under test and its end."""

import atexit
import os
import pathlib
import random
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from deployment import HEARTBEAT_MS, Machine, Routers, free_port, wait_until  # noqa: E402
from flows import Clients, Target  # noqa: E402
from loop import Loop  # noqa: E402
from flow_platform import CONFIGURATION_KEY, Store  # noqa: E402

BROKEN, HELD, NOT_RUN = 1, 0, 2


def configuration(version, routes):
    """A configuration with routes of (address, port): (service, route type, time limit)."""
    # As the wire examples show them, but for the services' own fields.
    return {"Version": version, "Services": [], "Limits": {"IdleTimeoutMs": 15000},
            "Routes": [{"Name": "r-%s-%d" % address, "Host": address[0],
                        "Prefix": "/%d/" % address[1], "RouteType": kind, "TimeoutMs": limit_ms,
                        "AimMs": 120, "Priority": 1, "Service": service, "MaxAttempts": 2}
                       for address, (service, kind, limit_ms) in routes.items()]}


class OrderedStore(Store):
    """Lists items in the order of their keys, as a store with pages does."""

    def answer(self, path, query):
        status, content = super().answer(path, query)
        if path == "/kv-range":
            content["items"].sort(key=lambda item: item["Key"])
        return status, content


class Case:
    """A store, targets, machines and clients in one zone on loopback addresses."""

    ZONE = "zone-a"

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(folder)
        self.record_file = open("record.txt", "w")
        self.loop, self.store = Loop(), OrderedStore()
        self.network = "127.%d.%d" % (random.randint(20, 120), random.randint(1, 250))
        self.data_port = free_port(self.host(1))
        self.targets, self.machines = [], []
        self.routers, self.clients = Routers(self.machines), None
        atexit.register(self.end)
        signal.signal(signal.SIGTERM, lambda *_: self.not_run("it took too long"))

    def host(self, number):
        return "%s.%d" % (self.network, number)

    def record(self, text):
        self.record_file.write("%8.3f s  %s\n" % (self.loop.now(), text))

    def add_target(self, service):
        number = len(self.targets) + 1
        target = Target(self.loop, self.store, 0x9046000000 + number, service, self.ZONE,
                        (self.host(100 + number), self.data_port), self.data_port,
                        HEARTBEAT_MS / 1000)
        self.targets.append(target)
        target.record = self.record
        target.check_in()
        # Targets check in at different moments.
        self.loop.after(random.uniform(0, HEARTBEAT_MS / 1000), target.keep_checking_in)
        return target

    def add_machine(self, store=None, **hardware):
        number = len(self.machines) + 1
        machine = Machine(self.folder, "front-%d" % number, self.ZONE, self.host(number),
                          self.data_port, store or self.store.address,
                          [other.control_address for other in self.machines[:3]], self.record,
                          **hardware)
        machine.start()
        self.machines.append(machine)
        self.routers.add(machine)
        return machine

    def add_clients(self):
        self.clients = Clients(self.loop, self.routers, self.host(200), self.data_port)
        self.clients.record = self.record
        return self.clients

    def write_configuration(self, version, routes):
        self.store.put(CONFIGURATION_KEY, configuration(version, routes))
        named = ["%s:%d to %s" % (*address, route[0]) for address, route in routes.items()][:4]
        self.record("the store acknowledges configuration %d with %d routes: %s" % (
            version, len(routes), ", ".join(named)))
        return self.loop.now()

    def wait_until_ready(self, seconds=10):
        if not wait_until(lambda: all(machine.is_ready() for machine in self.machines), seconds):
            self.not_run("the machines do not become ready")

    def not_run(self, why):
        print("the case could not run: " + why)
        self.record("the case could not run: " + why)
        self.finish(NOT_RUN)

    def finish(self, code):
        self.end()
        self.record_file.close()
        sys.stdout.flush()
        os._exit(code)  # Threads of the stand-ins still wait for packets.

    def end(self):
        for machine in self.machines:
            machine.end()


def run(play):
    """Plays a case in a temporary folder. `play` returns the sentences that tell how the rule
    was broken."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(folder)
        try:
            violations = play(case)
        except Exception as error:  # The stand-ins failed, which says nothing of the rule.
            case.not_run(repr(error))
        for machine in case.machines:
            if machine.process and machine.process.poll() not in (None, 0):
                case.record("%s ended with %s" % (machine.name, machine.process.poll()))
        for violation in violations:
            case.record("BROKEN: " + violation)
        print("%d violations" % len(violations), *violations[:3], sep="\n")
        case.end()
    case.finish(BROKEN if violations else HELD)
