"""Floods real forwarders with new flows and compares the CPU time of a packet with and
without logs, with a standard output that nobody reads, and while metrics are
read. Fails if a packet is lost or the log exceeds its rate.

Usage: forward_flood.py PROGRAM [--rounds N] [--packets N]"""

import argparse
import itertools
import os
import pathlib
import socket
import statistics
import sys
import tempfile
import threading
import time
import urllib.request

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins"))
from flow_platform import (CONFIGURATION_KEY, OPEN, Packet, Store,  # noqa: E402
                           Upstream, configuration, datagram_socket, upstream_key,
                           wait_until)
from forwarder_process import Instance, free_port  # noqa: E402

SERVICE = ("198.18.0.1", 443)
# Packets on their way at once; few enough for the sockets' buffers.
WINDOW = 64
ANSWER_LIMIT_S = 10
SCRAPE_PERIOD_S = 0.1
LINES_PER_SECOND = 200
# An opening packet without further packets of its flow causes log lines of three kinds.
KINDS_OF_LINES = 3


class Variant:
    """One instance with a variant of the log settings."""

    def __init__(self, name, program, folder, number, port, store, lines, is_output_blocked=False,
                 is_scraped=False):
        self.name, self.is_scraped = name, is_scraped
        self.metrics = "127.0.4.%d:%d" % (number, free_port())
        self.instance = Instance(program, folder, "instance-%d" % number, "127.0.4.%d" % number,
                                 port, store, is_output_blocked=is_output_blocked,
                                 logLinesPerSecond=lines, metricsAddress=self.metrics)
        self.cpu_us_per_packet, self.slowest = [], 0.0

    def cpu_s(self):
        # The first number is the time on a processor in nanoseconds.
        with open("/proc/%d/schedstat" % self.instance.process.pid) as stat:
            return int(stat.read().split()[0]) / 1e9

    def scrape(self, stop):
        """Reads the metrics, and leaves a connection open that reads nothing."""
        host, port = self.metrics.split(":")
        idle = socket.create_connection((host, int(port)))
        idle.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        while not stop.wait(SCRAPE_PERIOD_S):
            text = urllib.request.urlopen("http://%s/metrics" % self.metrics).read()
            assert b"indigopoint_packets_total" in text
        idle.close()


class Flood:
    def __init__(self, program, folder):
        port, self.store = free_port(), Store()
        # Receives the packets that instances forward.
        self.sink = datagram_socket(("127.0.4.100", port))
        self.sink.settimeout(ANSWER_LIMIT_S)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        registration = Upstream.make_registration("127.0.4.100:%d" % port, "chat")
        self.store.put(upstream_key(1), registration)
        self.store.put(CONFIGURATION_KEY, configuration(1, {SERVICE: "chat"}))
        make = lambda name, number, lines, **options: Variant(
            name, program, folder, number, port, self.store.address, lines, **options)
        self.variants = [make("no log", 1, 0), make("log", 2, LINES_PER_SECOND),
                         make("log, output blocked", 3, LINES_PER_SECOND, is_output_blocked=True),
                         make("log, metrics read", 4, LINES_PER_SECOND, is_scraped=True)]
        self.order = list(self.variants)
        self.clients = itertools.count()

    def opening_packet(self):
        number = next(self.clients)
        client = ("100.64.%d.%d" % (number // 250 % 250, number % 250),
                  1024 + number // 62500 % 60000)
        return Packet(client, SERVICE, OPEN, 1).encode()

    def send_packets(self, variant, packets):
        before = variant.cpu_s()
        for _ in range(packets // WINDOW):
            batch = [self.opening_packet() for _ in range(WINDOW)]
            start = time.monotonic()
            for packet in batch:
                self.sender.sendto(packet, variant.instance.data_address)
            for _ in batch:
                self.sink.recv(2048)  # Times out if a packet was lost.
            variant.slowest = max(variant.slowest, time.monotonic() - start)
        variant.cpu_us_per_packet.append(
            (variant.cpu_s() - before) / (packets // WINDOW * WINDOW) * 1e6)

    def round(self, packets):
        # Rotates the variants, so that none of them always comes first.
        self.order = self.order[1:] + self.order[:1]
        for variant in self.order:
            stop = threading.Event()
            reader = threading.Thread(target=variant.scrape, args=(stop,))
            if variant.is_scraped:
                reader.start()
            self.send_packets(variant, packets)
            if variant.is_scraped:
                stop.set()
                reader.join()

    def run(self, rounds, packets):
        for variant in self.variants:
            wait_until(variant.instance.is_ready, "%s is ready" % variant.instance.name)
        start = time.monotonic()
        for _ in range(rounds):
            self.round(packets)
        seconds = time.monotonic() - start
        base = statistics.median(self.variants[0].cpu_us_per_packet)
        print("%d rounds of %d new flows; processor time of a packet, median (least to most)" % (
            rounds, packets))
        for variant in self.variants:
            median = statistics.median(variant.cpu_us_per_packet)
            print("%-20s %6.2f us (%.2f to %.2f), %+.1f%%; slowest window of %d: %.1f ms" % (
                variant.name, median, min(variant.cpu_us_per_packet),
                max(variant.cpu_us_per_packet),
                (median / base - 1) * 100, WINDOW, variant.slowest * 1000))
        self.check_log(seconds)

    def check_log(self, seconds):
        written = len(self.variants[1].instance.log.read_text().splitlines())
        bound = (seconds + 2) * LINES_PER_SECOND * KINDS_OF_LINES
        print("log: %d lines in %.1f s" % (written, seconds))
        assert written < bound, "%d log lines are more than %d" % (written, bound)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--packets", type=int, default=20000, help="of each variant and round")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        flood = Flood(options.program, pathlib.Path(folder))
        try:
            flood.run(options.rounds, options.packets)
        finally:
            for variant in flood.variants:
                variant.instance.kill()
    print("forward flood: no packet lost")


if __name__ == "__main__":
    main()
    sys.stdout.flush()
    os._exit(0)  # Threads of the stand-in wait for calls.
