"""What a node knows of overloads: who was refused, and which requests it refuses without sending them.

The decisions themselves are in ``throttle``, ``returns`` and ``path_delay``; this keeps one of them for each
route, service or region, and asks them in turn.
"""

from __future__ import annotations

import random

from hibiscusdrum.internal.messages import Answered, Forward
from hibiscusdrum.internal.router.flight import PendingRequest
from hibiscusdrum.internal.router.path_delay import PathDelay
from hibiscusdrum.internal.router.returns import ReturningCallers
from hibiscusdrum.internal.router.routes import Route
from hibiscusdrum.internal.router.throttle import Throttle

# A request with less than this share of its latency goal left will hardly meet it.
MIN_GOAL_SHARE_LEFT = 0.5


class OverloadControl:
    """Outcomes of this node's requests, and what follows for the next ones; times are monotonic, in seconds.

    Parameters
    ----------
    rng : random.Random
        Chooses which requests are refused.
    """

    __slots__ = ("returning_callers", "rng", "throttles")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.throttles: dict[tuple[str, str], Throttle] = {}
        self.returning_callers: dict[str, ReturningCallers] = {}

    def throttle_of(self, pending: PendingRequest) -> Throttle:
        """Return the outcomes of the requests of a route to one of its services."""
        key = (pending.route.name, pending.service)
        instance = self.throttles.get(key)
        if instance is None:
            instance = self.throttles[key] = Throttle()
        return instance

    def returning_callers_of(self, route: Route) -> ReturningCallers:
        """Return the refused callers of a route."""
        instance = self.returning_callers.get(route.name)
        if instance is None:
            instance = self.returning_callers[route.name] = ReturningCallers()
        return instance

    def on_arrival(self, pending: PendingRequest, now: float) -> None:
        """Set when a request counts as late, by when its caller came first."""
        first = self.returning_callers_of(pending.route).first_attempt(now + pending.timeout, now)
        pending.waited_before = now - first
        goal = pending.route.latency_goal
        if goal > 0.0:
            pending.goal_at = first + goal
            pending.late_on_arrival = pending.goal_at - now < MIN_GOAL_SHARE_LEFT * goal

    def refuses(self, pending: PendingRequest, now: float) -> bool:
        """Return whether to refuse a request without asking an overloaded service.

        A key has one owner, whose load says nothing of the others.
        """
        if pending.key >= 0:
            return False
        throttle = self.throttle_of(pending)
        pending.service_overloaded = throttle.refused_share(now) > 0.0
        refused = self.in_random_share(throttle.refused_share(now, late=pending.late_on_arrival))
        if refused:
            throttle.record(False, now, late=pending.late_on_arrival)
        return refused

    def withholds_from_path(self, path: PathDelay, now: float) -> bool:
        """Return whether a request is not sent to another region, because the link to it is full."""
        return self.in_random_share(path.refused_share(now))

    def in_random_share(self, share: float) -> bool:
        """Return whether a request belongs to the share that is refused."""
        return share > 0.0 and self.rng.random() < share

    def probing_pays(self, pending: PendingRequest, now: float) -> bool:
        """Return whether nodes should be asked for a free slot before a request is queued."""
        return not pending.service_overloaded and self.throttle_of(pending).probing_pays(now)

    def on_busy(self, pending: PendingRequest, now: float) -> None:
        """Note that a node had no free slot."""
        self.throttle_of(pending).record_probe(False, now)

    def on_answered(self, pending: PendingRequest, forward: Forward, answer: Answered, now: float) -> None:
        """Note that a target ran a request."""
        throttle = self.throttle_of(pending)
        if forward.only_if_free:
            throttle.record_probe(True, now)
        running, queued, slots = answer.load[:3]
        throttle.record(True, now, free_slot=running + queued < slots, late=pending.late_on_arrival)

    def on_not_served(self, pending: PendingRequest, now: float) -> None:
        """Note that a request was not served, for an overload of the service or of the way to it."""
        self.throttle_of(pending).record(False, now, late=pending.late_on_arrival)

    def on_refused(self, pending: PendingRequest, wait: float, now: float) -> None:
        """Note that a caller was told to come back after ``wait`` seconds."""
        gives_up_at, first = pending.arrived_at + pending.timeout, pending.arrived_at - pending.waited_before
        self.returning_callers_of(pending.route).record(gives_up_at, first, now, wait)
