"""Sends packets of one end of a flow again until the other end acknowledges them."""

RETRANSMIT_S, MAX_RETRANSMIT_S = 0.2, 1.6
MAX_RETRANSMITS = 8


class Retransmission:
    def __init__(self, loop, give_up):
        self.loop, self.give_up = loop, give_up
        # The number after each packet that is not acknowledged, and how to send it.
        self.pending = []
        self.retransmits = 0
        # Timers of an earlier packet have no effect.
        self.timer = 0

    def add(self, end, send):
        self.pending.append((end, send))
        send()
        if len(self.pending) == 1:
            self.retransmits = 0
            self.schedule()

    def acknowledge(self, number):
        count = len(self.pending)
        self.pending = [entry for entry in self.pending if entry[0] > number]
        if len(self.pending) < count:
            self.retransmits = 0
            self.schedule()

    def stop(self):
        self.pending = []
        self.timer += 1

    def schedule(self):
        self.timer += 1
        if self.pending:
            delay = min(RETRANSMIT_S * 2 ** self.retransmits, MAX_RETRANSMIT_S)
            self.loop.after(delay, lambda timer=self.timer: self.send_again(timer))

    def send_again(self, timer):
        if timer != self.timer:
            return
        if self.retransmits >= MAX_RETRANSMITS:
            self.stop()
            self.give_up()
            return
        self.retransmits += 1
        for _, send in list(self.pending):
            send()
        self.schedule()
