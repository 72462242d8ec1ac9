"""The target on this VM: its heartbeats, its state, and the keys that it reports to hold.

The state also depends on what the target's answers say about it: see ``target_signals``.
"""

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
from hibiscusdrum.internal.router.target_signals import RateLimitState

# A target that misses this many heartbeats and answers no request in that time counts as absent.
MAX_MISSED_HEARTBEATS = 3.0
LIVENESS_CHECK_INTERVAL_SECONDS = 0.25
# The answer to a heartbeat is delayed at most this long while a grant is imminent; targets ignore answers
# after more than 1 s.
MAX_ANSWER_DELAY_SECONDS = 0.6
DELAYED_ANSWER_CHECK_INTERVAL_SECONDS = 0.05
REASON_CONNECTION_REFUSED = "refused"


class TargetState(enum.Enum):
    """Whether a target accepts requests."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


class TargetHeartbeat(msgspec.Struct, frozen=True):
    """Periodic message of a target about itself.

    Attributes
    ----------
    target : str
        Name of the target; it may stay the same after a restart.
    address : str
        Address at which it serves requests.
    slots : int
        Requests that it can run concurrently.
    sequence : int
        Increases with each heartbeat of one incarnation.
    started_ms : int
        Unix milliseconds of its start; 0 when not reported.
    cold_seconds : float
        Time for which it stays cold from now on.
    held : tuple of Range
        Keys that it holds, or for which it still runs requests.
    released : tuple of Range
        Keys that it released since its last acknowledged heartbeat, with handover tokens.
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
        """Identifier of one start of the target."""
        return incarnation_of(self.target, self.started_ms)


def incarnation_of(target: str, started_ms: int) -> str:
    """Return the identifier of the start of a target at ``started_ms``, in Unix milliseconds."""
    return f"{target}@{started_ms}"


class Grant(msgspec.Struct, frozen=True):
    """All keys that a target may serve, for ``seconds`` from when its heartbeat was sent."""

    ranges: tuple[Range, ...]
    seconds: float


GrantReply = Callable[[Grant | None], None]


class DelayedAnswer:
    """A heartbeat whose answer is delayed because a grant is imminent.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds at which it is answered in any case.
    """

    __slots__ = ("deadline", "heartbeat", "reply")

    def __init__(self, heartbeat: TargetHeartbeat, reply: GrantReply, deadline: float) -> None:
        self.heartbeat = heartbeat
        self.reply = reply
        self.deadline = deadline


DepartureReply = Callable[[bool], None]


class Departure:
    """A notice of departure whose answer is delayed until it is stored.

    Attributes
    ----------
    reply : callable
        Called once with whether the notice is acknowledged.
    """

    __slots__ = ("incarnation", "reply")

    def __init__(self, incarnation: str, reply: DepartureReply) -> None:
        self.incarnation = incarnation
        self.reply = reply


