"""Loopback addresses that one run uses alone, so that several runs on a machine don't
take each other's addresses or ports."""

import socket

# Below the ports that the system gives out by itself, so that none of them is in use.
DATA_PORT, READY_PORT, PEER_PORT, REPORT_PORT = 9100, 9101, 9102, 9103
RESERVATION_PORT = 9110
FIRST_SLOT, LAST_SLOT = 16, 250


class LoopbackSlot:
    """Reserves 127.S.0.0/16 for as long as the process lives."""

    def __init__(self):
        for number in range(FIRST_SLOT, LAST_SLOT + 1):
            # Without SO_REUSEADDR, so that a second run fails to bind.
            reservation = socket.socket()
            try:
                reservation.bind(("127.%d.0.1" % number, RESERVATION_PORT))
                reservation.listen()
            except OSError:
                reservation.close()
                continue
            self.number, self.reservation = number, reservation
            return
        raise RuntimeError("all %d slots of loopback addresses are in use: end other runs"
                           % (LAST_SLOT - FIRST_SLOT + 1))

    def address(self, network, host):
        """Returns 127.S.`network`.`host`."""
        return "127.%d.%d.%d" % (self.number, network, host)
