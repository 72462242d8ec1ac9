"""Detects that this VM's target has crashed, and which requests it was running then.

A connection that ends without a response proves little: targets reset connections and lose responses while
they run on. A crash is certain once nothing listens at the target's address, or it has started anew without
having announced that it leaves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.job import Job
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetState
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.transport.connect_probe import ConnectProbe
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import FailureKind, HttpFailure

# Failures of an exchange with which the end of a process shows.
INTERRUPTIONS = frozenset((FailureKind.CLOSED, FailureKind.INCOMPLETE))
# The sockets of a process that ends are not all closed at the same moment.
PROBE_DELAY_SECONDS = 0.01
PROBE_TIMEOUT_SECONDS = 0.2
# A request whose connection ended earlier than this before the crash of its target did not cause it.
MAX_EVIDENCE_AGE_SECONDS = 5.0
# Interrupted requests that are remembered; a target has far fewer slots.
MAX_INTERRUPTIONS = 256
CRASHED_REASON = "target_crashed"


class Suspect(msgspec.Struct, frozen=True):
    """A request that a target was running when it crashed.

    Attributes
    ----------
    identity : bytes
    attempt_id : str
    crashes : int
        Crashes, this one included, of which each but the first came after the one before it was known.
    """

    identity: bytes
    attempt_id: str
    crashes: int


class Interruption:
    """End of a request's connection to the target without a complete response.

    Attributes
    ----------
    suspect : Suspect
        The request, should the target have crashed.
    incarnation : str
        Incarnation of the target.
    at : float
        Monotonic time in seconds.
    """

    __slots__ = ("at", "incarnation", "suspect")

    def __init__(self, job: Job, at: float) -> None:
        self.suspect = Suspect(job.identify(), job.forward.attempt_id, job.crashes + 1)
        self.incarnation = job.incarnation
        self.at = at


class CrashDetector(Service):
    """Withholds the outcome of interrupted requests until it is known whether the target has crashed.

    Attributes
    ----------
    incarnation : str
        Newest known incarnation of the target.
    interruptions : deque of Interruption
        What is evidence if the target turns out to have crashed.
    undecided : list of (Job, HttpFailure)
        Interrupted requests without an outcome.
    on_outcome : callable
        Called with an interrupted request, its failure, and whether its target has crashed.
    on_crash : list of callable
        Called with the incarnation that has crashed and the list of suspects, if there are any.
    """

    service_name = "crash_detector"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.incarnation = ""
        self.interruptions: deque[Interruption] = deque(maxlen=MAX_INTERRUPTIONS)
        self.undecided: list[tuple[Job, HttpFailure]] = []
        self.on_outcome: Callable[[Job, HttpFailure, bool], None] = lambda *_: None
        self.on_crash: list[Callable[[str, list[Suspect]], None]] = []

    def on_start(self) -> None:
        """Look up the services this one uses, and follow the target."""
        self.target: LocalTarget = self.app.find("local_target")
        self.http_client: HttpClient = self.app.find("http_client")
        self.connect_probe: ConnectProbe = self.app.find("connect_probe")
        self.target.on_change.append(self.on_target_change)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an incarnation has announced its end."""
        target = self.target
        return incarnation in target.leaving_incarnations or incarnation == target.drained_incarnation

    def on_interrupted(self, job: Job, failure: HttpFailure) -> None:
        """Decide about an interrupted request once it is known whether the target has crashed."""
        if failure.kind not in INTERRUPTIONS or self.is_leaving(job.incarnation):
            self.on_outcome(job, failure, False)
            return
        self.interruptions.append(Interruption(job, self.now))
        self.undecided.append((job, failure))
        if self.target.state is TargetState.ABSENT and self.target.process_ended:
            self.on_ended(self.incarnation)
        elif len(self.undecided) == 1:
            self.app.scheduler.call_later(PROBE_DELAY_SECONDS, self.check_target)

    def check_target(self) -> None:
        """Find out whether the target still runs."""
        if not self.undecided:
            return
        if self.http_client.has_sent_exchange(self.settings.target_address):
            self.decide(crashed=False)
        else:
            self.connect_probe.probe(self.settings.target_address, PROBE_TIMEOUT_SECONDS, self.on_probed)

    def on_probed(self, refused: bool) -> None:
        """Take the outcome of a probe."""
        if refused:
            self.target.on_connection_refused()
            self.on_ended(self.incarnation)
        else:
            self.decide(crashed=False)

    def on_target_change(self) -> None:
        """Recognize the end of the target's process."""
        target = self.target
        former, self.incarnation = self.incarnation, target.last_incarnation
        if former and former != self.incarnation:
            self.on_ended(former)
        elif target.state is TargetState.ABSENT and target.process_ended:
            self.on_ended(self.incarnation)

    def on_ended(self, incarnation: str) -> None:
        """Report the suspects of a crash, and decide about the interrupted requests."""
        since = self.now - MAX_EVIDENCE_AGE_SECONDS
        suspects = [
            entry.suspect
            for entry in self.interruptions
            if entry.at >= since and entry.incarnation == incarnation
        ]
        self.interruptions.clear()
        if suspects and not self.is_leaving(incarnation):
            log_events.emit(
                events.TargetCrashed(
                    life=incarnation,
                    ids=tuple(suspect.attempt_id for suspect in suspects),
                    identities=tuple(suspect.identity.hex() for suspect in suspects),
                    crashes=tuple(suspect.crashes for suspect in suspects),
                )
            )
            for listener in self.on_crash:
                listener(incarnation, suspects)
        self.decide(crashed=True)

    def decide(self, crashed: bool) -> None:
        """Pass on the outcome of the interrupted requests."""
        undecided, self.undecided = self.undecided, []
        for job, failure in undecided:
            self.on_outcome(job, failure, crashed)