class LocalTarget(Service):
    """Tracks the target of this VM by its heartbeats and its answers.

    Attributes
    ----------
    last_heartbeat : TargetHeartbeat or None
        The newest heartbeat; kept while the target is absent.
    connection_refused : bool
        Whether the target's address has refused a connection since the last heartbeat.
    is_serving : callable
        Returns whether a request that was sent to the target waits for its answer on an open connection.
    last_seen_at : float
        Monotonic time in seconds of the last heartbeat or answered request.
    last_heartbeat_at : float
        Monotonic time in seconds of the last heartbeat.
    leaving_incarnations : set of str
        Incarnations that have announced that they leave.
    last_left : str
        The one of them that announced it last; empty without one.
    drained_incarnation : str
        Incarnation that has reported that it drains; empty without one.
    drained_since : int
        Sequence number of its first heartbeat that said so.
    stored_incarnation : str
        Incarnation in this node's row, which an earlier process may have written; empty without one.
    departures : list of Departure
        Notices of departure that are not stored yet.
    is_departure_stored : callable
        Returns whether this node's row says that an incarnation leaves.
    on_change : list of callable
        Called when the target appears, restarts, drains or is lost.
    rate_limit : RateLimitState
        Rate limit that the current incarnation states in its answers.
    on_cold : list of callable
        Called with the seconds for which the target stays cold.
    make_grant : callable or None
        Returns the grant that answers a heartbeat.
    grant_imminent : callable
        Returns whether a grant will soon be available, so that an answer now would delay it by one heartbeat.
    delayed_answer : DelayedAnswer or None
        The heartbeat whose answer is delayed.
    """

    service_name = "local_target"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.last_heartbeat: TargetHeartbeat | None = None
        self.state = TargetState.ABSENT
        self.connection_refused = False
        self.is_serving: Callable[[], bool] = lambda: False
        self.last_seen_at = float("-inf")
        self.last_heartbeat_at = float("-inf")
        self.leaving_incarnations: set[str] = set()
        self.last_left = ""
        self.drained_incarnation = ""
        self.drained_since = 0
        self.stored_incarnation = ""
        self.departures: list[Departure] = []
        self.is_departure_stored: Callable[[str], bool] = lambda _incarnation: False
        self.rate_limit = RateLimitState()
        self.on_change: list[Callable[[], None]] = []
        self.on_cold: list[Callable[[float], None]] = []
        self.make_grant: Callable[[TargetHeartbeat], Grant | None] | None = None
        self.grant_imminent: Callable[[], bool] = lambda: False
        self.delayed_answer: DelayedAnswer | None = None

    def on_start(self) -> None:
        """Start the timers for liveness checks and delayed answers."""
        self.answer_timer = self.app.scheduler.create_work_timer(
            DELAYED_ANSWER_CHECK_INTERVAL_SECONDS, self.answer_delayed
        )
        self.app.scheduler.every(LIVENESS_CHECK_INTERVAL_SECONDS, self.check_liveness)

    @property
    def ready(self) -> bool:
        """Whether the target accepts requests."""
        return self.state is TargetState.READY

    @property
    def process_ended(self) -> bool:
        """Whether the target's process has certainly ended: all of its connections end with it.

        A target that has only closed its listening socket may still hold keys and run requests.
        """
        return self.connection_refused and not self.is_serving()

    @property
    def incarnation(self) -> str:
        """The current incarnation of the target; empty when it is absent."""
        return (
            self.last_heartbeat.incarnation
            if self.last_heartbeat is not None and self.state is not TargetState.ABSENT
            else ""
        )

    def on_heartbeat(self, heartbeat: TargetHeartbeat, reply: GrantReply) -> None:
        """Process a heartbeat, and answer it now or with a delay.

        Parameters
        ----------
        heartbeat : TargetHeartbeat
        reply : callable
            Called once with the grant, or None to renew nothing.

        Raises
        ------
        InvalidArgument
            If the heartbeat names another service than this VM's.
        """
        if heartbeat.service != self.settings.service:
            raise InvalidArgument(name="service", value=heartbeat.service, expected=self.settings.service)
        if self.is_outdated(heartbeat):
            log_events.emit(
                events.ReportOutdated(
                    target=heartbeat.target, life=heartbeat.incarnation, sequence=heartbeat.sequence
                )
            )
            reply(None)
            return
        now = self.app.clock.monotonic()
        former_incarnation, former_state = self.incarnation, self.state
        if heartbeat.incarnation != self.last_incarnation:
            self.rate_limit = RateLimitState()
        self.last_heartbeat = heartbeat
        self.connection_refused = False
        self.last_seen_at = self.last_heartbeat_at = now
        if heartbeat.cold_seconds > 0.0:
            self.notify_cold(heartbeat.cold_seconds)
        self.record_draining(heartbeat)
        draining = heartbeat.draining or heartbeat.incarnation in self.leaving_incarnations
        self.state = TargetState.DRAINING if draining else TargetState.READY
        if self.incarnation != former_incarnation or self.state is not former_state:
            log_events.emit(
                events.TargetChanged(
                    target=heartbeat.target, life=heartbeat.incarnation, state=self.state.value
                )
            )
            self.notify_changed()
        if self.delayed_answer is not None:
            # The target has sent a newer heartbeat, from which it counts its grant.
            self.delayed_answer.reply(None)
            self.delayed_answer = None
        if self.state is TargetState.READY and self.grant_imminent():
            self.delayed_answer = DelayedAnswer(heartbeat, reply, now + MAX_ANSWER_DELAY_SECONDS)
            self.answer_timer.wake()
        else:
            reply(self.make_grant(heartbeat) if self.make_grant is not None else None)

    def answer_delayed(self) -> bool:
        """Answer the delayed heartbeat if the grant is available or its deadline has passed.

        Returns whether it is still delayed.
        """
        delayed = self.delayed_answer
        if delayed is None:
            return False
        if self.app.clock.monotonic() < delayed.deadline and self.grant_imminent():
            return True
        self.delayed_answer = None
        delayed.reply(self.make_grant(delayed.heartbeat) if self.make_grant is not None else None)
        return False

    def is_outdated(self, heartbeat: TargetHeartbeat) -> bool:
        """Return whether a heartbeat was overtaken by a later one, or is from an earlier incarnation."""
        last = self.last_heartbeat
        if heartbeat.incarnation == self.drained_incarnation and heartbeat.sequence < self.drained_since:
            return True
        if last is None or heartbeat.incarnation == last.incarnation:
            return last is not None and heartbeat.sequence <= last.sequence
        if heartbeat.incarnation in self.leaving_incarnations and not heartbeat.draining:
            return True
        return 0 < heartbeat.started_ms < last.started_ms

    def record_draining(self, heartbeat: TargetHeartbeat) -> None:
        """Record since when the target drains, which is stored for the next process of this node."""
        if not heartbeat.draining:
            self.drained_incarnation, self.drained_since = "", 0
        elif heartbeat.incarnation != self.drained_incarnation:
            self.drained_incarnation, self.drained_since = heartbeat.incarnation, heartbeat.sequence

    def restore_draining(self, incarnation: str, since: int) -> None:
        """Adopt what an earlier process of this node has stored, unless a later heartbeat is known.

        Parameters
        ----------
        incarnation : str
        since : int
            Sequence number of the heartbeat by which it reported first that it drains.
        """
        last = self.last_heartbeat
        if last is None:
            self.drained_incarnation, self.drained_since = incarnation, since
        elif last.incarnation == incarnation and last.sequence < since:
            self.drained_incarnation, self.drained_since = incarnation, since
            self.begin_draining()

    def on_leave(self, target: str, started_ms: int, reply: DepartureReply) -> None:
        """Process a target's notice that it leaves.

        It is acknowledged once it is stored, so that the next process of this node knows of it too.

        Parameters
        ----------
        target : str
        started_ms : int
            Unix milliseconds of the start of the target; 0 when not reported.
        reply : callable
            Called once with whether the notice is acknowledged.
        """
        heartbeat = self.last_heartbeat
        if heartbeat is not None and (heartbeat.target != target or 0 < started_ms < heartbeat.started_ms):
            # A late notice of an earlier target.
            reply(True)
            return
        incarnation = self.departing_incarnation(target, started_ms)
        if not incarnation:
            reply(False)
            return
        departure = Departure(incarnation, reply)
        self.departures.append(departure)
        self.mark_leaving(incarnation)
        self.answer_departures()
        self.app.scheduler.call_later(
            MAX_ANSWER_DELAY_SECONDS, lambda: self.answer_departure(departure, False)
        )

    def departing_incarnation(self, target: str, started_ms: int) -> str:
        """Return the incarnation that a notice of departure is about; empty if that is not known."""
        if started_ms:
            return incarnation_of(target, started_ms)
        if self.last_heartbeat is not None:
            return self.last_heartbeat.incarnation
        return self.stored_incarnation if self.stored_incarnation.startswith(f"{target}@") else ""

    def answer_departures(self) -> None:
        """Acknowledge the notices that are stored by now."""
        for departure in list(self.departures):
            if self.is_departure_stored(departure.incarnation):
                self.answer_departure(departure, True)

    def answer_departure(self, departure: Departure, acknowledged: bool) -> None:
        """Answer a notice of departure, unless that has been done."""
        if departure not in self.departures:
            return
        self.departures.remove(departure)
        if not acknowledged:
            log_events.emit(events.DepartureNotStored(life=departure.incarnation))
        departure.reply(acknowledged)

    def mark_leaving(self, incarnation: str) -> None:
        """Record that an incarnation of the target leaves; if it is the current one, it is draining."""
        known = incarnation in self.leaving_incarnations
        self.leaving_incarnations.add(incarnation)
        self.last_left = incarnation
        if self.state is TargetState.READY and incarnation == self.incarnation:
            self.begin_draining()
        elif not known:
            self.notify_changed()

    def begin_draining(self) -> None:
        """Set the state of a ready target to draining."""
        if self.state is not TargetState.READY:
            return
        self.state = TargetState.DRAINING
        log_events.emit(
            events.TargetChanged(
                target=self.last_heartbeat.target, life=self.incarnation, state=self.state.value
            )
        )
        self.notify_changed()

    @property
    def departed(self) -> str:
        """Incarnation that leaves or drains, also once it is absent; empty if a later one is known."""
        if self.last_heartbeat is None:
            return self.last_left or self.drained_incarnation
        latest = self.last_heartbeat.incarnation
        return latest if latest in (self.last_left, self.drained_incarnation) else ""

    def notify_cold(self, seconds: float) -> None:
        """Notify the listeners that the target stays cold for some seconds."""
        for listener in self.on_cold:
            listener(seconds)

    def record_answer(self) -> None:
        """Record that the target answered a request."""
        self.last_seen_at = self.app.clock.monotonic()

    @property
    def last_incarnation(self) -> str:
        """Incarnation of the newest heartbeat, also while the target is absent; empty without one."""
        return self.last_heartbeat.incarnation if self.last_heartbeat is not None else ""

    def on_connection_refused(self) -> None:
        """Mark the target as absent, because its address refuses connections."""
        self.mark_absent(REASON_CONNECTION_REFUSED)

    def check_liveness(self) -> None:
        """Mark the target as absent if it neither sends heartbeats nor answers requests."""
        silence = self.app.scheduler.silence_seconds(self.last_seen_at)
        if silence > MAX_MISSED_HEARTBEATS * self.settings.heartbeat:
            self.mark_absent("silent")

    def mark_absent(self, reason: str) -> None:
        """Mark the target as absent until its next heartbeat."""
        if self.state is TargetState.ABSENT:
            return
        log_events.emit(events.TargetGone(target=self.last_heartbeat.target, reason=reason))
        self.state = TargetState.ABSENT
        self.connection_refused = reason == REASON_CONNECTION_REFUSED
        self.notify_changed()

    def notify_changed(self) -> None:
        """Notify the listeners of a changed target."""
        for listener in self.on_change:
            listener()
