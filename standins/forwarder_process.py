"""A forwarder process under test, with its settings file and its log."""

import http.client
import json
import socket
import subprocess

from flow_platform import READY_PATH


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Instance:
    """A forwarder process, started by the constructor."""

    def __init__(self, program, folder, name, address, data_port, store, is_output_blocked=False,
                 **settings):
        # The standard output is a pipe that nobody reads.
        self.is_output_blocked = is_output_blocked
        self.program, self.name, self.data_address = program, name, (address, data_port)
        self.zone = settings.get("zone", "zone-a")
        self.ready_address = (settings.pop("readyAddress", None)
                              or "%s:%d" % (address, free_port()))
        self.peer_address = settings.pop("peerAddress", None) or "%s:%d" % (address, free_port())
        self.settings_path = folder / (name + ".json")
        self.log = folder / (name + ".log")
        self.settings = {"name": name, "zone": self.zone, "dataAddress": "%s:%d" % self.data_address,
                        "readyAddress": self.ready_address, "store": store,
                         "peerAddress": self.peer_address, "stopLimitS": 4, **settings}
        self.write_settings(json.dumps(self.settings))
        self.start()

    def write_settings(self, text):
        self.settings_path.write_text(text)

    def start(self):
        command = [self.program, "forward", "--settings", str(self.settings_path)]
        if self.is_output_blocked:
            self.process = subprocess.Popen(command, stdout=subprocess.PIPE)
            return
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, stdout=log)

    def handles_signal(self, number):
        """Whether the process has a handler yet; one that has just started would end."""
        if self.process.poll() is not None:
            return False
        with open("/proc/%d/status" % self.process.pid) as status:
            caught = next(line for line in status if line.startswith("SigCgt:"))
        return bool(int(caught.split()[1], 16) >> (number - 1) & 1)

    def memory_peak_bytes(self):
        """The most physical memory of the process; 0 if it has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid) as status:
                return next((int(line.split()[1]) * 1024 for line in status
                             if line.startswith("VmHWM:")), 0)
        except OSError:
            return 0

    def is_ready(self, timeout=2):
        connection = http.client.HTTPConnection(self.ready_address, timeout=timeout)
        try:
            connection.request("GET", READY_PATH)
            return connection.getresponse().status == 200
        except (http.client.HTTPException, OSError):
            return False
        finally:
            connection.close()

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
