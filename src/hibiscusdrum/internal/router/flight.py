"""A caller's request on its way to an answer."""

from __future__ import annotations

from hibiscusdrum.internal.kernel import Timer
from hibiscusdrum.internal.messages import Forward
from hibiscusdrum.internal.router.routes import Route
from hibiscusdrum.internal.transport.entry_connection import EntryRequest


class PendingRequest:
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
        "arrived_at",
        "asked_nodes",
        "attempt_id",
        "body",
        "busy_nodes",
        "cancelled",
        "deadline",
        "excluded_regions",
        "expect",
        "forward",
        "goal_at",
        "key",
        "late_on_arrival",
        "may_have_run",
        "node",
        "owner_changes",
        "path_seconds",
        "reason",
        "refusing_nodes",
        "request",
        "retry_after",
        "route",
        "sent_at",
        "service",
        "service_overloaded",
        "target_attempts",
        "timeout",
        "timer",
        "waited_before",
    )

    def __init__(
        self, request: EntryRequest, route: Route, service: str, deadline: float, now: float
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.deadline = deadline
        self.arrived_at = now
        self.goal_at = deadline
        self.late_on_arrival = False
        self.timeout = 0.0
        self.waited_before = 0.0
        self.attempt_id = ""
        self.key = -1
        self.body = request.body
        self.asked_nodes: list[str] = []
        self.busy_nodes: list[str] = []
        self.refusing_nodes: list[str] = []
        self.target_attempts = 0
        self.owner_changes = 0
        self.service_overloaded = False
        self.excluded_regions: set[str] = set()
        self.node = ""
        self.sent_at = now
        self.path_seconds = 0.0
        self.forward: Forward | None = None
        self.retry_after = 0.0
        self.may_have_run = False
        self.cancelled = False
        self.timer: Timer | None = None
        self.reason = ""
