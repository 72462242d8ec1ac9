"""Least share of a full target for each client account.

It handles a target that gets more requests than it can run, where some accounts have a lower priority than
those that fill it. A node sees a small account too seldom to count what it was served, so a part of all
requests is drawn at random and precedes the others whatever its account. Nothing here does I/O; times are
monotonic seconds.
"""

from __future__ import annotations

import math
import random

# Each account is to be served at least a quarter as often as all together. Of the requests that are drawn,
# some still miss their goals or deadlines.
DRAWN_SHARE = 0.4
# A target that serves more than this share of the requests is not full.
MAX_FULL_SHARE = 0.95
SMOOTHING_SECONDS = 5.0
# Requests until the share that is served counts.
MIN_REQUESTS = 10.0
# Precedes all priorities, but not nested requests.
DRAWN_PRIORITY = -1


class AccountFairness:
    """Share of the requests of accounts that a target serves, and the draw that depends on it.

    Attributes
    ----------
    served, refused : float
        Requests that were sent to the target, and that were refused because it was full, fading with time.
    """

    __slots__ = ("changed_at", "refused", "rng", "served")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.served = 0.0
        self.refused = 0.0
        self.changed_at = 0.0

    def fade(self, now: float) -> None:
        """Reduce the weight of what was counted before."""
        factor = math.exp((self.changed_at - now) / SMOOTHING_SECONDS)
        self.served *= factor
        self.refused *= factor
        self.changed_at = now

    def draws(self, now: float) -> bool:
        """Return whether a new request precedes others."""
        self.fade(now)
        decided = self.served + self.refused
        if decided < MIN_REQUESTS or self.served > MAX_FULL_SHARE * decided:
            return False
        return self.rng.random() < DRAWN_SHARE * self.served / decided

    def on_served(self, now: float) -> None:
        """Count a request that was sent to the target."""
        self.fade(now)
        self.served += 1.0

    def on_refused(self, now: float) -> None:
        """Count a request that was refused because the target was full."""
        self.fade(now)
        self.refused += 1.0
