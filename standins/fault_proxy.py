"""A TCP proxy on loopback whose connections can be delayed, reset, cut one way or
silenced."""

import enum
import socket
import threading
import time


class Mode(enum.Enum):
    PASS = "pass"
    DELAY = "delay"
    # Answers of the server are dropped; calls still reach it.
    CUT_ANSWERS = "cut answers"
    SILENT = "silent"
    RESET = "reset"


DELAY_S = 0.3
CHUNK_BYTES = 65536
# A reset instead of an orderly close: linger is on, with no time.
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"


class FaultProxy:
    """Forwards connections from its own address to a target."""

    def __init__(self, target, address="127.0.0.1"):
        self.target, self.mode = target, Mode.PASS
        # Connections that were opened before this time carry no more data.
        self.silent_before = 0.0
        self.open_connections = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((address, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode):
        self.mode = mode
        if mode is Mode.RESET:
            with self.lock:
                pairs = list(self.open_connections)
            for pair in pairs:
                self.end(pair, reset=True)

    def silence_open(self):
        """Drops all data on the connections that are open now; new connections work."""
        self.silent_before = time.monotonic()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            if self.mode is Mode.RESET:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                caller.close()
                continue
            try:
                server = socket.create_connection(self.target)
            except OSError:
                caller.close()
                continue
            pair = (caller, server)
            with self.lock:
                self.open_connections.add(pair)
            connected_at = time.monotonic()
            for source, sink, is_answer in ((caller, server, False), (server, caller, True)):
                threading.Thread(target=self.pump,
                                 args=(pair, source, sink, is_answer, connected_at),
                                 daemon=True).start()

    def pump(self, pair, source, sink, is_answer, connected_at):
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    break
                if self.mode is Mode.DELAY:
                    time.sleep(DELAY_S)
                is_lost = (self.mode is Mode.SILENT or connected_at < self.silent_before
                           or self.mode is Mode.CUT_ANSWERS and is_answer)
                if not is_lost:
                    sink.sendall(data)
        except OSError:
            pass
        self.end(pair, reset=False)

    def end(self, pair, reset):
        with self.lock:
            self.open_connections.discard(pair)
        for connection in pair:
            try:
                if reset:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                # Wakes the thread that reads from it; close alone does not.
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            connection.close()

    def close(self):
        self.listener.close()
