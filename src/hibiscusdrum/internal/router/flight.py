"""State of a caller's request until its final response."""

from __future__ import annotations

from hibiscusdrum.internal.kernel import Timer
from hibiscusdrum.internal.messages import Answered, Forward
from hibiscusdrum.internal.router.accounts import Account, Admission
from hibiscusdrum.internal.router.routes import Route
from hibiscusdrum.internal.transport.entry_request import EntryRequest


class TargetFailure:
    """A server error that a target answered to an attempt that was repeated."""

    __slots__ = ("answer", "body")

    def __init__(self, answer: Answered, body: bytes) -> None:
        self.answer = answer
        self.body = body


class PendingRequest:
    """A caller's request without a final response, and its attempts so far.

    Attributes
    ----------
    arrived_at, deadline : float
        Monotonic times in seconds of its arrival, and at which it gets a 504.
    asked_nodes, busy_nodes, refusing_nodes : list of str
        Nodes it was sent to; of these, the ones without a free slot, and the ones that refused it or failed.
    target_attempts : int
        Number of targets that have received it.
    owner_changes : int
        Number of retries because its key had moved to another owner.
    may_have_run : bool
        Whether an earlier attempt may have run it.
    target_failure : TargetFailure or None
        The last server error that a target answered to an attempt that was repeated.
    goal_at : float
        Monotonic time in seconds after which a response is late.
    nested : bool
        Whether this VM's target sent it for a request that it is running.
    late_on_arrival : bool
        Whether it arrived too late to meet its latency goal.
    timeout, waited_before : float
        Seconds that the caller waits from the arrival on, and that it had already waited in earlier attempts.
    service_overloaded : bool
        Whether its service was refusing requests because of overload when it arrived.
    excluded_regions : set of str
        Regions not to try again: a node there was overloaded, or the link to them is congested.
    sent_at : float
        Monotonic time in seconds of the last attempt.
    identity : bytes
        Identity of the request; empty as long as it was not needed.
    crashes : int
        Crashes of targets under the request, as far as its attempts have shown.
    path_seconds : float
        Seconds of the last attempt that were spent neither in the target nor in its queue.
    account, account_name : Account or None, str
        Client account and its name; None and empty if it has none.
    has_token : bool
        Whether it has taken a token of its account's quota.
    inherits_account : bool
        Whether it has its account, or none, from the run that sent it.
    priority : int
        Priority of the account, or else of the route.
    regions : tuple of str
        Regions in which it may be served; all if empty.
    withdrawn : bool
        Whether its key has been removed since it arrived, so that no further target may be sent it.
    """

    __slots__ = (
        "account",
        "account_name",
        "arrived_at",
        "asked_nodes",
        "attempt_id",
        "body",
        "busy_nodes",
        "cancelled",
        "crashes",
        "deadline",
        "excluded_regions",
        "expect",
        "forward",
        "goal_at",
        "has_token",
        "identity",
        "inherits_account",
        "key",
        "late_on_arrival",
        "may_have_run",
        "nested",
        "node",
        "owner_changes",
        "path_seconds",
        "priority",
        "reason",
        "refusing_nodes",
        "regions",
        "request",
        "retry_after",
        "route",
        "sent_at",
        "service",
        "service_overloaded",
        "target_attempts",
        "target_failure",
        "timeout",
        "timer",
        "waited_before",
        "withdrawn",
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
        self.nested = False
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
        self.target_failure: TargetFailure | None = None
        self.owner_changes = 0
        self.service_overloaded = False
        self.excluded_regions: set[str] = set()
        self.node = ""
        self.sent_at = now
        self.path_seconds = 0.0
        self.identity = b""
        self.crashes = 0
        self.forward: Forward | None = None
        self.retry_after = 0.0
        self.may_have_run = False
        self.cancelled = False
        self.timer: Timer | None = None
        self.reason = ""
        self.account: Account | None = None
        self.account_name = ""
        self.has_token = False
        self.inherits_account = False
        self.priority = route.priority
        self.regions = route.regions
        self.withdrawn = False

    @property
    def cost_class(self) -> tuple[str, str]:
        """Service and route: its requests have similar costs."""
        return self.service, self.route.name

    def set_account(self, admission: Admission, regions: tuple[str, ...]) -> None:
        """Set what follows from the client account, and the regions that both it and the route allow."""
        self.account, self.inherits_account = admission.account, admission.nested
        self.regions = regions
        if self.account is not None:
            self.account_name = self.account.name
            if self.account.priority is not None:
                self.priority = self.account.priority
