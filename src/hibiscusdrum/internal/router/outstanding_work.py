"""Work that a target still has to do, and how slow it is at the moment.

It handles requests of very unequal cost, and targets that slow down by a factor of three for some tenths of a
second, several times a minute.
"""

from __future__ import annotations

import math

from hibiscusdrum.internal.load.cost_model import CostModel

# A slowdown that the target has stated is not used for longer than this: it changes several times a second.
STATED_MAX_AGE_SECONDS = 0.5
# Slowdowns outside of these bounds are not credible, so they are taken as the nearest bound.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 10.0
# Without a stated slowdown, recent service times are compared with the expected ones. They are counted with
# this time constant, beside this many imaginary requests of usual duration, since single ones vary widely.
OBSERVED_SECONDS = 1.0
PRIOR_REQUESTS = 10.0


class RunningWork:
    """A request at the target.

    Attributes
    ----------
    started_at : float
        Monotonic time in seconds.
    progress_at_start : float
        Progress of the target, see ``OutstandingWork.progress``, when the request was sent.
    """

    __slots__ = ("cost_class", "progress_at_start", "started_at")

    def __init__(self, cost_class: str, started_at: float, progress_at_start: float) -> None:
        self.cost_class = cost_class
        self.started_at = started_at
        self.progress_at_start = progress_at_start


class OutstandingWork:
    """Expected work of the requests at one target, in seconds of one slot at the usual speed of this target.

    Attributes
    ----------
    costs : CostModel
        Costs by class, learned from the requests that have ended.
    running : dict of object to RunningWork
        Requests at the target.
    progress : float
        Seconds of work that a request would have got done that ran all the time; grows slower than time while
        the target states that it is slow.
    """

    __slots__ = (
        "advanced_at",
        "costs",
        "expected_seconds",
        "observed_at",
        "observed_seconds",
        "progress",
        "running",
        "stated",
        "stated_at",
    )

    def __init__(self) -> None:
        self.costs = CostModel()
        self.running: dict[object, RunningWork] = {}
        self.progress = 0.0
        self.advanced_at = 0.0
        self.stated = 1.0
        self.stated_at = float("-inf")
        self.observed_seconds = 0.0
        self.expected_seconds = 0.0
        self.observed_at = 0.0

    def advance(self, now: float) -> None:
        """Count the progress since the last call."""
        elapsed = max(0.0, now - self.advanced_at)
        slow = min(elapsed, max(0.0, self.stated_at + STATED_MAX_AGE_SECONDS - self.advanced_at))
        self.progress += slow / self.stated + (elapsed - slow)
        self.advanced_at = max(now, self.advanced_at)

    def state_slowdown(self, slowdown: float, now: float) -> None:
        """Take the slowdown that the target states, 1 as usual; ignored if it is not a positive number."""
        if not 0.0 < slowdown < math.inf:
            return
        self.advance(now)
        self.stated = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        self.stated_at = now

    def slowdown(self, now: float) -> float:
        """Return how long work takes now, relative to its usual duration."""
        if now - self.stated_at <= STATED_MAX_AGE_SECONDS:
            return self.stated
        prior = PRIOR_REQUESTS * self.costs.overall.mean
        decay = math.exp(min(0.0, self.observed_at - now) / OBSERVED_SECONDS)
        ratio = (prior + self.observed_seconds * decay) / (prior + self.expected_seconds * decay)
        return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))

    def start(self, request: object, cost_class: str, now: float) -> None:
        """Record that a request was sent to the target."""
        self.advance(now)
        self.running[request] = RunningWork(cost_class, now, self.progress)

    def end(self, request: object, now: float, learn: bool) -> None:
        """Record that a request is no longer at the target; ``learn`` if its service time tells its cost."""
        entry = self.running.pop(request, None)
        if entry is None or not learn:
            return
        self.advance(now)
        expected = self.costs.expected(entry.cost_class)
        seconds = self.progress - entry.progress_at_start
        decay = math.exp(min(0.0, self.observed_at - now) / OBSERVED_SECONDS)
        self.observed_seconds = self.observed_seconds * decay + seconds
        self.expected_seconds = self.expected_seconds * decay + expected
        self.observed_at = now
        self.costs.record(entry.cost_class, seconds, now)

    def running_seconds(self, now: float) -> float:
        """Return the expected further work of the requests at the target."""
        self.advance(now)
        return sum(
            self.costs.remaining(entry.cost_class, self.progress - entry.progress_at_start)
            for entry in self.running.values()
        )
