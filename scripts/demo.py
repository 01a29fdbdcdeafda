"""Runs a deployment on loopback under traffic and checks the guarantees."""

import json
import os
import shutil
import signal
import sys
import tempfile
import threading
import time

from demo_checks import Findings, report
import demo_deployments
from demo_deployments import CONNECTIONS, INSTANCES, SLOTS, Deployment
from demo_processes import (POLL_SECONDS, Children, DemoError, Interrupted,
                            call, expect, run_command, wait_for)

# Delay until the fabric sees a change of the platform's instance list.
INSTANCE_LAG_MS = 200
# A killed instance is detected after about 1 s; retransmissions follow.
KILL_EFFECT_MS = 3000
# The grace of a drain, and the time until its last request has ended.
DRAIN_EFFECT_MS = 4000
STOP_LIMIT_SECONDS = 35
# For MaxPacketLifetime after a cold start, the instances do not know all
# requests that ran before, so non-idempotent requests get the outcome Unknown, as specified.
COLD_START_SECONDS = 1.0


def now_ms():
    return int(time.time() * 1000)


class EventLog:
    """Times and results of the planned and unplanned events."""

    def __init__(self):
        self.seconds_until_applied = None
        self.stop_code = None
        self.events = []
        self.reverts = []


class VersionWatch(threading.Thread):
    """Follows the configuration version of every instance."""

    def __init__(self, log):
        super().__init__(daemon=True)
        self.log = log
        self.admin_addresses = {}
        self.versions = {}
        self.reports = {}
        self.stop_requested = threading.Event()

    def run(self):
        while not self.stop_requested.wait(POLL_SECONDS):
            for name, admin in list(self.admin_addresses.items()):
                self.read(name, admin)

    def read(self, name, admin):
        try:
            status, answer = call(admin, "GET", "/status", timeout=1.0)
        except (OSError, ValueError):
            return
        if status != 200:
            return
        self.reports[name] = answer
        version = answer["configurationVersion"]
        previous = self.versions.get(name, 0)
        if version < previous:
            self.log.reverts.append(f"{name} from {previous} to {version}")
        self.versions[name] = version

    def all_have(self, version):
        return all(self.versions.get(n, 0) >= version for n in self.admin_addresses)

    def all_active(self):
        """Whether each instance is active and sees all others as active."""
        for name in self.admin_addresses:
            report = self.reports.get(name)
            if report is None or report["self"]["state"] != "active":
                return False
            active = [m for m in report["members"] if m["state"] == "active"
                      and m["name"] != name]
            if len(active) != len(self.admin_addresses) - 1:
                return False
        return True


