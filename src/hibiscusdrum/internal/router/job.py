"""A request for this VM's target from its arrival to its outcome."""

from __future__ import annotations

from collections.abc import Callable

from hibiscusdrum.internal.messages import Answered, Declined, Forward, SendBody
from hibiscusdrum.internal.router.admission import QueueEntry
from hibiscusdrum.internal.router.request_identity import identity_of_forward
from hibiscusdrum.internal.transport.http_connection import HttpExchange

ReplyCallback = Callable[[Answered | Declined | SendBody, bytes], None]


class Job:
    """A request for this VM's target that has no outcome yet.

    Attributes
    ----------
    goal_at, deadline : float
        Monotonic times in seconds from which a response is late, and from which it is useless.
    body_parts : list of bytes
        Parts of a large body received so far.
    queue_entry : QueueEntry or None
        Entry in the admission queue, once queued.
    exchange : HttpExchange or None
        HTTP exchange with the target while it is in progress.
    incarnation : str
        Incarnation of the target to which the request was sent.
    drawn : bool or None
        Whether it precedes others for the sake of its account; None if that is not decided yet.
    identity : bytes
        Identity of the request; empty as long as it was not needed.
    crashes : int
        Crashes of targets under this request that were known when it was sent.
    transit_seconds : float or None
        Least time that it was on its way from its caller's node; None if there is nothing to measure it by.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "body_parts",
        "crashes",
        "deadline",
        "drawn",
        "exchange",
        "forward",
        "goal_at",
        "identity",
        "incarnation",
        "queue_entry",
        "reply",
        "sent_at",
        "transit_seconds",
    )

    def __init__(
        self,
        forward: Forward,
        body: bytes,
        now: float,
        reply: ReplyCallback,
        transit_seconds: float | None = None,
    ) -> None:
        self.forward = forward
        self.body = body
        self.body_parts: list[bytes] = []
        self.arrived_at = now
        sent_at = now - (transit_seconds or 0.0)
        self.deadline = sent_at + forward.remaining_seconds
        self.goal_at = sent_at + min(forward.goal_remaining_seconds, forward.remaining_seconds)
        self.reply = reply
        self.queue_entry: QueueEntry | None = None
        self.exchange: HttpExchange | None = None
        self.incarnation = ""
        self.sent_at = 0.0
        self.drawn: bool | None = None
        self.identity = b""
        self.crashes = 0
        self.transit_seconds = transit_seconds

    @property
    def has_body(self) -> bool:
        """Whether the whole body has arrived."""
        return bool(self.body) or not self.forward.offered_bytes

    @property
    def transit_ms(self) -> int | None:
        """``transit_seconds`` in milliseconds, for the log."""
        return round(self.transit_seconds * 1000) if self.transit_seconds is not None else None

    def identify(self) -> bytes:
        """Return the identity of the request, whose whole body has arrived."""
        if not self.identity:
            self.identity = identity_of_forward(self.forward, self.body)
        return self.identity

    @property
    def has_been_sent(self) -> bool:
        """Whether the target has been sent the request."""
        return self.incarnation != ""
