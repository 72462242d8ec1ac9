"""Client-side throttling: refusal at the caller's node of requests that an overloaded service would refuse.

It handles a service that receives more requests than it can run for longer than a burst. Each refusal by a
target's node costs one message with the request and one reply on shared links, and refused callers retry.
Without a bound, refusals alone can fill the link between two regions, which delays the responses of the
targets.

Each node throttles by the outcomes it has observed: it forwards about ``FORWARDED_PER_ACCEPTED`` requests for
each accepted one, and refuses the rest immediately.
"""

from __future__ import annotations

import math

# Requests forwarded for each accepted one: enough to detect that a service has capacity again, and few enough
# that refused requests are a small part of the traffic.
FORWARDED_PER_ACCEPTED = 1.25
# Number of refusals tolerated before throttling begins: a few in a row do not indicate an overload.
IGNORED_REFUSALS = 3.0
# Nodes are probed for a free slot while at least this share of probes finds one.
MIN_FREE_PROBE_SHARE = 0.3
# Free probes credited in advance, so that a few unsuccessful ones do not end probing.
CREDITED_FREE_PROBES = 1.0
# A response from a target with a free slot counts as this many accepted requests. An overloaded target has no
# free slots for long, and from outcomes alone a node would take many seconds to detect the end of an
# overload.
FREE_SLOT_WEIGHT = 4.0
# A request is forwarded if none was for this long, whatever the share: after a flood of requests, the counts
# take tens of seconds to decay, while a service that is free again shows in one response.
PROBE_INTERVAL_SECONDS = 0.5
# Time constant with which outcomes decay; a node sees about ten requests of a class in this time.
DECAY_SECONDS = 2.0


class Throttle:
    """Decayed counts of the outcomes of one class of requests, and the share to refuse.

    Attributes
    ----------
    on_time, late : float
        Requests that arrived in time for their latency goal, and those that arrived too late for it because
        they had been refused before.
    accepted : float
        Requests of both kinds that were not refused because of overload.
    probes, free_probes : float
        Probes for a free slot, and those of them that found one.
    forwarded_at : float
        Monotonic time in seconds at which a request was last forwarded.
    """

    __slots__ = ("accepted", "decayed_at", "forwarded_at", "free_probes", "late", "on_time", "probes")

    def __init__(self) -> None:
        self.on_time = 0.0
        self.late = 0.0
        self.accepted = 0.0
        self.probes = 0.0
        self.free_probes = 0.0
        self.decayed_at = float("-inf")
        self.forwarded_at = float("-inf")

    def decay(self, now: float) -> None:
        """Decay all counts to the current time."""
        factor = math.exp((self.decayed_at - now) / DECAY_SECONDS) if now > self.decayed_at else 1.0
        self.on_time *= factor
        self.late *= factor
        self.accepted *= factor
        self.probes *= factor
        self.free_probes *= factor
        self.decayed_at = max(now, self.decayed_at)

    def record(self, accepted: bool, now: float, free_slot: bool = False, late: bool = False) -> None:
        """Record whether a request was accepted, or not served because of an overload.

        Parameters
        ----------
        free_slot : bool
            Whether the target had a free slot when it responded.
        late : bool
            Whether the request arrived too late for its latency goal.
        """
        self.decay(now)
        if late:
            self.late += 1.0
        else:
            self.on_time += 1.0
        if accepted:
            self.accepted += FREE_SLOT_WEIGHT if free_slot else 1.0

    def record_probe(self, free: bool, now: float) -> None:
        """Record a probe: a request that was to start immediately or be declined."""
        self.decay(now)
        self.probes += 1.0
        self.free_probes += free

    def probing_pays(self, now: float) -> bool:
        """Return whether to probe nodes for a free slot; each unsuccessful probe costs a round trip."""
        self.decay(now)
        return self.free_probes + CREDITED_FREE_PROBES >= MIN_FREE_PROBE_SHARE * self.probes

    def probe_is_due(self, now: float) -> bool:
        """Return whether a request is to be forwarded to learn whether the service is still overloaded."""
        return now - self.forwarded_at >= PROBE_INTERVAL_SECONDS

    def refused_share(self, now: float, late: bool = False) -> float:
        """Return the share of requests to refuse without forwarding them.

        Late requests get only the capacity that requests on time leave.
        """
        self.decay(now)
        forwarded = FORWARDED_PER_ACCEPTED * self.accepted + IGNORED_REFUSALS
        if late:
            return max(0.0, (self.late - max(0.0, forwarded - self.on_time)) / (self.late + 1.0))
        return max(0.0, (self.on_time - forwarded) / (self.on_time + 1.0))
