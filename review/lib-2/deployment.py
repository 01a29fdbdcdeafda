"""The processes of a small deployment: forwarders that are started as the deploy file says,
with settings made from its template, and the routers in front of them."""

import http.client
import json
import pathlib
import re
import signal
import socket
import subprocess
import threading
import time
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds of the small deployments (site file andina-msg).
BOUNDS = {"StableMs": 4000, "ConfigApplyMs": 3000, "RollbackSlackMs": 250, "DrainMs": 3000,
          "GraceS": 6, "FlowStrayMs": 2000, "FlowLifetimeS": 60}
HEARTBEAT_MS = 1200
LINK_MBPS = 1000.0
# The platform starts a process again this long after it ended.
RESTART_DELAY_S = 0.5


def deploy_field(name):
    """A text of the deploy file, which has one role."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    return re.search(r'^%s = "(.*)"$' % name, text, re.MULTILINE).group(1)


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a.b|json}} of a settings template."""
    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for name in path.split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found) if form == "json" else str(found)
    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Machine:
    """One machine of the deployment with its forwarder process."""

    def __init__(self, folder, name, zone, address, data_port, store, seeds, record,
                 link_mbps=LINK_MBPS):
        self.name, self.zone, self.address, self.record = name, zone, address, record
        self.data_address = (address, data_port)
        self.ready_address = "%s:%d" % (address, free_port(address))
        self.control_address = "%s:%d" % (address, free_port(address))
        self.settings_path = folder / (name + ".json")
        self.log_path = folder / (name + ".log")
        ports = sorted(free_port(address) for _ in range(2))
        fields = {"NodeId": name, "Zone": zone, "Ip": address,
                  "Listen": {"DataAddr": "%s:%d" % self.data_address,
                             "Ready": self.ready_address, "Control": self.control_address},
                  "InternalPortRange": ports, "Seeds": seeds, "HeartbeatMs": HEARTBEAT_MS,
                  "Limits": {"LinkMbps": link_mbps}, "Bounds": BOUNDS,
                  "platform": {"Address": store}}
        template = (ROOT / deploy_field("template")).read_text()
        self.settings_path.write_text(render(template, fields))
        self.process = None
        # How often a process ended without being asked to.
        self.own_ends, self.is_removed = 0, False
        self.in_rotation, self.misses = False, 2

    def start(self):
        words = deploy_field("run").split()
        words[0] = str(ROOT / words[0])
        words[-1] = str(self.settings_path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log)
        self.record("%s starts" % self.name)

    def restart_if_ended(self, loop):
        """What the platform does with a process that ends by itself."""
        if self.process is None or self.is_removed or self.is_running():
            return
        self.own_ends += 1
        # The record names no folder of the machine that it was made on.
        output = self.log_path.read_text().strip().replace(str(self.settings_path),
                                                           self.settings_path.name)
        self.record("%s ended by itself with code %d: %s" % (
            self.name, self.process.returncode, output[-120:]))
        self.process = None
        loop.after(RESTART_DELAY_S, self.start)

    def remove(self):
        """Takes the machine away with SIGTERM."""
        self.is_removed = True
        self.signal(signal.SIGTERM)

    def signal(self, number):
        self.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def is_gone(self):
        return self.is_removed and not self.is_running()

    def is_ready(self, timeout=0.4):
        connection = http.client.HTTPConnection(self.ready_address, timeout=timeout)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (http.client.HTTPException, OSError):
            return False
        finally:
            connection.close()

    def end(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()


class Routers:
    """Sends each flow to one of the machines that are in rotation, chosen by a hash of the
    flow that moves only the flows of a machine that joins or leaves ("steady")."""

    PROBE_S = 0.5

    def __init__(self, machines):
        self.machines = machines
        for machine in machines:
            self.add(machine)

    def add(self, machine):
        threading.Thread(target=self.probe, args=(machine,), daemon=True).start()

    def probe(self, machine):
        while True:
            if machine.is_ready():
                machine.in_rotation, machine.misses = True, 0
            else:
                machine.misses += 1
                if machine.misses >= 2:
                    machine.in_rotation = False
            time.sleep(self.PROBE_S)

    def choose(self, source, destination):
        known = [machine for machine in self.machines if not machine.is_gone()]
        candidates = [machine for machine in known if machine.in_rotation]
        if 2 * len(candidates) < len(known):
            candidates = known
        score = lambda machine: zlib.crc32(repr((machine.name, source, destination)).encode())
        return max(candidates, key=score)


def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.02)
    return True
