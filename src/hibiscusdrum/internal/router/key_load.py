"""Load of the owners of a partitioned service, and which stripes an overloaded owner should hand over.

Ownership can load targets unevenly: targets differ in speed, busy keys lie close together and change over
time, and only the owner of a key can serve its requests. Few stripes move at a time, the busiest first.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from hibiscusdrum.internal.decoding import Number
from hibiscusdrum.internal.router.rate_limiter import MIN_REQUESTS_PER_SECOND

# Request rates are averaged over several heartbeats, so that a short burst moves no keys.
RATE_AVERAGING_SECONDS = 3.0
# Weight of the newest request in the mean service time. Low, since other load on the same machine disturbs
# service times for 0.1 to 1 s.
SERVICE_TIME_GAIN = 0.02
# Stripes with fewer requests per second are no longer tracked.
MIN_TRACKED_RATE = 0.01
# Few owners offload at the same time, since concurrent writes of the ring row conflict.
MAX_CONCURRENT_OFFLOADS = 2
# The ring must have been unchanged for at least this long before an offload: no target serves a stripe during
# its handover, and handovers for other reasons take precedence.
MIN_RING_QUIET_SECONDS = 2.0
# Size of a stripe in the stored row, and the rate at which each node may read ring rows because of offloads:
# a quarter of the 18 KB/s that a node may use for control traffic.
STRIPE_BYTES = 10
OFFLOAD_BYTES_PER_SECOND = 4_500
# An owner is overloaded if its load ratio exceeds both ``OVERLOAD_RATIO`` and the mean times
# ``OVERLOAD_MEAN_FACTOR``. Owners below the mean times ``RECEIVER_MEAN_FACTOR`` get stripes from it.
OVERLOAD_RATIO = 0.6
OVERLOAD_MEAN_FACTOR = 1.2
RECEIVER_MEAN_FACTOR = 0.9
# An overloaded owner hands over only what exceeds this load ratio, or the mean one if that is greater. With a
# lower target, an owner whose rate limit is small would hand over keys that it can serve.
OFFLOAD_TARGET_RATIO = 0.5
# Owners with less than this share of the mean capacity get fewer stripes of lost and departed owners.
FULL_WEIGHT_CAPACITY_SHARE = 0.5
# Receivers are filled up to this share of their capacity, or to the mean load ratio if that is greater.
MAX_FILL_RATIO = 0.95
# Limits the stripes of one offload, since they cannot be served for about a second.
MAX_STRIPES_PER_OFFLOAD = 40


class OwnerLoad(msgspec.Struct, frozen=True):
    """Load of an owner, in requests per second.

    Attributes
    ----------
    demand : float
        Rate of requests for its keys, including refused ones.
    capacity : float
        Rate of requests that its target can serve; 0 when not known.
    """

    demand: Number = 0.0
    capacity: Number = 0.0

    @property
    def known(self) -> bool:
        """Whether the capacity is known."""
        return self.capacity > 0.0

    @property
    def ratio(self) -> float:
        """Demand as a share of capacity; 0 when the capacity is not known."""
        return self.demand / self.capacity if self.capacity > 0.0 else 0.0


class KeyLoad:
    """Request rates by stripe and mean service time of one target.

    Attributes
    ----------
    request_counts : dict of int to int
        Requests since the last update, by stripe.
    rates : dict of int to float
        Averaged requests per second, by stripe.
    mean_service_seconds : float
        Mean service time; 0 before the first answer.
    """

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
        """Include the service time of an answered request in the mean."""
        self.mean_service_seconds += (seconds - self.mean_service_seconds) * (
            SERVICE_TIME_GAIN if self.mean_service_seconds else 1.0
        )

    def update(self, now: float) -> None:
        """Update the averaged rates from the requests counted since the last update."""
        elapsed = now - self.updated_at if self.updated_at is not None else 0.0
        self.updated_at = now
        if elapsed <= 0.0:
            self.request_counts.clear()
            return
        decay = math.exp(-elapsed / RATE_AVERAGING_SECONDS)
        counts, self.request_counts = self.request_counts, {}
        self.rates = {
            stripe: rate
            for stripe in self.rates.keys() | counts.keys()
            if (rate := self.rates.get(stripe, 0.0) * decay + counts.get(stripe, 0) / elapsed * (1.0 - decay))
            > 0.01
        }

    def owner_load(self, slots: int, rate_limit: float | None = None) -> OwnerLoad:
        """Return the load of the target.

        Parameters
        ----------
        slots : int
            Number of requests that the target runs concurrently.
        rate_limit : float, optional
            Requests per second that the target accepts; unlimited by default.
        """
        capacity = slots / self.mean_service_seconds if self.mean_service_seconds else 0.0
        if rate_limit is not None:
            capacity = min(capacity, max(rate_limit, MIN_REQUESTS_PER_SECOND))
        return OwnerLoad(round(sum(self.rates.values()), 2), round(capacity, 2))


def mean_ratio(loads: Mapping[str, OwnerLoad]) -> float:
    """Return the total demand of all owners as a share of their total capacity."""
    capacity = sum(load.capacity for load in loads.values())
    return sum(load.demand for load in loads.values()) / capacity if capacity else 0.0


def is_overloaded(load: OwnerLoad, mean: float) -> bool:
    """Return whether an owner should hand stripes to others, given the mean load ratio of all owners."""
    return load.known and load.ratio > OVERLOAD_RATIO and load.ratio > mean * OVERLOAD_MEAN_FACTOR


def nodes_without_room(loads: Mapping[str, OwnerLoad]) -> list[str]:
    """Return the nodes that should get no stripes only because they own few.

    They are as loaded as the others already, or would be overloaded by an average share of the demand.
    """
    mean = mean_ratio(loads)
    if not mean:
        return []
    average_demand = sum(load.demand for load in loads.values()) / len(loads)
    return [
        node
        for node, load in loads.items()
        if load.ratio >= mean * RECEIVER_MEAN_FACTOR
        or is_overloaded(OwnerLoad(average_demand, load.capacity), mean)
    ]


def stripe_weight(loads: Mapping[str, OwnerLoad], node: str) -> float:
    """Return the share of an ordinary owner's stripes that a node should get, from 0 (exclusive) to 1."""
    capacities = [load.capacity for load in loads.values() if load.known]
    load = loads.get(node)
    if load is None or not load.known:
        return 1.0
    share = load.capacity * len(capacities) / sum(capacities)
    return share if share < FULL_WEIGHT_CAPACITY_SHARE else 1.0


