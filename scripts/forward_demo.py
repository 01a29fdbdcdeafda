"""Runs real forwarder processes against the stand-in for the deployment platform
and checks the guarantees for flows. Usage: forward_demo.py PROGRAM"""

import json
import os
import pathlib
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins"))
from flow_platform import (CONFIGURATION_KEY, RESET, Client, Store,  # noqa: E402
                           Upstream, configuration, upstream_key, wait_until)
from forwarder_process import Instance, free_port  # noqa: E402

CHAT = ("198.18.0.1", 443)
PHOTOS = ("198.18.0.1", 8443)


class Demo:
    def __init__(self, program, folder):
        port = free_port()
        self.store = Store()
        self.chats = [Upstream(0x4000000001, "127.0.3.1", port, port),
                      Upstream(0x4000000002, "127.0.3.2", port, port)]
        self.photos = Upstream(0x4000000003, "127.0.3.3", port, port)
        for upstream in self.chats:
            self.register(upstream, "chat")
        self.register(self.photos, "photos")
        self.store.put(CONFIGURATION_KEY, configuration(1, {CHAT: "chat", PHOTOS: "photos"}))
        self.client = Client("127.0.2.1", port)
        self.instances = [Instance(program, folder, "instance-%d" % number,
                                   "127.0.1.%d" % number, port, self.store.address)
                          for number in (1, 2)]

    def register(self, upstream, service, state="ready"):
        self.store.put(upstream_key(upstream.identity), upstream.registration(service, state))

    def upstream_of_flow(self, port):
        """The upstream that got the opening packet of a flow."""
        return next(upstream for upstream in self.chats + [self.photos]
                    if any(packet.source[1] == port for packet in upstream.received))

    def send_and_expect_arrival(self, instance, service, client_port, tag, upstream, data):
        self.client.send(instance.data_address, service, client_port, tag, data)
        wait_until(lambda: any(packet.data == data for packet in upstream.received),
                   "%r reaches its upstream" % data)

    def run(self):
        first, second = self.instances
        for instance in self.instances:
            wait_until(instance.is_ready, "an instance is ready")
        client_port, answer = self.client.open(first.data_address, CHAT)
        upstream = self.upstream_of_flow(client_port)
        assert upstream in self.chats and answer.tag != 0
        self.send_and_expect_arrival(first, CHAT, client_port, answer.tag, upstream,
                                     b"the same instance")
        self.send_and_expect_arrival(second, CHAT, client_port, answer.tag, upstream,
                                     b"another instance")
        print("a flow goes on through any instance")

        first.process.kill()
        first.process.wait()
        first.start()
        wait_until(first.is_ready, "a killed instance is ready again")
        self.send_and_expect_arrival(first, CHAT, client_port, answer.tag, upstream,
                                     b"after a kill")
        print("a flow survives the kill of its instance")

        self.register(upstream, "chat", "draining")
        other = next(chat for chat in self.chats if chat is not upstream)
        # One flow may go to the other upstream before the drain is known.
        opens_at_other_upstream = lambda: all(
            self.upstream_of_flow(self.client.open(second.data_address, CHAT)[0]) is other
            for _ in range(10))
        wait_until(opens_at_other_upstream, "new flows leave a draining upstream")
        assert opens_at_other_upstream()
        self.send_and_expect_arrival(second, CHAT, client_port, answer.tag, upstream,
                                     b"while it drains")
        print("a draining upstream keeps its flows and gets no new one")

        self.store.put(CONFIGURATION_KEY, configuration(2, {CHAT: "chat"}))
        wait_until(lambda: self.client.open(second.data_address, PHOTOS)[1].flags == RESET,
                   "a removed route is refused")
        print("a removed route is refused at once")

        self.store.close()
        self.send_and_expect_arrival(second, CHAT, client_port, answer.tag, upstream,
                                     b"without the store")
        assert self.upstream_of_flow(self.client.open(second.data_address, CHAT)[0]) is other
        print("flows go on while the store is unreachable")

        second.process.send_signal(signal.SIGTERM)
        wait_until(lambda: not second.is_ready(), "a stopping instance is not ready")
        self.send_and_expect_arrival(second, CHAT, client_port, answer.tag, upstream,
                                     b"during a planned stop")
        assert second.process.wait(timeout=5) == 0
        lines = [json.loads(line) for line in second.log.read_text().splitlines()]
        assert lines[0]["event"] == "started" and lines[-1]["event"] == "stopped"
        print("a planned stop forwards, ends with code 0 and is logged")

    def stop(self):
        for instance in self.instances:
            instance.kill()


def main():
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(sys.argv[1], pathlib.Path(folder))
        try:
            demo.run()
        finally:
            demo.stop()
    print("forward demo: all guarantees held")


if __name__ == "__main__":
    main()
    sys.stdout.flush()
    os._exit(0)  # Threads of the stand-in wait for packets.
