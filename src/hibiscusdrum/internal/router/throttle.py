"""Refusals at the caller's node of what an overloaded service would refuse anyway.

The load that these decisions answer is a service that gets more requests than it can run for longer than a
burst. Each refusal by a target's node costs a message with the request and one back, on links that all share,
and callers who were refused come back. Without a bound the refusals alone can fill the link between two
regions, and what the targets have answered then arrives late.

Each node throttles itself by the outcomes that it has seen: it passes on about ``PASSED_PER_ACCEPTED``
requests for each one that was accepted, and refuses the rest at once.
"""

from __future__ import annotations

import math

# Requests passed on for each that was accepted: enough to notice that a service has room again, and few
# enough for the refused ones to be a small part of what the links carry.
PASSED_PER_ACCEPTED = 1.25
# Refused requests that do not count: a few in a row say nothing of the service.
IGNORED_REFUSALS = 3.0
# Tries for a free slot pay while at least this share of them finds one, those ignored left out.
MIN_FREE_PROBE_SHARE = 0.3
IGNORED_BUSY_PROBES = 1.0
# An answer of a target with a free slot counts as so many accepted requests: an overload leaves none free for
# long, and with the outcomes alone a node would take many seconds to notice that one has passed.
FREE_SLOT_WEIGHT = 4.0
# Outcomes count less with their age; a node sees some ten requests of a class in this time.
DECAY_SECONDS = 2.0


class Throttle:
    """Outcomes of one class of requests, and what follows for the next one.

    Attributes
    ----------
    new, late : float
        Requests with an outcome that came in time for the latency goal, and those that came too late for it
        because they had been refused before; weighted by age.
    accepted : float
        Those of both that were not refused for an overload, weighted by age.
    """

    __slots__ = ("accepted", "free_probes", "late", "noted_at", "on_time", "probes")

    def __init__(self) -> None:
        self.on_time = 0.0
        self.late = 0.0
        self.accepted = 0.0
        self.probes = 0.0
        self.free_probes = 0.0
        self.noted_at = float("-inf")

    def decay(self, now: float) -> None:
        """Let what was noted count less."""
        factor = math.exp((self.noted_at - now) / DECAY_SECONDS) if now > self.noted_at else 1.0
        self.on_time *= factor
        self.late *= factor
        self.accepted *= factor
        self.probes *= factor
        self.free_probes *= factor
        self.noted_at = max(now, self.noted_at)

    def record(self, accepted: bool, now: float, free_slot: bool = False, late: bool = False) -> None:
        """Count an outcome: accepted, or not served for an overload of the service or of the way to it.

        Parameters
        ----------
        free_slot : bool
            Whether the target had a free slot when it answered.
        late : bool
            Whether the request came too late for its latency goal.
        """
        self.decay(now)
        if late:
            self.late += 1.0
        else:
            self.on_time += 1.0
        if accepted:
            self.accepted += FREE_SLOT_WEIGHT if free_slot else 1.0

    def record_probe(self, free: bool, now: float) -> None:
        """Count a request that was to start at once or be turned away."""
        self.decay(now)
        self.probes += 1.0
        self.free_probes += free

    def probing_pays(self, now: float) -> bool:
        """Return whether nodes should be asked for a free slot; each that has none costs a round trip."""
        self.decay(now)
        return self.free_probes + IGNORED_BUSY_PROBES >= MIN_FREE_PROBE_SHARE * self.probes

    def refused_share(self, now: float, late: bool = False) -> float:
        """Return the share of requests that is to be refused without asking the service.

        Those that are late pass only when there is more room than new ones take.
        """
        self.decay(now)
        passed = PASSED_PER_ACCEPTED * self.accepted + IGNORED_REFUSALS
        if late:
            return max(0.0, (self.late - max(0.0, passed - self.on_time)) / (self.late + 1.0))
        return max(0.0, (self.on_time - passed) / (self.on_time + 1.0))
