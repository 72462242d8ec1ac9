"""Rate limit of the requests to one target: while it is cold, and while it states a limit of its own.

Both kinds of limit are a number of requests in a sliding window, count the same requests, and may apply at
the same time.
"""

from __future__ import annotations

import math
from collections import deque

# Sliding window over which the requests to a cold target are counted.
COLD_WINDOW_SECONDS = 1.0
# Share used of what a cold target tolerates beyond its rate; the rest is a reserve for requests in flight.
COLD_TOLERANCE_SHARE = 0.5
# Only an answer can end the limit of a target, so a target that accepts nothing still gets requests at this
# rate.
MIN_REQUESTS_PER_SECOND = 0.25
# Shortest window of a stated rate; several times the interval at which the queue is served by a timer.
MIN_STATED_WINDOW_SECONDS = 0.25
# Sent requests are remembered for the longest window, that of the lowest rate.
HISTORY_SECONDS = 1.0 / MIN_REQUESTS_PER_SECOND


class RateBound:
    """At most ``requests`` requests in any ``window`` seconds."""

    __slots__ = ("requests", "window")

    def __init__(self, requests: int, window: float) -> None:
        self.requests = requests
        self.window = window


# Applies until the first answer of the target tells its limit. A process that was started again beside a
# target with a limit would otherwise fill all slots at once, which at low rates is more than it accepts.
UNKNOWN_LIMIT_BOUND = RateBound(1, 0.5)


def stated_bound(rate: float) -> RateBound:
    """Return the bound for a rate that a target states, in requests per second.

    The window is as long as a whole number of requests takes at this rate, so that the rate can be used up.
    It is short, so that a request that precedes the queued ones soon gets its turn.
    """
    rate = max(rate, MIN_REQUESTS_PER_SECOND)
    requests = math.ceil(rate * MIN_STATED_WINDOW_SECONDS)
    return RateBound(requests, requests / rate)


class RateLimiter:
    """Limits the rate of requests to a target.

    Attributes
    ----------
    cold_rate : float
        Requests per second that the target can handle while cold; 0 if unlimited.
    factor, slack : float
        While cold, the target tolerates up to ``cold_rate * factor + slack`` requests in any one second.
    warm_at : float
        Monotonic time in seconds at which the target counts as warm.
    stated : RateBound or None
        Bound for the rate that the target states in its answers, or ``UNKNOWN_LIMIT_BOUND``.
    sent_times : deque of float
        Monotonic times in seconds of the requests of the last ``HISTORY_SECONDS``. They are recorded without
        a limit too: a target that states one has just received those.
    """

    __slots__ = ("cold_rate", "factor", "sent_times", "slack", "stated", "warm_at")

    def __init__(self, factor: float = 1.0, slack: float = 0.0) -> None:
        self.cold_rate = 0.0
        self.factor = factor
        self.slack = slack
        self.warm_at = 0.0
        self.stated: RateBound | None = None
        self.sent_times: deque[float] = deque()

    def set_stated_rate(self, rate: float | None) -> None:
        """Set the rate that the target states, in requests per second; None if it states none."""
        self.stated = stated_bound(rate) if rate is not None else None

    @property
    def stated_rate(self) -> float:
        """Requests per second that the stated bound allows; infinity without one."""
        return self.stated.requests / self.stated.window if self.stated is not None else math.inf

    def bounds(self, now: float) -> list[RateBound]:
        """Return the bounds that apply now."""
        bounds = [self.stated] if self.stated is not None else []
        if now < self.warm_at and self.cold_rate > 0.0:
            tolerated = self.cold_rate * (self.factor - 1.0) + self.slack
            requests = int(self.cold_rate + COLD_TOLERANCE_SHARE * tolerated)
            bounds.append(RateBound(max(1, requests), COLD_WINDOW_SECONDS))
        return bounds

    def can_send(self, now: float) -> bool:
        """Return whether another request may be sent now."""
        return self.wait_seconds(0, now) <= 0.0

    def wait_seconds(self, ahead: int, now: float) -> float:
        """Return the seconds until a request may be sent that has ``ahead`` others before it."""
        return max((self.bound_wait(bound, ahead, now) for bound in self.bounds(now)), default=0.0)

    def bound_wait(self, bound: RateBound, ahead: int, now: float) -> float:
        """Return the seconds for which one bound delays a request that has ``ahead`` others before it."""
        full_windows, position = divmod(ahead, bound.requests)
        # The n-th request of a window may be sent one window after the n-th of the last ones.
        index = len(self.sent_times) - bound.requests + position
        free_at = self.sent_times[index] + bound.window if index >= 0 else now
        return full_windows * bound.window + max(0.0, free_at - now)

    def record(self, now: float) -> None:
        """Record a sent request."""
        self.sent_times.append(now)
        while self.sent_times[0] <= now - HISTORY_SECONDS:
            self.sent_times.popleft()