class Demo:
    def __init__(self, build, deployment, seconds, folder):
        self.build = os.path.abspath(build)
        self.deployment = deployment
        self.seconds = seconds
        self.folder = folder
        self.children = Children(folder)
        self.log = EventLog()
        self.watch = VersionWatch(self.log)
        self.upstreams = deployment.upstreams
        self.instances = []
        self.published_instances = []
        self.callers = {}

    def standin(self, name, command, *options):
        program = os.path.join(self.build, "indigopoint_standin")
        return self.children.start(
            name, [program, command, *map(str, options)])

    # Starting.

    def start_all(self):
        self.platform = self.standin("platform", "platform",
                                     "--instance-lag-ms", INSTANCE_LAG_MS)
        self.children.wait_ready([self.platform])
        self.start_upstreams()
        self.start_instances()
        self.apply(with_added_upstream=False)
        self.watch.start()
        wait_for("configuration 1 on all instances", 10,
                 lambda: self.watch.all_have(1))
        wait_for("full set of active members on all instances", 10,
                 self.watch.all_active)
        self.children.run_for(COLD_START_SECONDS)
        self.fabric = self.standin("fabric", "fabric", "--platform",
                                   self.platform.ready["http"],
                                   "--duplication", 0.01, "--max-delay-ms", 2)
        self.children.wait_ready([self.fabric])

    def start_upstreams(self):
        for seed, upstream in enumerate(self.upstreams):
            upstream.child = self.standin(
                upstream.name, "upstream", "--name", upstream.name,
                "--service-id", upstream.service.id, "--slots", SLOTS,
                "--connections", CONNECTIONS,
                "--service-ms", upstream.service.service_ms, "--seed", seed)
        self.children.wait_ready([u.child for u in self.upstreams])

    def start_instances(self):
        for index in range(INSTANCES):
            zone = self.deployment.zones[index % len(self.deployment.zones)]
            name = f"instance-{index + 1}"
            child = self.children.start(name, self.serve_command(name, zone))
            self.instances.append(child)
            # The first instance is the seed of the others.
            self.children.wait_ready([child])
            self.watch.admin_addresses[name] = child.ready["admin"]
            self.published_instances.append(
                {"name": name, "zone": zone, "leaving": False,
                 "address": child.ready["address"]})
        self.publish_instances()

    def serve_command(self, name, zone):
        seeds = [entry["address"] for entry in self.published_instances[:1]]
        settings = os.path.join(self.folder, name + ".json")
        with open(settings, "w", encoding="utf-8") as file:
            json.dump({"name": name, "zone": zone,
                       "region": self.deployment.region,
                       "address": "127.0.0.1:0",
                       "adminAddress": "127.0.0.1:0", "seeds": seeds,
                       "platform": self.platform.ready["http"],
                       "storePrefix": "indigopoint/"}, file)
        return [os.path.join(self.build, "indigopoint"), "serve",
                "--settings", settings]

    def publish_instances(self):
        expect(self.platform.ready["http"], "PUT", "/v1/instances",
               {"instances": self.published_instances})

    def apply(self, with_added_upstream):
        files = self.deployment.write_files(self.folder, with_added_upstream)
        run_command([os.path.join(self.build, "indigopoint"), "apply",
                     "--platform", self.platform.ready["http"],
                     "--author", "demo"] + files)

    def start_callers(self):
        for service in self.deployment.services:
            summary = os.path.join(self.folder, service.name + ".summary")
            child = self.standin(
                "caller-" + service.name, "caller",
                "--fabric", self.fabric.ready["address"],
                "--service-id", service.id, "--flows", service.flows,
                "--first-flow", service.id * 1_000_000,
                "--seed", service.id, "--summary", summary)
            self.callers[service.name] = (child, summary)
        self.children.wait_ready([c for c, _ in self.callers.values()])

    # Traffic.

    def record_event(self, title, planned, from_ms, until_ms, upstream=""):
        self.log.events.append((title, from_ms, until_ms))
        event = {"planned": planned, "from_ms": from_ms, "until_ms": until_ms,
                 "upstream": upstream}
        for child, _ in self.callers.values():
            expect(child.ready["admin"], "POST", "/events", event)

    def run_traffic(self):
        """Planned events come first, so that their effects cannot be attributed
        to the unplanned event."""
        part = self.seconds / 5
        self.start_callers()
        self.log.traffic_from = now_ms()
        self.children.run_for(part)
        self.change_configuration()
        self.children.run_for(part)
        self.drain_upstream()
        self.children.run_for(part)
        self.stop_instance()
        self.children.run_for(part)
        self.kill_instance()
        self.children.run_for(part)

    def change_configuration(self):
        from_ms = now_ms()
        begin = time.monotonic()
        self.apply(with_added_upstream=True)
        try:
            wait_for("configuration 2 on all instances", 6,
                     lambda: self.watch.all_have(2))
            self.log.seconds_until_applied = round(time.monotonic() - begin, 2)
        except DemoError:
            print("configuration 2 was not applied everywhere after 6 s:",
                  self.watch.versions)
        self.record_event("configuration", True, from_ms, now_ms() + 1000)

    def drain_upstream(self):
        upstream = self.upstreams[0]
        upstream.drained_at_ms = now_ms()
        self.record_event("drain", True, upstream.drained_at_ms,
                  upstream.drained_at_ms + DRAIN_EFFECT_MS, upstream.name)
        expect(upstream.admin, "POST", "/control", {"draining": True})

    def stop_instance(self):
        child = self.mark_leaving(1)
        from_ms = now_ms()
        child.process.terminate()
        wait_for(f"end of {child.name}", STOP_LIMIT_SECONDS,
                 lambda: child.process.poll() is not None)
        self.log.stop_code = child.process.returncode
        self.record_event("stop", True, from_ms, now_ms() + 1000)
        self.remove_from_list(child)

    def kill_instance(self):
        child = self.instances[2]
        self.watch.admin_addresses.pop(child.name)
        child.may_end = True
        from_ms = now_ms()
        self.record_event("kill", False, from_ms, from_ms + KILL_EFFECT_MS)
        child.process.kill()
        child.process.wait()
        self.remove_from_list(child)

    def mark_leaving(self, index):
        child = self.instances[index]
        child.may_end = True
        self.watch.admin_addresses.pop(child.name)
        self.published_instances[index]["leaving"] = True
        self.publish_instances()
        return child

    def remove_from_list(self, child):
        self.published_instances = [e for e in self.published_instances
                                    if e["name"] != child.name]
        self.publish_instances()

    # The end.

    def collect(self):
        for child, _ in self.callers.values():
            child.may_end = True
            expect(child.ready["admin"], "POST", "/finish")
        for child, _ in self.callers.values():
            wait_for(f"end of {child.name}", 10,
                     lambda: child.process.poll() is not None)
        stats = {u.name: expect(u.admin, "GET", "/stats")
                 for u in self.upstreams}
        summaries = {}
        for name, (_, path) in self.callers.items():
            with open(path, encoding="utf-8") as file:
                summaries[name] = json.load(file)
        self.watch.stop_requested.set()
        return Findings(self.deployment, self.upstreams, stats, summaries,
                        self.log)

    def print_logs(self):
        for child in self.instances:
            print(f"{child.name}: {child.last_lines()}", file=sys.stderr)
            report = self.watch.reports.get(child.name, {})
            print(f"  version {report.get('configurationVersion')}, self "
                  f"{report.get('self')}, members "
                  f"{[(m['name'], m['state']) for m in report.get('members', [])]}",
                  file=sys.stderr)

    def run(self):
        self.start_all()
        print(f"{self.deployment.name}: {INSTANCES} instances, "
              f"{len(self.upstreams)} upstreams; traffic for about "
              f"{self.seconds:g} s", flush=True)
        self.run_traffic()
        findings = self.collect()
        self.children.check_alive()
        return report(findings)


def interrupted(number, _):
    # A second signal must not interrupt the clean-up.
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(signal_number, signal.SIG_IGN)
    raise Interrupted(f"interrupted by {signal.Signals(number).name}")


def main(arguments):
    if len(arguments) not in (2, 3) or \
            arguments[1] not in demo_deployments.names():
        print(f"usage: demo.sh BUILD {'|'.join(demo_deployments.names())} [SECONDS]",
              file=sys.stderr)
        return 2
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, interrupted)
    seconds = float(arguments[2]) if len(arguments) == 3 else 20.0
    folder = tempfile.mkdtemp(prefix="indigopoint-demo-")
    demo = Demo(arguments[0], Deployment(arguments[1]), seconds, folder)
    status = 1
    try:
        status = demo.run()
    except (DemoError, Interrupted, OSError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        demo.print_logs()
    finally:
        killed = demo.children.end_all()
        shutil.rmtree(folder, ignore_errors=True)
    if killed:
        print(f"FAILED: did not end on SIGTERM: {', '.join(killed)}")
        status = 1
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
