"""How long callers of a route have waited already, from the time that they still have.

The load that this answers is an overload in which refused callers come back: without it a returning request
looks as urgent as a new one, takes the slot in which that one could have been answered on time, and is late
all the same.
"""

from __future__ import annotations

# Callers' time limits are remembered for one to two such periods.
PERIOD_SECONDS = 10.0
# The longest limit is taken to be that of a first attempt when at least this share of all requests has it.
USUAL_SHARE = 0.4
# Limits that differ by less than this share are the same: callers count in milliseconds before they send.
SAME_SHARE = 0.02
FEWEST_REQUESTS = 5


class Patience:
    """Time limits of the requests of one route."""

    __slots__ = ("count", "former", "longest", "period", "usual")

    def __init__(self) -> None:
        self.period = float("-inf")
        self.former = 0.0
        self.longest = 0.0
        self.count = 0
        self.usual = 0

    def spent(self, left: float, now: float) -> float:
        """Note a request whose caller waits for ``left`` seconds more; returns how long it has waited.

        Returns
        -------
        float
            Seconds; 0 when the callers' limits differ too much to tell.
        """
        if now - self.period > PERIOD_SECONDS:
            self.former = self.longest if self.told else 0.0
            self.period, self.longest, self.count, self.usual = now, 0.0, 0, 0
        if left > self.longest * (1.0 + SAME_SHARE):
            self.longest, self.usual = left, 0
        self.count += 1
        self.usual += left >= self.longest * (1.0 - SAME_SHARE)
        limit = self.longest if self.told else self.former
        return limit - left if left < limit * (1.0 - SAME_SHARE) else 0.0

    @property
    def told(self) -> bool:
        """Whether the longest limit of this period is that of most first attempts."""
        return self.count >= FEWEST_REQUESTS and self.usual >= USUAL_SHARE * self.count
