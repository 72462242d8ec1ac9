"""Detection of requests that a target will never answer.

It handles targets of which some never answer a request that they could not queue, nor any further request on
that connection. Such a request is told from a slow one by two signs: its target has answered as many later
requests as it has slots, on other connections, so that it did not wait for a slot, and it takes longer than
the slowest requests of its class.
"""

from __future__ import annotations

from collections.abc import Hashable

# Some requests take up to this many times the mean of their class.
SLOWEST_SHARE = 7.0
# Targets are slow for about this long at a time, in which their requests make hardly any progress.
SLOW_PHASE_SECONDS = 0.4


class HungRequests:
    """Counts, for each request at a target, the answers to requests that were sent after it.

    Attributes
    ----------
    sent_at : dict of hashable to float
        Monotonic time in seconds at which each request without an answer was sent.
    overtaken : dict of hashable to int
        Number of later requests that were answered meanwhile.
    """

    __slots__ = ("overtaken", "sent_at")

    def __init__(self) -> None:
        self.sent_at: dict[Hashable, float] = {}
        self.overtaken: dict[Hashable, int] = {}

    def on_sent(self, request: Hashable, now: float) -> None:
        """Record that a request was sent."""
        self.sent_at[request] = now
        self.overtaken[request] = 0

    def on_answered(self, request: Hashable) -> None:
        """Record the answer to a request, which counts for all that were sent before it."""
        sent_at = self.sent_at.get(request)
        self.forget(request)
        if sent_at is None:
            return
        for other, other_sent_at in self.sent_at.items():
            if other_sent_at < sent_at:
                self.overtaken[other] += 1

    def forget(self, request: Hashable) -> None:
        """Forget a request that has ended without an answer."""
        self.sent_at.pop(request, None)
        self.overtaken.pop(request, None)

    def overtaken_by(self, count: int) -> list[Hashable]:
        """Return the requests than which at least as many later ones were answered."""
        return [request for request, answers in self.overtaken.items() if answers >= count]

    def takes_too_long(self, request: Hashable, expected_seconds: float, now: float) -> bool:
        """Return whether a request takes longer than the slowest of its class, of this mean service time."""
        longest = expected_seconds * SLOWEST_SHARE + SLOW_PHASE_SECONDS
        return now - self.sent_at[request] > longest
