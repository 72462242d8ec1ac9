"""Deduplication of requests by id, by which an owner executes each request at most once."""

from __future__ import annotations

import enum
from collections import deque
from typing import Any

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.ids import creation_time

# Time for which ids are kept. At 5,900 requests/s, a tenth of them non-idempotent, this makes 71,000 ids.
DEDUP_WINDOW_SECONDS = 120.0
# Largest tolerated difference between the wall clocks of a caller and an owner.
MAX_CLOCK_SKEW_SECONDS = 5.0
# Nearly three times the number of ids expected within the window.
MAX_ENTRIES = 200_000
# When recorded answers exceed this total size, the oldest are dropped; their retries get OutcomeUnknown.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class RefusalReason(enum.StrEnum):
    """Reason for not admitting a request.

    Only ``FULL`` and ``FUTURE`` can prove that the request did not run; all others map to ``OutcomeUnknown``.
    """

    RUNNING = "running"
    NO_ANSWER_RECORDED = "no_answer_recorded"
    BEFORE_ACQUISITION = "before_acquisition"
    OUTSIDE_WINDOW = "outside_window"
    FULL = "full"
    FUTURE = "future"


class Fresh(msgspec.Struct, frozen=True):
    """The request is new and is now registered as running."""


class Recorded(msgspec.Struct, frozen=True):
    """The request has already run; ``answer`` is its recorded answer."""

    answer: Any


class Refused(msgspec.Struct, frozen=True):
    """The request must not run; ``not_run`` tells whether it is certain that it has not run before."""

    reason: RefusalReason
    not_run: bool = False


class RequestEntry:
    """State of an admitted request.

    Attributes
    ----------
    answer : Any
        The recorded answer; None while the request runs, if its outcome is unknown, or after the answer
        was dropped.
    finished : bool
        Whether the request has ended.
    size : int
        Size of the recorded answer in bytes; 0 if there is none or it has no length.
    """

    __slots__ = ("answer", "finished", "size")

    def __init__(self) -> None:
        self.answer: Any = None
        self.finished = False
        self.size = 0


FRESH = Fresh()


class DedupWindow:
    """Ids and answers of the non-idempotent requests that this owner has admitted.

    Parameters
    ----------
    window_seconds : float
        Time during which a retry is recognised.
    margin_seconds : float
        Largest tolerated difference between wall clocks.
    max_entries : int
        Largest number of stored ids; further requests are refused.
    max_answer_bytes : int
        Largest total size of the recorded answers; answers without a length are not counted.
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
        window_seconds: float = DEDUP_WINDOW_SECONDS,
        margin_seconds: float = MAX_CLOCK_SKEW_SECONDS,
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
        self.entries: dict[bytes, RequestEntry] = {}
        self.expiry_queue: deque[tuple[float, bytes]] = deque()
        self.answered_ids: deque[bytes] = deque()
        self.answer_bytes = 0

    def admit(
        self, request_id: bytes, attempt: int, slice_acquired_at: float, wall_time: float
    ) -> Fresh | Recorded | Refused:
        """Admit or refuse a request, or return its recorded answer.

        Parameters
        ----------
        request_id : bytes
            Id of the request, a UUIDv7.
        attempt : int
            1 for the first attempt; any other value is treated as a retry.
        slice_acquired_at : float
            Wall time at which this node became the owner of the key's slice.
        wall_time : float
            Current wall time.

        Raises
        ------
        InvalidArgument
            If the id is not a UUIDv7.
        """
        created_at = creation_time(request_id)
        self._remove_expired(wall_time)
        entry = self.entries.get(request_id)
        if entry is not None:
            return _repeat_decision(entry)
        reason = self._refusal_reason(created_at, attempt, slice_acquired_at, wall_time)
        if reason is not None:
            not_run = attempt == 1 and reason in (RefusalReason.FULL, RefusalReason.FUTURE)
            return Refused(reason=reason, not_run=not_run)
        self.entries[request_id] = RequestEntry()
        # Twice the margin, because the creation time may be up to one margin in the future, and a retry is
        # accepted until its creation time is one window in the past.
        self.expiry_queue.append((wall_time + self.window_seconds + 2 * self.margin_seconds, request_id))
        return FRESH

    def finish(self, request_id: bytes, answer: Any | None) -> None:
        """Record the answer of an admitted request, or None if its outcome is unknown."""
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
        """Remove a request that did not run, so that it can be retried."""
        entry = self.entries.get(request_id)
        if entry is not None and not entry.finished:
            del self.entries[request_id]

    def _refusal_reason(
        self, created_at: float, attempt: int, slice_acquired_at: float, wall_time: float
    ) -> RefusalReason | None:
        if created_at > wall_time + self.margin_seconds:
            return RefusalReason.FUTURE
        # First attempts of this age are refused as well: they may be duplicates of messages whose entry has
        # expired.
        if created_at < wall_time - self.window_seconds:
            return RefusalReason.OUTSIDE_WINDOW
        if attempt != 1 and created_at < slice_acquired_at + self.margin_seconds:
            return RefusalReason.BEFORE_ACQUISITION
        if len(self.entries) >= self.max_entries:
            return RefusalReason.FULL
        return None

    def _remove_expired(self, wall_time: float) -> None:
        expiry_queue = self.expiry_queue
        while expiry_queue and expiry_queue[0][0] < wall_time:
            request_id = expiry_queue.popleft()[1]
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


def _repeat_decision(entry: RequestEntry) -> Recorded | Refused:
    if not entry.finished:
        return Refused(reason=RefusalReason.RUNNING)
    if entry.answer is None:
        return Refused(reason=RefusalReason.NO_ANSWER_RECORDED)
    return Recorded(answer=entry.answer)
