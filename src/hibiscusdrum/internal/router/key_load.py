"""Load of the owners of a partitioned service, and which stripes an overloaded owner should give away.

The load that these decisions answer is uneven ownership: targets differ in speed, busy keys lie close
together and change, and a request for a key has no other target to go to. Few stripes move, the busiest
first.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

# Time over which the requests for a stripe are averaged, in seconds: several reports of a target, so that a
# short burst moves no keys.
RATE_AVERAGING_SECONDS = 3.0
# Weight of the newest request in the mean service time, which neighbours on a machine disturb for 0.1 to 1 s.
SERVICE_TIME_GAIN = 0.02
# Stripes with fewer requests a second are forgotten.
MIN_TRACKED_RATE = 0.01
# Owners that hand over at once: writers of one row come in each other's way.
MAX_CONCURRENT_OFFLOADS = 2
# An owner waits with a handover until the ring has not changed for this long: what is being handed over is
# served by nobody, and handovers for other reasons go first.
MIN_RING_QUIET_SECONDS = 2.0
# Size of a stripe in the stored row, and what each node may read to follow such handovers: a quarter of the
# 18 KB a second that a node may use for control.
STRIPE_BYTES = 10
OFFLOAD_BYTES_PER_SECOND = 4_500
# An owner is overloaded from this share of its capacity, if others have so much less to do.
OVERLOAD_RATIO = 0.6
OVERLOAD_MEAN_FACTOR = 1.2
RECEIVER_MEAN_FACTOR = 0.9
# Owners are filled up to this share of their capacity.
MAX_FILL_RATIO = 0.95
# Stripes that move at a time: those of a handover cannot be served for about a second.
MAX_STRIPES_PER_OFFLOAD = 40


class OwnerLoad(msgspec.Struct, frozen=True):
    """Load of an owner, in requests a second.

    Attributes
    ----------
    demand : float
        Requests that arrive for its keys, refused ones included.
    capacity : float
        Requests that its target could serve; 0 when not known.
    """

    demand: float = 0.0
    capacity: float = 0.0

    @property
    def known(self) -> bool:
        """Whether the owner has told its load."""
        return self.capacity > 0.0

    @property
    def ratio(self) -> float:
        """Demand as a share of capacity."""
        return self.demand / self.capacity if self.capacity > 0.0 else 0.0


class KeyLoad:
    """Rates of requests by stripe, and the mean service time of one target."""

    __slots__ = ("mean_service_seconds", "rates", "request_counts", "updated_at")

    def __init__(self) -> None:
        self.request_counts: dict[int, int] = {}
        self.rates: dict[int, float] = {}
        self.mean_service_seconds = 0.0
        self.updated_at: float | None = None

    def record_request(self, stripe: int) -> None:
        """Count a request for a stripe, admitted or not."""
        self.request_counts[stripe] = self.request_counts.get(stripe, 0) + 1

    def record_service_time(self, seconds: float) -> None:
        """Note the service time of an answered request."""
        self.mean_service_seconds += (seconds - self.mean_service_seconds) * (
            SERVICE_TIME_GAIN if self.mean_service_seconds else 1.0
        )

    def update(self, now: float) -> None:
        """Average the counts since the last update."""
        elapsed = now - self.updated_at if self.updated_at is not None else 0.0
        self.updated_at = now
        if elapsed <= 0.0:
            self.request_counts.clear()
            return
        kept = math.exp(-elapsed / RATE_AVERAGING_SECONDS)
        counts, self.request_counts = self.request_counts, {}
        self.rates = {
            stripe: rate
            for stripe in self.rates.keys() | counts.keys()
            if (rate := self.rates.get(stripe, 0.0) * kept + counts.get(stripe, 0) / elapsed * (1.0 - kept))
            > 0.01
        }

    def owner_load(self, slots: int) -> OwnerLoad:
        """Return the load of the target with so many slots."""
        capacity = slots / self.mean_service_seconds if self.mean_service_seconds else 0.0
        return OwnerLoad(round(sum(self.rates.values()), 2), round(capacity, 2))


def mean_ratio(loads: Mapping[str, OwnerLoad]) -> float:
    """Return the demand of all owners as a share of their capacity."""
    capacity = sum(load.capacity for load in loads.values())
    return sum(load.demand for load in loads.values()) / capacity if capacity else 0.0


def is_overloaded(load: OwnerLoad, mean: float) -> bool:
    """Return whether an owner should give keys to others."""
    return load.known and load.ratio > OVERLOAD_RATIO and load.ratio > mean * OVERLOAD_MEAN_FACTOR


def may_offload(loads: Mapping[str, OwnerLoad], node: str) -> bool:
    """Return whether a node is among the most overloaded ones, which give stripes to others first."""
    mean = mean_ratio(loads)
    givers = [name for name, load in loads.items() if is_overloaded(load, mean)]
    givers.sort(key=lambda name: (-loads[name].ratio, name))
    return node in givers[:MAX_CONCURRENT_OFFLOADS]


def ring_quiet_seconds(stripes: int) -> float:
    """Return the seconds for which a ring must not have changed before an overloaded owner gives some away.

    Every node reads the whole row at each change, so a large ring may change less often.
    """
    return max(MIN_RING_QUIET_SECONDS, stripes * STRIPE_BYTES / OFFLOAD_BYTES_PER_SECOND)


def plan_offload(loads: Mapping[str, OwnerLoad], node: str, rates: Mapping[int, float]) -> dict[int, str]:
    """Return which stripes an overloaded owner should give to which nodes.

    All overloaded owners decide by themselves, so they take turns at the list of those with room.

    Parameters
    ----------
    loads : mapping of str to OwnerLoad
        Loads by node, the own one included.
    rates : mapping of int to float
        Requests a second for the own stripes.
    """
    mean = mean_ratio(loads)
    mine = loads[node]
    if not is_overloaded(mine, mean):
        return {}
    room = offload_room(loads, node, mean)
    moves: dict[int, str] = {}
    left = mine.demand - mean * mine.capacity
    for stripe, rate in sorted(rates.items(), key=lambda item: -item[1]):
        if not room or len(moves) >= MAX_STRIPES_PER_OFFLOAD:
            break
        name = max(room, key=lambda other: room[other])
        # A stripe that is larger than the room would only overload another owner.
        if rate <= min(left, room[name]):
            moves[stripe] = name
            left -= rate
            room[name] -= rate
    return moves


def offload_room(loads: Mapping[str, OwnerLoad], node: str, mean: float) -> dict[str, float]:
    """Return the requests a second that one overloaded owner may move to others, by node."""
    room = {
        name: load.capacity * max(mean, MAX_FILL_RATIO) - load.demand
        for name, load in loads.items()
        if load.known and load.ratio < mean * RECEIVER_MEAN_FACTOR
    }
    givers = sorted(name for name, load in loads.items() if is_overloaded(load, mean))
    receivers = sorted(room, key=lambda name: (-room[name], name))
    if not receivers:
        return {}
    turn, shared_by = givers.index(node), -(-len(givers) // len(receivers))
    own = receivers[turn :: len(givers)] or [receivers[turn % len(receivers)]]
    return {name: room[name] / shared_by for name in own}
