"""The loss that no system can avoid while instances are down: clients send their
packets again at fixed times only, so an answer cannot come sooner than after the first
repetition that finds a running instance."""

import dataclasses

# Times after the first packet at which a client repeats it.
REPETITIONS_S = (0.0, 0.2, 0.6)
# A client gives up an attempt to open a flow after this time and starts a new one.
ATTEMPT_S = 1.4
# Data of an open flow is repeated until the time limit, at doubling intervals.
DATA_REPETITIONS_S = (0.0, 0.2, 0.6, 1.4, 3.0, 4.6)
# Network and handshake time in addition to the work of the upstream.
OVERHEAD_S = 0.012
STEPS = 200


@dataclasses.dataclass(frozen=True)
class Outage:
    """An instance that serves nothing from one time to another."""
    instance: str
    start_s: float
    end_s: float


def repetitions(kind):
    """Returns the times after a request's first packet at which a copy is sent."""
    if kind.keeps_flow_open:
        times = DATA_REPETITIONS_S
    else:
        times = [attempt * ATTEMPT_S + repetition
                 for attempt in range(3) for repetition in REPETITIONS_S]
    return [time for time in times if time * 1000 < kind.timeout_ms]


def credit(kind, remaining_s):
    """Returns the credit of a request whose first copy is sent when the outage lasts for
    another remaining_s."""
    reached = next((time for time in repetitions(kind) if time >= remaining_s), None)
    if reached is None:
        return 0
    answered_ms = (reached + OVERHEAD_S) * 1000 + kind.work_ms
    if answered_ms > kind.timeout_ms:
        return 0
    return kind.worth if answered_ms <= kind.in_time_ms else kind.late_worth


def unavoidable_loss(kind, outage_s):
    """Returns the credit lost for each request a second of a kind during an outage."""
    step = outage_s / STEPS
    return sum((kind.worth - credit(kind, (index + 0.5) * step)) * step
               for index in range(STEPS))


def lost_share(kinds, outages, instances, duration_s):
    """Returns the share of a day's credit that the outages cost at least, if clients
    spread evenly over the instances."""
    owed = sum(kind.per_s * kind.worth for kind in kinds) * duration_s
    lost = sum(kind.per_s / instances * unavoidable_loss(kind, outage.end_s - outage.start_s)
               for outage in outages for kind in kinds)
    return lost / owed