def may_offload(loads: Mapping[str, OwnerLoad], node: str) -> bool:
    """Return whether a node is among the most overloaded ones, which may offload stripes now."""
    mean = mean_ratio(loads)
    overloaded_nodes = [name for name, load in loads.items() if is_overloaded(load, mean)]
    overloaded_nodes.sort(key=lambda name: (-loads[name].ratio, name))
    return node in overloaded_nodes[:MAX_CONCURRENT_OFFLOADS]


def ring_quiet_seconds(stripes: int) -> float:
    """Return the seconds for which a ring must have been unchanged before an offload.

    Every node reads the whole row at each change, so a larger ring may change less often.
    """
    return max(MIN_RING_QUIET_SECONDS, stripes * STRIPE_BYTES / OFFLOAD_BYTES_PER_SECOND)


def plan_offload(
    loads: Mapping[str, OwnerLoad],
    node: str,
    rates: Mapping[int, float],
    stripe_room: Mapping[str, int] | None = None,
) -> dict[int, str]:
    """Return the stripes that an overloaded owner should offload, with the node that gets each.

    Overloaded owners decide independently, so each uses only its own part of the receivers' room.

    Parameters
    ----------
    loads : mapping of str to OwnerLoad
        Loads by node, including ``node``.
    node : str
        The overloaded owner.
    rates : mapping of int to float
        Requests per second of its stripes.
    stripe_room : mapping of str to int, optional
        Number of stripes that each receiver may get; unlimited by default. Owners that offload at the same
        time share it.
    """
    mean = mean_ratio(loads)
    own_load = loads[node]
    if not is_overloaded(own_load, mean):
        return {}
    stripes_left = {
        name: len(rates) if stripe_room is None else stripe_room.get(name, 0) // MAX_CONCURRENT_OFFLOADS
        for name in loads
    }
    room = offload_room(
        {name: load for name, load in loads.items() if name == node or stripes_left[name] > 0}, node, mean
    )
    moves: dict[int, str] = {}
    excess = own_load.demand - max(mean, OFFLOAD_TARGET_RATIO) * own_load.capacity
    for stripe, rate in sorted(rates.items(), key=lambda item: -item[1]):
        if not room or len(moves) >= MAX_STRIPES_PER_OFFLOAD:
            break
        receiver = max(room, key=lambda other: room[other])
        # A stripe whose rate exceeds the room would only overload the receiver.
        if rate <= min(excess, room[receiver]):
            moves[stripe] = receiver
            excess -= rate
            room[receiver] -= rate
            stripes_left[receiver] -= 1
            if not stripes_left[receiver]:
                del room[receiver]
    return moves


def offload_room(loads: Mapping[str, OwnerLoad], node: str, mean: float) -> dict[str, float]:
    """Return the requests per second that one overloaded owner may move to each receiver.

    Receivers are divided among the overloaded owners. Where there are fewer receivers than overloaded owners,
    several share one, and each may use an equal part of its room.
    """
    room = {
        name: load.capacity * max(mean, MAX_FILL_RATIO) - load.demand
        for name, load in loads.items()
        if load.known and load.ratio < mean * RECEIVER_MEAN_FACTOR
    }
    overloaded_nodes = sorted(name for name, load in loads.items() if is_overloaded(load, mean))
    receivers = sorted(room, key=lambda name: (-room[name], name))
    if not receivers:
        return {}
    position, shared_by = overloaded_nodes.index(node), -(-len(overloaded_nodes) // len(receivers))
    own_receivers = receivers[position :: len(overloaded_nodes)] or [receivers[position % len(receivers)]]
    return {name: room[name] / shared_by for name in own_receivers}
