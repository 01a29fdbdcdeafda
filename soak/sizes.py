"""How many processes and flows a run has, and the settings that go with it."""

import dataclasses

from oracle import Bounds


@dataclasses.dataclass
class Size:
    # The zones of upstreams in turn, and the number of instances of each zone.
    zones: tuple
    instances: dict
    # The number of upstreams of each service, and how many of them, the first ones, get no
    # faults, so that one can always take flows.
    upstreams: dict
    untouched: dict
    clients_per_zone: int
    # Clients keep this many flows open; most are idle at any moment.
    flows: int
    # From one fault to the next one, on average.
    fault_period_s: float
    bounds: Bounds
    # The time in which flows that are opened after all faults have to end.
    recovery_s: float
    # How long the store keeps the registration of an upstream that has crashed.
    expiry_s: float
    settings: dict
    # The links of the first instances of a zone, and of the others.
    links_mbps: tuple = (0, 0)
    # The instances of each zone that all others know from the start.
    seeds_per_zone: int = 99


def small(instances):
    return Size(zones=("zone-a", "zone-b"), instances={"zone-a": instances},
                upstreams={"chat": 5, "photos": 2}, untouched={"chat": 2, "photos": 1},
                clients_per_zone=16, flows=250, fault_period_s=0.7,
                bounds=Bounds(stable=2, configuration=2, drain=2), recovery_s=3, expiry_s=1,
                settings={"maxStoreAgeMs": 2000, "changeBoundMs": 2000, "stopLimitS": 4})


def deployment():
    """As large as a deployment of users. One process of Python plays all clients, upstreams
    and the store, which bounds the rate to some hundred requests per second."""
    return Size(zones=("zone-a", "zone-b", "zone-c", "zone-d"),
                instances={"zone-a": 18, "zone-b": 19, "zone-c": 19, "zone-d": 21},
                upstreams={"chat": 120, "photos": 30}, untouched={"chat": 8, "photos": 4},
                clients_per_zone=24, flows=900, fault_period_s=0.4,
                bounds=Bounds(stable=5, configuration=5, drain=5), recovery_s=8, expiry_s=3.6,
                settings={"maxStoreAgeMs": 5000, "changeBoundMs": 5000, "stopLimitS": 6,
                          "registrationPeriodMs": 1200},
                links_mbps=(200, 9.6), seeds_per_zone=2)
