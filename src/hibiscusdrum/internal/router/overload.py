"""What a node knows of overloads: who was refused, and which requests it refuses without sending them.

The decisions themselves are in ``throttle``, ``returns`` and ``path_delay``; this keeps one of them for each
route, service or region, and asks them in turn.
"""

from __future__ import annotations

import random

from hibiscusdrum.internal.messages import Answered, Forward
from hibiscusdrum.internal.router.flight import Flight
from hibiscusdrum.internal.router.path_delay import PathDelay
from hibiscusdrum.internal.router.returns import Returns
from hibiscusdrum.internal.router.routes import Route
from hibiscusdrum.internal.router.throttle import Throttle

# A request with less than this share of its latency goal left will hardly meet it.
NEW_GOAL_SHARE = 0.5


class Overload:
    """Outcomes of this node's requests, and what follows for the next ones; times are monotonic, in seconds.

    Parameters
    ----------
    rng : random.Random
        Chooses which requests are refused.
    """

    __slots__ = ("returns", "rng", "throttles")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.throttles: dict[tuple[str, str], Throttle] = {}
        self.returns: dict[str, Returns] = {}

    def throttle(self, flight: Flight) -> Throttle:
        """Return the outcomes of the requests of a route to one of its services."""
        key = (flight.route.name, flight.service)
        found = self.throttles.get(key)
        if found is None:
            found = self.throttles[key] = Throttle()
        return found

    def returns_of(self, route: Route) -> Returns:
        """Return the refused callers of a route."""
        found = self.returns.get(route.name)
        if found is None:
            found = self.returns[route.name] = Returns()
        return found

    def arrived(self, flight: Flight, now: float) -> None:
        """Set when a request counts as late, by when its caller came first."""
        first = self.returns_of(flight.route).first_attempt(now + flight.limit, now)
        flight.waited = now - first
        goal = flight.route.latency_goal
        if goal > 0.0:
            flight.goal = first + goal
            flight.late = flight.goal - now < NEW_GOAL_SHARE * goal

    def throttled(self, flight: Flight, now: float) -> bool:
        """Return whether to refuse a request without asking an overloaded service.

        A key has one owner, whose load says nothing of the others.
        """
        if flight.key >= 0:
            return False
        throttle = self.throttle(flight)
        flight.overload = throttle.refused_share(now) > 0.0
        refused = self.chosen(throttle.refused_share(now, late=flight.late))
        if refused:
            throttle.note(False, now, late=flight.late)
        return refused

    def held_back(self, path: PathDelay, now: float) -> bool:
        """Return whether a request is not sent to another region, because the link to it is full."""
        return self.chosen(path.refused_share(now))

    def chosen(self, share: float) -> bool:
        """Return whether a request belongs to the share that is refused."""
        return share > 0.0 and self.rng.random() < share

    def tries_pay(self, flight: Flight, now: float) -> bool:
        """Return whether nodes should be asked for a free slot before a request is queued."""
        return not flight.overload and self.throttle(flight).tries_pay(now)

    def turned_away(self, flight: Flight, now: float) -> None:
        """Note that a node had no free slot."""
        self.throttle(flight).note_try(False, now)

    def answered(self, flight: Flight, forward: Forward, answer: Answered, now: float) -> None:
        """Note that a target ran a request."""
        throttle = self.throttle(flight)
        if forward.only_if_free:
            throttle.note_try(True, now)
        running, queued, slots = answer.load[:3]
        throttle.note(True, now, room=running + queued < slots, late=flight.late)

    def not_served(self, flight: Flight, now: float) -> None:
        """Note that a request was not served, for an overload of the service or of the way to it."""
        self.throttle(flight).note(False, now, late=flight.late)

    def refused(self, flight: Flight, wait: float, now: float) -> None:
        """Note that a caller was told to come back after ``wait`` seconds."""
        ends_at, first = flight.begun_at + flight.limit, flight.begun_at - flight.waited
        self.returns_of(flight.route).note(ends_at, first, now, wait)
