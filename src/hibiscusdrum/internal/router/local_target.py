"""The target on this VM: its reports, whether it takes work, and the keys that it says it holds."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.ring import Range
from hibiscusdrum.internal.router.settings import RouterSettings

# Reports that may be missing before a target that also answers no request counts as gone.
MAX_MISSED_HEARTBEATS = 3.0
LIVENESS_CHECK_INTERVAL_SECONDS = 0.25
# An answer is held up at most this long for keys that the target is about to be given; a target counts
# answers within 1 s.
MAX_ANSWER_DELAY_SECONDS = 0.6
DELAYED_ANSWER_CHECK_INTERVAL_SECONDS = 0.05
REASON_CONNECTION_REFUSED = "refused"


class TargetState(enum.Enum):
    """Whether a target takes work."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


class TargetHeartbeat(msgspec.Struct, frozen=True):
    """What a target says of itself.

    Attributes
    ----------
    target : str
        Name of the target; a new start may have the same one.
    started_ms : int
        Unix milliseconds of its start, 0 when it does not say.
    sequence : int
        Grows with each report of one start.
    cold_seconds : float
        Time for which it stays cold.
    held : tuple of Range
        Keys that it holds or still works on.
    released : tuple of Range
        Keys that it gave back since its last acknowledged report, with handover tokens.
    """

    target: str
    service: str
    address: str
    slots: int
    draining: bool
    sequence: int
    started_ms: int = 0
    cold_seconds: float = 0.0
    failure_domain: str = ""
    held: tuple[Range, ...] = ()
    released: tuple[Range, ...] = ()

    @property
    def incarnation(self) -> str:
        """Identifies one start of the target."""
        return f"{self.target}@{self.started_ms}"


class Grant(msgspec.Struct, frozen=True):
    """Everything that a target is to hold, for ``seconds`` from when its report was sent."""

    ranges: tuple[Range, ...]
    seconds: float


GrantReply = Callable[[Grant | None], None]


class DelayedAnswer:
    """A report whose answer waits for keys.

    Attributes
    ----------
    due : float
        Monotonic time in seconds at which it is answered without them.
    """

    __slots__ = ("deadline", "heartbeat", "reply")

    def __init__(self, report: TargetHeartbeat, reply: GrantReply, due: float) -> None:
        self.heartbeat = report
        self.reply = reply
        self.deadline = due


