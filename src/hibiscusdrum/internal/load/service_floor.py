"""Least share of the requests of each class that is served in an overload.

It handles an overload that lasts, in which the requests of one class would otherwise always be refused:
expensive ones, since they rarely fit before their goal, or those of a low priority.
"""

from __future__ import annotations

import math

# A class must not be served less than a quarter as often as all; it is helped before it is as low as that.
FLOOR_SHARE = 0.25
HELP_SHARE = 1.4 * FLOOR_SHARE
# Time constant with which outcomes are forgotten.
MEMORY_SECONDS = 5.0
# Outcomes of a class from which on its share is known well enough.
MIN_OUTCOMES = 3.0
# Beyond this many classes, those without recent outcomes are forgotten.
MAX_CLASSES = 256


class ClassOutcomes:
    """Decayed numbers of served and of all requests."""

    __slots__ = ("offered", "served", "updated_at")

    def __init__(self) -> None:
        self.offered = 0.0
        self.served = 0.0
        self.updated_at = 0.0

    def decay(self, now: float) -> None:
        """Decay the numbers to the current time."""
        factor = math.exp(min(0.0, self.updated_at - now) / MEMORY_SECONDS)
        self.offered *= factor
        self.served *= factor
        self.updated_at = max(now, self.updated_at)

    def record(self, served: bool, now: float) -> None:
        """Count a request."""
        self.decay(now)
        self.offered += 1.0
        self.served += served

    @property
    def share(self) -> float:
        """Share of the requests that were served; 1 without any."""
        return self.served / self.offered if self.offered else 1.0


class ServiceFloor:
    """Tells which classes are served so rarely that they are to be preferred; times are monotonic seconds."""

    __slots__ = ("classes", "overall")

    def __init__(self) -> None:
        self.overall = ClassOutcomes()
        self.classes: dict[str, ClassOutcomes] = {}

    def record(self, cost_class: str, served: bool, now: float) -> None:
        """Count a request that was served, or refused because of the load."""
        outcomes = self.classes.get(cost_class)
        if outcomes is None:
            if len(self.classes) >= MAX_CLASSES:
                del self.classes[min(self.classes, key=lambda name: self.classes[name].updated_at)]
            outcomes = self.classes[cost_class] = ClassOutcomes()
        outcomes.record(served, now)
        self.overall.record(served, now)

    def served_per_second(self, cost_class: str, now: float) -> float:
        """Return the recent rate of served requests of a class."""
        outcomes = self.classes.get(cost_class)
        if outcomes is None:
            return 0.0
        outcomes.decay(now)
        return outcomes.served / MEMORY_SECONDS

    def is_starved(self, cost_class: str, now: float) -> bool:
        """Return whether a class is close to being served less than a quarter as often as all."""
        outcomes = self.classes.get(cost_class)
        if outcomes is None:
            return False
        outcomes.decay(now)
        return outcomes.offered >= MIN_OUTCOMES and outcomes.share < HELP_SHARE * self.overall.share
