"""Child processes, waits with a bound, and HTTP calls of the demo."""

import http.client
import json
import os
import subprocess
import time

POLL_SECONDS = 0.02
# A wait of 0.1 s that takes longer than this means that the machine was
# paused, and the instances perhaps with it.
PAUSE_SECONDS = 0.5


class DemoError(Exception):
    """A failure that ends the demo; the text names the cause."""


class Interrupted(Exception):
    """A signal asked the demo to end. Not a DemoError, so that handlers of a
    failed wait do not catch it."""


def wait_for(what, seconds, probe):
    """Returns the first true result of probe(), or fails after the bound."""
    until = time.monotonic() + seconds
    while True:
        result = probe()
        if result:
            return result
        if time.monotonic() >= until:
            raise DemoError(f"no {what} within {seconds:g} s")
        time.sleep(POLL_SECONDS)


def call(address, method, path, body=None, timeout=2.0):
    """One HTTP call. Returns the status and the decoded JSON, or None."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = body if isinstance(body, (str, type(None))) else json.dumps(body)
        connection.request(method, path, text)
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, json.loads(data) if data else None
    finally:
        connection.close()


def expect(address, method, path, body=None):
    """One HTTP call that must succeed. Returns the decoded JSON."""
    status, answer = call(address, method, path, body)
    if status != 200:
        raise DemoError(f"{method} {path} at {address} gave {status}: {answer}")
    return answer


def run_command(command, seconds=10):
    """Runs a command to its end; it must succeed."""
    try:
        done = subprocess.run(command, capture_output=True, text=True,
                              stdin=subprocess.DEVNULL, timeout=seconds,
                              check=False)
    except subprocess.TimeoutExpired as error:
        raise DemoError(f"{command[1]} did not end in {seconds} s") from error
    if done.returncode != 0:
        raise DemoError(f"{command[1]} ended with {done.returncode}: "
                        f"{done.stdout} {done.stderr}")


class Child:
    """A process that the demo started."""

    def __init__(self, name, process, ready_file, log_file):
        self.name = name
        self.process = process
        self.ready_file = ready_file
        self.log_file = log_file
        self.ready = None
        self.may_end = False

    def read_ready(self):
        if self.process.poll() is not None:
            raise DemoError(f"{self.name} ended with {self.process.returncode} "
                            f"before it was ready: {self.last_lines()}")
        if not os.path.exists(self.ready_file):
            return False
        with open(self.ready_file, encoding="utf-8") as file:
            text = file.read()
        try:
            self.ready = json.loads(text)
        except json.JSONDecodeError:
            return False
        return True

    def last_lines(self):
        with open(self.log_file, encoding="utf-8", errors="replace") as file:
            return " | ".join(line.strip() for line in file.readlines()[-5:])


class Children:
    """All processes of the demo. It ends only these, each by its id."""

    def __init__(self, folder):
        self.folder = folder
        self.all = []

    def start(self, name, command):
        base = os.path.join(self.folder, name)
        with open(base + ".log", "wb") as log:
            # In a separate session, Ctrl-C on the terminal does not end the process
            # before the demo shuts it down.
            process = subprocess.Popen(
                command + ["--ready-file", base + ".ready"],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True)
        child = Child(name, process, base + ".ready", base + ".log")
        self.all.append(child)
        return child

    def wait_ready(self, children, seconds=10):
        for child in children:
            wait_for(f"ready file of {child.name}", seconds, child.read_ready)

    def check_alive(self):
        for child in self.all:
            code = child.process.poll()
            if code is not None and not child.may_end:
                raise DemoError(f"{child.name} ended with {code}: "
                                f"{child.last_lines()}")

    def run_for(self, seconds):
        """Lets the traffic run; fails if a process ends unexpectedly."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.check_alive()
            begin = time.monotonic()
            time.sleep(min(0.1, max(0.0, until - begin)))
            paused = time.monotonic() - begin
            if paused > PAUSE_SECONDS:
                print(f"the machine was paused for {paused:.1f} s; its "
                      "effects cannot be separated from those of the events")

    def end_all(self, seconds=5):
        """Ends what is left; returns the names that needed SIGKILL."""
        running = [c for c in self.all if c.process.poll() is None]
        for child in running:
            child.may_end = True
            child.process.terminate()
        until = time.monotonic() + seconds
        killed = []
        for child in running:
            try:
                child.process.wait(max(0.0, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.process.kill()
                child.process.wait()
                killed.append(child.name)
        return killed
