"""At-most-once execution: which request ids an owner has already admitted."""

from __future__ import annotations

import enum
from collections import deque
from typing import Any

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.ids import creation_time

# Ids are remembered for this long; 5,900 requests/s, a tenth of them non-idempotent, make 71,000 ids.
WINDOW_SECONDS = 120.0
# Largest difference between the wall clocks of a caller and an owner.
MARGIN_SECONDS = 5.0
# Nearly three times the ids expected within the window.
MAX_ENTRIES = 200_000
# Recorded answers beyond this size are dropped, oldest first; their retries get OutcomeUnknown.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class RefusalReason(enum.StrEnum):
    """Why a request was not admitted.

    Only ``FULL`` and ``FUTURE`` prove that the request did not run; all others map to ``OutcomeUnknown``.
    """

    RUNNING = "running"
    NO_ANSWER_RECORDED = "no_answer_recorded"
    BEFORE_ACQUISITION = "before_acquisition"
    OUTSIDE_WINDOW = "outside_window"
    FULL = "full"
    FUTURE = "future"


class Fresh(msgspec.Struct, frozen=True):
    """The request was not seen before and is now recorded as running."""


class Recorded(msgspec.Struct, frozen=True):
    """The request has run; ``answer`` is what it answered."""

    answer: Any


class Refused(msgspec.Struct, frozen=True):
    """The request may not run."""

    reason: RefusalReason
    not_run: bool = False


class Entry:
    """A remembered request; ``answer`` is None while it runs or when its outcome is unknown."""

    __slots__ = ("answer", "finished", "size")

    def __init__(self) -> None:
        self.answer: Any = None
        self.finished = False
        self.size = 0


FRESH = Fresh()


class DedupWindow:
    """Ids of non-idempotent requests that this owner admitted.

    Parameters
    ----------
    window_seconds : float
        How long a retry can be recognised.
    margin_seconds : float
        Largest difference between wall clocks.
    max_entries : int
        Bound of remembered ids; further requests are refused as not run.
    max_answer_bytes : int
        Bound of the recorded answers that have a length.
    """

    __slots__ = (
        "answer_bytes",
        "answered_ids",
        "entries",
        "expiry_queue",
        "margin_seconds",
        "max_answer_bytes",
        "max_entries",
        "window_seconds",
    )

    def __init__(
        self,
        window_seconds: float = WINDOW_SECONDS,
        margin_seconds: float = MARGIN_SECONDS,
        max_entries: int = MAX_ENTRIES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        if not window_seconds > 0:
            raise InvalidArgument(name="window_seconds", value=window_seconds, expected="seconds above 0")
        if not margin_seconds >= 0:
            raise InvalidArgument(name="margin_seconds", value=margin_seconds, expected="seconds from 0")
        self.window_seconds = window_seconds
        self.margin_seconds = margin_seconds
        self.max_entries = max_entries
        self.max_answer_bytes = max_answer_bytes
        self.entries: dict[bytes, Entry] = {}
        self.expiry_queue: deque[tuple[float, bytes]] = deque()
        self.answered_ids: deque[bytes] = deque()
        self.answer_bytes = 0

    def admit(
        self, request_id: bytes, attempt: int, slice_acquired_wall: float, wall: float
    ) -> Fresh | Recorded | Refused:
        """Decide on a request.

        Parameters
        ----------
        request_id : bytes
            UUIDv7.
        attempt : int
            1 for the first attempt; any other value is treated as a retry.
        slice_acquired_wall : float
            Wall time at which this node acquired the key's slice.
        wall : float
            Wall time now.

        Raises
        ------
        InvalidArgument
            If the id is not a UUIDv7.
        """
        created = creation_time(request_id)
        self._expire(wall)
        entry = self.entries.get(request_id)
        if entry is not None:
            return _seen(entry)
        reason = self._refusal(created, attempt, slice_acquired_wall, wall)
        if reason is not None:
            proven = attempt == 1 and reason in (RefusalReason.FULL, RefusalReason.FUTURE)
            return Refused(reason=reason, not_run=proven)
        self.entries[request_id] = Entry()
        # Twice the margin: the id may be as much as one margin in the future and is accepted as a retry
        # until its creation time is a whole window ago.
        self.expiry_queue.append((wall + self.window_seconds + 2 * self.margin_seconds, request_id))
        return FRESH

    def finish(self, request_id: bytes, answer: Any | None) -> None:
        """Record the answer of an admitted request; None when its outcome is unknown."""
        entry = self.entries.get(request_id)
        if entry is None or entry.finished:
            return
        entry.finished = True
        if answer is None:
            return
        entry.answer = answer
        entry.size = len(answer) if hasattr(answer, "__len__") else 0
        self.answer_bytes += entry.size
        self.answered_ids.append(request_id)
        while self.answer_bytes > self.max_answer_bytes:
            self._drop_answer(self.answered_ids.popleft())

    def forget(self, request_id: bytes) -> None:
        """Forget a request that did not run, so that it may be tried again."""
        entry = self.entries.get(request_id)
        if entry is not None and not entry.finished:
            del self.entries[request_id]

    def _refusal(
        self, created: float, attempt: int, slice_acquired_wall: float, wall: float
    ) -> RefusalReason | None:
        if created > wall + self.margin_seconds:
            return RefusalReason.FUTURE
        # A first attempt this old is refused as well: it may be a copy of a message whose record expired.
        if created < wall - self.window_seconds:
            return RefusalReason.OUTSIDE_WINDOW
        if attempt != 1 and created < slice_acquired_wall + self.margin_seconds:
            return RefusalReason.BEFORE_ACQUISITION
        if len(self.entries) >= self.max_entries:
            return RefusalReason.FULL
        return None

    def _expire(self, wall: float) -> None:
        expiries = self.expiry_queue
        while expiries and expiries[0][0] < wall:
            request_id = expiries.popleft()[1]
            self._drop_answer(request_id)
            self.entries.pop(request_id, None)
        while self.answered_ids and self.answered_ids[0] not in self.entries:
            self.answered_ids.popleft()

    def _drop_answer(self, request_id: bytes) -> None:
        entry = self.entries.get(request_id)
        if entry is not None:
            self.answer_bytes -= entry.size
            entry.size = 0
            entry.answer = None


def _seen(entry: Entry) -> Recorded | Refused:
    if not entry.finished:
        return Refused(reason=RefusalReason.RUNNING)
    if entry.answer is None:
        return Refused(reason=RefusalReason.NO_ANSWER_RECORDED)
    return Recorded(answer=entry.answer)
