"""One entry of another writer: a value of the largest size that the store takes, which is no
registration. The forwarders run on machines of 80 MB."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from fixture import BROKEN, HELD, Client, main  # noqa: E402

MEMORY_MB = 80
VALUE_BYTES = 1 << 20
RESTART_DELAY_S = 0.6
INSTANCE_COUNT = 4
OBSERVED_S = 25
# The rule: processes end by themselves three times on a tenth of the machines, two at least.
MAX_ENDS, MIN_MACHINES = 3, 2

SERVICE = ("198.18.0.1", 443)


def odd_value(has_trouble):
    """MessagePack: a list of empty maps, so no registration."""
    if not has_trouble:
        return b"\xdd\x00\x00\x00\x02\x80\x80"
    count = VALUE_BYTES - 5
    return b"\xdd" + count.to_bytes(4, "big") + b"\x80" * count


def peak_kb(process):
    try:
        with open("/proc/%d/status" % process.pid) as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
    except OSError:
        pass
    return 0


class Machine:
    """Ends the process of a machine when it exceeds the memory, and starts it again."""

    def __init__(self, case, instance):
        self.case, self.instance, self.ends, self.peak = case, instance, 0, 0
        self.is_watching = True
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self):
        while self.is_watching:
            time.sleep(0.005)
            peak = peak_kb(self.instance.process)
            self.peak = max(self.peak, peak)
            has_exited = self.instance.process.poll() is not None
            if peak <= MEMORY_MB * 1024 and not has_exited:
                continue
            self.instance.kill()
            self.ends += 1
            self.case.record.write("%s ended, time %d: %s" % (
                self.instance.name, self.ends,
                "exit status %s" % self.instance.process.returncode if has_exited
                else "%d KB, over %d MB" % (peak, MEMORY_MB)))
            time.sleep(RESTART_DELAY_S)
            if self.is_watching:
                self.instance.start()


def play(case):
    targets = [case.add_target(number, "chat", "zone-a", lambda *_: None) for number in (1, 2, 3)]
    for target in targets:
        case.register(target)
    case.publish(1, {SERVICE: "chat"})
    seeds = [case.peer_address(host) for host in (1, 2, 3)]
    for host in range(1, 1 + INSTANCE_COUNT):
        case.add_instance(host, "zone-a", seeds, linkMbps=10)
    machines = [Machine(case, instance) for instance in case.instances]
    case.wait_until(lambda: all(instance.is_ready(0.5) for instance in case.instances),
                    "all instances are ready")
    for machine in machines:
        case.record.write("%s is ready, peak %d KB" % (machine.instance.name, machine.peak))

    turn = [0]

    def route(_):
        return case.instances[turn[0] % INSTANCE_COUNT].data_address

    client = Client(case.address(2, 1), route)
    results = {"answered": 0, "reset": 0, "silent": 0}

    def request():
        result = client.new_flow(SERVICE).run()
        results[result] += 1

    case.store.put("servers/i-9c00000001", odd_value(case.has_trouble))
    case.record.say("another writer wrote servers/i-9c00000001, %d bytes"
                    % len(odd_value(case.has_trouble)))
    end = time.monotonic() + OBSERVED_S
    while time.monotonic() < end:
        turn[0] += 1
        threading.Thread(target=request, daemon=True).start()
        time.sleep(0.1)
    time.sleep(3)
    for machine in machines:
        machine.is_watching = False
        case.record.say("%s ended %d times by itself, peak %d KB"
                        % (machine.instance.name, machine.ends, machine.peak))
    case.record.say("requests: %s" % results)
    bad = [machine for machine in machines if machine.ends >= MAX_ENDS]
    return BROKEN if len(bad) >= MIN_MACHINES else HELD


main(pathlib.Path(__file__).parent, play)
