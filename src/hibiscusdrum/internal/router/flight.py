"""A caller's request on its way to an answer."""

from __future__ import annotations

from hibiscusdrum.internal.kernel import Timer
from hibiscusdrum.internal.messages import Forward
from hibiscusdrum.internal.router.routes import Route
from hibiscusdrum.internal.transport.entry_connection import EntryRequest


class Flight:
    """A caller's request on its way to an answer.

    Attributes
    ----------
    asked, busy, refused : list of str
        Nodes that it was sent to; of these, those without a free slot, and those that refused or failed.
    goal : float
        Monotonic time in seconds from which an answer counts as late.
    late : bool
        Whether it came too late for its latency goal.
    limit, waited : float
        Seconds for which the caller waits from now on, and those that it has waited before.
    overload : bool
        Whether its service refused many requests shortly before it came.
    full_regions : set of str
        Regions in which a node refused it because it was overloaded, or to which the link is full.
    sent_at : float
        Monotonic time in seconds of the last try.
    path : float
        Seconds of the last try that neither the target nor its queue took.
    """

    __slots__ = (
        "arrivals",
        "asked",
        "attempt_id",
        "begun_at",
        "body",
        "busy",
        "cancelled",
        "deadline",
        "expect",
        "forward",
        "full_regions",
        "goal",
        "key",
        "late",
        "limit",
        "moved",
        "node",
        "overload",
        "path",
        "reason",
        "refused",
        "request",
        "retry_after",
        "route",
        "sent_at",
        "service",
        "timer",
        "uncertain",
        "waited",
    )

    def __init__(
        self, request: EntryRequest, route: Route, service: str, deadline: float, now: float
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.deadline = deadline
        self.begun_at = now
        self.goal = deadline
        self.late = False
        self.limit = 0.0
        self.waited = 0.0
        self.attempt_id = ""
        self.key = -1
        self.body = request.body
        self.asked: list[str] = []
        self.busy: list[str] = []
        self.refused: list[str] = []
        self.arrivals = 0
        self.moved = 0
        self.overload = False
        self.full_regions: set[str] = set()
        self.node = ""
        self.sent_at = now
        self.path = 0.0
        self.forward: Forward | None = None
        self.retry_after = 0.0
        self.uncertain = False
        self.cancelled = False
        self.timer: Timer | None = None
        self.reason = ""
