"""The link of one machine to the store: a TCP proxy that carries a limited rate."""

import socket
import threading
import time

CHUNK_BYTES = 4096


class Link:
    """Forwards connections to a target. All of them share one rate towards the machine."""

    def __init__(self, target, mbps):
        self.target, self.bytes_per_s = target, mbps * 1e6 / 8
        self.lock, self.free_at = threading.Lock(), 0.0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            caller, _ = self.listener.accept()
            # Small windows, as on the users' links.
            server = socket.socket()
            server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
            try:
                server.connect(self.target)
            except OSError:
                caller.close()
                continue
            for source, sink, is_limited in ((caller, server, False), (server, caller, True)):
                threading.Thread(target=self.pump, args=(source, sink, is_limited),
                                 daemon=True).start()

    def pump(self, source, sink, is_limited):
        try:
            while data := source.recv(CHUNK_BYTES):
                if is_limited:
                    self.wait(len(data))
                sink.sendall(data)
        except OSError:
            pass
        for connection in (source, sink):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            connection.close()

    def wait(self, count):
        """Waits until the link has carried the bytes."""
        with self.lock:
            self.free_at = max(self.free_at, time.monotonic()) + count / self.bytes_per_s
            due = self.free_at
        time.sleep(max(0, due - time.monotonic()))