class LocalTarget(Service):
    """Follows the reports of this VM's target.

    Attributes
    ----------
    report : TargetReport or None
        The newest report of the present start.
    ended : bool
        Whether the target's process has certainly ended.
    on_change : list of callable
        Called when the target appears, starts anew, drains or goes.
    grant : callable or None
        Answers a report of a target that holds keys.
    grants_soon : callable
        Whether the target is about to be given keys, so that an answer now would delay them by a report.
    """

    service_name = "local_target"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.last_heartbeat: TargetHeartbeat | None = None
        self.state = TargetState.ABSENT
        self.process_ended = False
        self.last_seen_at = float("-inf")
        self.last_heartbeat_at = float("-inf")
        self.leaving_incarnations: set[str] = set()
        self.on_change: list[Callable[[], None]] = []
        self.on_cold: list[Callable[[float], None]] = []
        self.make_grant: Callable[[TargetHeartbeat], Grant | None] | None = None
        self.grant_imminent: Callable[[], bool] = lambda: False
        self.delayed_answer: DelayedAnswer | None = None

    def on_start(self) -> None:
        """Watch for a target that falls silent."""
        self.answer_timer = self.app.scheduler.while_needed(
            DELAYED_ANSWER_CHECK_INTERVAL_SECONDS, self.answer_delayed
        )
        self.app.scheduler.every(LIVENESS_CHECK_INTERVAL_SECONDS, self.check_liveness)

    @property
    def ready(self) -> bool:
        """Whether the target takes work."""
        return self.state is TargetState.READY

    @property
    def incarnation(self) -> str:
        """The present start of the target; empty when there is none."""
        return (
            self.last_heartbeat.incarnation
            if self.last_heartbeat is not None and self.state is not TargetState.ABSENT
            else ""
        )

    def on_heartbeat(self, report: TargetHeartbeat, reply: GrantReply) -> None:
        """Take a report; ``reply`` gets what the target is to hold, or None to renew nothing.

        Raises
        ------
        InvalidArgument
            If the report is not from this VM's target.
        """
        if report.service != self.settings.service:
            raise InvalidArgument(name="service", value=report.service, expected=self.settings.service)
        if self.is_outdated(report):
            log_events.emit(
                events.ReportOutdated(target=report.target, life=report.incarnation, sequence=report.sequence)
            )
            reply(None)
            return
        now = self.app.clock.monotonic()
        former, former_state = self.incarnation, self.state
        self.last_heartbeat = report
        self.process_ended = False
        self.last_seen_at = self.last_heartbeat_at = now
        if report.cold_seconds > 0.0:
            self.notify_cold(report.cold_seconds)
        draining = report.draining or report.incarnation in self.leaving_incarnations
        self.state = TargetState.DRAINING if draining else TargetState.READY
        if self.incarnation != former or self.state is not former_state:
            log_events.emit(
                events.TargetChanged(target=report.target, life=report.incarnation, state=self.state.value)
            )
            self.notify_changed()
        if self.delayed_answer is not None:
            # The target has gone on to this report, and counts its hold from here.
            self.delayed_answer.reply(None)
            self.delayed_answer = None
        if self.state is TargetState.READY and self.grant_imminent():
            self.delayed_answer = DelayedAnswer(report, reply, now + MAX_ANSWER_DELAY_SECONDS)
            self.answer_timer.wake()
        else:
            reply(self.make_grant(report) if self.make_grant is not None else None)

    def answer_delayed(self) -> bool:
        """Answer a held report when its keys are there or its time is over; True while one waits."""
        pending = self.delayed_answer
        if pending is None:
            return False
        if self.app.clock.monotonic() < pending.deadline and self.grant_imminent():
            return True
        self.delayed_answer = None
        pending.reply(self.make_grant(pending.heartbeat) if self.make_grant is not None else None)
        return False

    def is_outdated(self, report: TargetHeartbeat) -> bool:
        """Return whether a report was overtaken by a later one, or is from an earlier start."""
        known = self.last_heartbeat
        if known is None or report.incarnation == known.incarnation:
            return known is not None and report.sequence <= known.sequence
        if report.incarnation in self.leaving_incarnations and not report.draining:
            return True
        return 0 < report.started_ms < known.started_ms

    def on_leave(self, target: str, started_ms: int) -> None:
        """Take the notice of a target that it leaves; a late notice of an earlier start changes nothing."""
        report = self.last_heartbeat
        if report is None or report.target != target:
            return
        if started_ms and report.started_ms and started_ms != report.started_ms:
            return
        self.leaving_incarnations.add(report.incarnation)
        if self.state is TargetState.READY:
            self.state = TargetState.DRAINING
            log_events.emit(
                events.TargetChanged(target=target, life=report.incarnation, state=self.state.value)
            )
            self.notify_changed()

    def notify_cold(self, seconds: float) -> None:
        """Take over that the target stays cold for a time."""
        for listener in self.on_cold:
            listener(seconds)

    def record_answer(self) -> None:
        """Note that the target answered a request."""
        self.last_seen_at = self.app.clock.monotonic()

    def on_connection_refused(self) -> None:
        """Note that nobody listens at the target's address."""
        self.mark_absent(REASON_CONNECTION_REFUSED)

    def check_liveness(self) -> None:
        """Declare a target gone that neither reports nor answers."""
        silence = self.app.clock.monotonic() - self.last_seen_at
        if silence > MAX_MISSED_HEARTBEATS * self.settings.heartbeat:
            self.mark_absent("silent")

    def mark_absent(self, reason: str) -> None:
        """Declare the target gone until its next report."""
        if self.state is TargetState.ABSENT:
            return
        log_events.emit(events.TargetGone(target=self.last_heartbeat.target, reason=reason))
        self.state = TargetState.ABSENT
        self.process_ended = reason == REASON_CONNECTION_REFUSED
        self.notify_changed()

    def notify_changed(self) -> None:
        """Tell the listeners."""
        for listener in self.on_change:
            listener()
