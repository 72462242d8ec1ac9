"""Lets a target run one suspect of a crash at a time, so that the next crash tells which is the cause."""

from __future__ import annotations

import enum

from hibiscusdrum.internal.router.job import Job


class Place(enum.Enum):
    """Place of a suspect in the line."""

    FIRST = "first"
    WAITING = "waiting"
    TOO_LATE = "too_late"


class SuspectLine:
    """The suspect that is queued or running, and those that wait for its end.

    Attributes
    ----------
    first : Job or None
    waiting : list of Job
    """

    __slots__ = ("first", "waiting")

    def __init__(self) -> None:
        self.first: Job | None = None
        self.waiting: list[Job] = []

    def join(self, job: Job, now: float, service_seconds: float) -> Place:
        """Add a suspect, unless it cannot be run before its deadline.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        service_seconds : float
            Mean time for which a request runs.
        """
        if self.first is None or self.first is job:
            self.first = job
            return Place.FIRST
        runs_before = len(self.waiting) + 1
        if now + (runs_before + 1) * service_seconds > job.deadline:
            return Place.TOO_LATE
        self.waiting.append(job)
        return Place.WAITING

    def leave(self, job: Job) -> list[Job]:
        """Remove a suspect; return those that may join again."""
        if job in self.waiting:
            self.waiting.remove(job)
        if job is not self.first:
            return []
        self.first = None
        return self.take_waiting()

    def take_waiting(self) -> list[Job]:
        """Remove and return the suspects that wait."""
        waiting, self.waiting = self.waiting, []
        return waiting

    def expired(self, now: float, service_seconds: float) -> list[Job]:
        """Return the waiting suspects that cannot be run before their deadline any more."""
        return [job for job in self.waiting if now + service_seconds > job.deadline]
