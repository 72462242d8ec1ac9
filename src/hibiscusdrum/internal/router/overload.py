"""Overload control on the caller's node: which requests are refused without being forwarded.

The algorithms are in ``throttle``, ``returns`` and ``path_delay``. This module keeps their state for each
route and service, feeds them outcomes, and combines their decisions.
"""

from __future__ import annotations

import random

from hibiscusdrum.internal.load.service_floor import ServiceFloor
from hibiscusdrum.internal.messages import Answered, Forward
from hibiscusdrum.internal.router.flight import PendingRequest
from hibiscusdrum.internal.router.path_delay import PathDelay
from hibiscusdrum.internal.router.returns import ReturningCallers, ReturnSchedule
from hibiscusdrum.internal.router.routes import Route
from hibiscusdrum.internal.router.throttle import Throttle

# A request that arrives with less than this share of its latency goal left is unlikely to meet it.
MIN_GOAL_SHARE_LEFT = 0.5


class OverloadControl:
    """Decides from the outcomes of earlier requests which new ones to refuse; times are monotonic seconds.

    Parameters
    ----------
    rng : random.Random
        Selects the requests to refuse.
    cost_aware : bool
        Whether refused callers are told to come back when there is room for them, and whether the requests of
        a route that is served too rarely are all forwarded, so that the nodes beside the targets know how
        many there are and can keep the floor of their class.

    Attributes
    ----------
    floors : dict of str to ServiceFloor
        Which routes are served too rarely, by service.
    return_schedules : dict of (str, str) to ReturnSchedule
        When refused callers are told to come back, by route and service.
    """

    __slots__ = ("cost_aware", "floors", "return_schedules", "returning_callers", "rng", "throttles")

    def __init__(self, rng: random.Random, cost_aware: bool = False) -> None:
        self.rng = rng
        self.cost_aware = cost_aware
        self.floors: dict[str, ServiceFloor] = {}
        self.return_schedules: dict[tuple[str, str], ReturnSchedule] = {}
        self.throttles: dict[tuple[str, str], Throttle] = {}
        self.returning_callers: dict[str, ReturningCallers] = {}

    def throttle_of(self, pending: PendingRequest) -> Throttle:
        """Return the throttle for the route and service of a request."""
        key = (pending.route.name, pending.service)
        instance = self.throttles.get(key)
        if instance is None:
            instance = self.throttles[key] = Throttle()
        return instance

    def record(self, pending: PendingRequest, accepted: bool, now: float, free_slot: bool = False) -> None:
        """Record whether a request was accepted, or not served because of an overload."""
        late = pending.late_on_arrival
        self.throttle_of(pending).record(accepted, now, free_slot=free_slot, late=late)
        self.floor_of(pending).record(pending.route.name, accepted, now)

    def floor_of(self, pending: PendingRequest) -> ServiceFloor:
        """Return the floor for the service of a request."""
        floor = self.floors.get(pending.service)
        if floor is None:
            floor = self.floors[pending.service] = ServiceFloor()
        return floor

    def returning_callers_of(self, route: Route) -> ReturningCallers:
        """Return the recently refused callers of a route."""
        instance = self.returning_callers.get(route.name)
        if instance is None:
            instance = self.returning_callers[route.name] = ReturningCallers()
        return instance

    def on_arrival(self, pending: PendingRequest, now: float) -> None:
        """Set the latency goal of a request, counted from the first attempt of its caller."""
        first = self.returning_callers_of(pending.route).first_attempt(now + pending.timeout, now)
        pending.waited_before = now - first
        goal = pending.route.latency_goal
        if goal > 0.0:
            pending.goal_at = first + goal
            pending.late_on_arrival = pending.goal_at - now < MIN_GOAL_SHARE_LEFT * goal

    def refuses(self, pending: PendingRequest, now: float) -> bool:
        """Return whether to refuse a request immediately because its service is overloaded.

        Requests with a key are never throttled: the load of one key's owner says nothing about that of
        others. Nor are nested ones, since a target already spends time on the requests that wait for them.
        """
        if pending.key >= 0 or pending.nested:
            return False
        throttle = self.throttle_of(pending)
        pending.service_overloaded = throttle.refused_share(now) > 0.0
        starved = self.cost_aware and self.floor_of(pending).is_starved(pending.route.name, now)
        if starved or self.is_returning(pending):
            return False
        share = throttle.refused_share(now, late=pending.late_on_arrival)
        refused = self.in_random_share(share) and not throttle.probe_is_due(now)
        if not refused:
            throttle.forwarded_at = now
        else:
            self.record(pending, False, now)
        return refused

    def is_returning(self, pending: PendingRequest) -> bool:
        """Return whether a caller was refused before, and comes back when it was told to."""
        return self.cost_aware and pending.waited_before > 0.0

    def reserve_return(self, pending: PendingRequest, wait: float, now: float) -> float:
        """Return the Retry-After of a request refused because of an overload, at least ``wait`` seconds."""
        if not self.cost_aware:
            return wait
        key = pending.cost_class
        schedule = self.return_schedules.get(key)
        if schedule is None:
            schedule = self.return_schedules[key] = ReturnSchedule()
        rate = self.floor_of(pending).served_per_second(pending.route.name, now)
        return schedule.reserve(wait, rate, pending.deadline - now, now)

    def withholds_from_path(self, path: PathDelay, now: float) -> bool:
        """Return whether a request should not be sent to another region because the link is congested."""
        return self.in_random_share(path.refused_share(now))

    def in_random_share(self, share: float) -> bool:
        """Return True with the given probability."""
        return share > 0.0 and self.rng.random() < share

    def probing_pays(self, pending: PendingRequest, now: float) -> bool:
        """Return whether nodes should be probed for a free slot before a request is queued."""
        return not pending.service_overloaded and self.throttle_of(pending).probing_pays(now)

    def on_busy(self, pending: PendingRequest, now: float) -> None:
        """Record that a probed node had no free slot."""
        self.throttle_of(pending).record_probe(False, now)

    def on_answered(self, pending: PendingRequest, forward: Forward, answer: Answered, now: float) -> None:
        """Record that a target ran a request."""
        throttle = self.throttle_of(pending)
        if forward.only_if_free:
            throttle.record_probe(True, now)
        running, queued, slots = answer.load[:3]
        free_slot = running + queued < slots and not (answer.rate_limit and queued)
        self.record(pending, True, now, free_slot)

    def on_not_served(self, pending: PendingRequest, now: float) -> None:
        """Record that a request was not served because the service or the network path was overloaded."""
        self.record(pending, False, now)

    def on_refused(self, pending: PendingRequest, wait: float, now: float) -> None:
        """Record that a caller was refused with a Retry-After of ``wait`` seconds."""
        gives_up_at, first = pending.arrived_at + pending.timeout, pending.arrived_at - pending.waited_before
        self.returning_callers_of(pending.route).record(gives_up_at, first, now, wait)
