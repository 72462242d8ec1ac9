"""Quarantine of poison requests: requests that crash each target that begins to run them.

A request is a suspect from the first crash of a target that was running it. Most suspects are sound; one
complete response of any target clears a request. Until then a target runs one suspect at a time, so that
the next crash has few suspects, and each crash is counted only if the request was sent after the one before
it was known: targets that are lost together count once. A suspect that nothing has cleared by its last
permitted crash is held: no node sends it to a target until the hold ends.

Each node counts for itself. Nodes tell each other of suspects and of what clears them, and keep the larger
count, so that messages may be lost, repeated or reordered. See ``quarantine_rows`` for what the store keeps.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import CrashReport, SuspectsCleared
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.crash_detector import CrashDetector, Suspect
from hibiscusdrum.internal.router.hop import Forwarder
from hibiscusdrum.internal.router.settings import RouterSettings

CRASHES_TO_QUARANTINE = 3
# From this count on, a crash of a request that another node has seen answered is objected to.
CRASHES_TO_OBJECT = 2
# A request with this many crashes is kept from the last target of its service for some seconds after the last
# crash, in which another target starts again.
CRASHES_TO_SPARE = 2
SPARE_SECONDS = 6.0
# Time within which the row of a node says that its target has crashed. It takes longer to start again.
ROW_DELAY_SECONDS = 2.0
# A suspect is forgotten this long after its last crash.
SUSPECT_SECONDS = 600.0
# Durations of the first holds, and of all later ones. At the end of each, one crash renews the hold.
HOLD_SECONDS = (600.0, 3_600.0, 86_400.0)
# For this long after a request was answered, it is no suspect: crashes that are reported late do not count.
CLEARED_SECONDS = 10.0
# The same after a release, which may be a mistake: other nodes follow it within this time.
RELEASED_SECONDS = 4.0
FORGET_INTERVAL_SECONDS = 30.0
MAX_SUSPECTS = 4_096
MAX_HELD = 512
MAX_CLEARED = 1_024
# Suspects named in one message; a target has far fewer slots.
MAX_REPORTED = 64
QUARANTINED_REASON = "quarantined"
SOURCE_LOCAL = "local"
SOURCE_PEER = "peer"
SOURCE_STORE = "store"
SOURCE_RECEIVER = "receiver"


class CrashRecord:
    """What a node knows of the crashes under one request.

    Attributes
    ----------
    crashes : int
        Crashes that followed each other.
    crashed_at : float
        Monotonic time in seconds at which this node learned of the last one.
    node : str
        Node beside the target that crashed last.
    source : str
        How this node learned of it.
    holds : int
        Number of times that the request was held.
    held_until : float
        Monotonic time in seconds.
    """

    __slots__ = ("crashed_at", "crashes", "held_until", "holds", "node", "source")

    def __init__(self) -> None:
        self.crashes = 0
        self.crashed_at = float("-inf")
        self.node = ""
        self.source = ""
        self.holds = 0
        self.held_until = float("-inf")


class Quarantine(Service):
    """Counts crashes by request, and decides which requests are sent to no target.

    Attributes
    ----------
    suspects : OrderedDict of bytes to CrashRecord
        Requests that may be sent, by identity; the one that crashed a target longest ago comes first.
    held : dict of bytes to CrashRecord
        Requests that are sent to no target. They are not displaced by others.
    cleared : OrderedDict of bytes to float
        Monotonic time in seconds until which each request is no suspect, since it was answered.
    on_held : list of callable
        Called with an identity and its record when the request is held.
    on_answered_here : list of callable
        Called with the identity of a held request that this VM's target has answered.
    refusal_count : int
        Number of requests that were refused because they are held.
    crash_count : int
        Number of crashes of this VM's target with requests running.
    """

    service_name = "quarantine"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.suspects: OrderedDict[bytes, CrashRecord] = OrderedDict()
        self.held: dict[bytes, CrashRecord] = {}
        self.cleared: OrderedDict[bytes, float] = OrderedDict()
        self.on_held: list[Callable[[bytes, CrashRecord], None]] = []
        self.on_answered_here: list[Callable[[bytes], None]] = []
        self.refusal_count = 0
        self.crash_count = 0

    def on_start(self) -> None:
        """Register for crashes of the target and for the messages of peers."""
        self.forget_timer = self.app.scheduler.create_work_timer(
            FORGET_INTERVAL_SECONDS, self.forget_outdated
        )
        detector: CrashDetector = self.app.find("crash_detector")
        detector.on_crash.append(self.on_crash)
        self.forwarder: Forwarder = self.app.find("hop")
        self.forwarder.message_handlers[CrashReport] = self.on_report
        self.forwarder.message_handlers[SuspectsCleared] = self.on_cleared

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    @property
    def active(self) -> bool:
        """Whether there is anything with which the identity of a request could be compared."""
        return bool(self.suspects or self.held)

    def crashes_of(self, identity: bytes) -> int:
        """Return the number of known crashes under a request; 0 if it is no suspect."""
        record = self.held.get(identity)
        if record is not None:
            return record.crashes
        record = self.suspects.get(identity)
        if record is None:
            return 0
        if self.is_outdated(record):
            del self.suspects[identity]
            return 0
        return record.crashes

    def is_outdated(self, record: CrashRecord) -> bool:
        """Return whether the last crash under a suspect was so long ago that it is forgotten."""
        return self.now - record.crashed_at > (HOLD_SECONDS[-1] if record.holds else SUSPECT_SECONDS)

    def forget_outdated(self) -> bool:
        """Forget outdated suspects; return whether any request is left to watch."""
        for identity, record in list(self.suspects.items()):
            if self.is_outdated(record):
                del self.suspects[identity]
        return self.active

    def hold_seconds(self, identity: bytes) -> float:
        """Return for how many seconds a request is still held; 0 if it may be sent.

        When its hold has ended, the request may be sent again, and the next crash renews the hold.
        """
        record = self.held.get(identity)
        if record is None:
            return 0.0
        left = record.held_until - self.now
        if left > 0.0:
            return left
        del self.held[identity]
        record.crashes = CRASHES_TO_QUARANTINE - 1
        self.add_suspect(identity, record)
        log_events.emit(events.QuarantineEnded(identity=identity.hex(), reason="expired", node=record.node))
        return 0.0

    def spare_seconds(self, identity: bytes, other_nodes: Collection[str]) -> float:
        """Return for how many seconds a suspect is kept from a target, as the last one that accepts requests.

        Without this, the third crash under a request may leave its service with no target.

        Parameters
        ----------
        other_nodes : collection of str
            Nodes beside the other targets of the service that accept requests.
        """
        record = self.suspects.get(identity)
        if record is None or record.crashes < CRASHES_TO_SPARE:
            return 0.0
        age = self.now - record.crashed_at
        crashed = record.node if age < ROW_DELAY_SECONDS else ""
        is_last = all(node == crashed for node in other_nodes)
        return max(0.0, SPARE_SECONDS - age) if is_last else 0.0

    def log_refusal(self, identity: bytes, attempt_id: str) -> None:
        """Count and log that a request is not sent because it is held."""
        self.refusal_count += 1
        record = self.held[identity]
        log_events.emit(
            events.PoisonRequestRefused(
                id=attempt_id,
                identity=identity.hex(),
                crashes=record.crashes,
                node=record.node,
                source=record.source,
                age_s=round(self.now - record.crashed_at, 3),
                left_s=round(record.held_until - self.now, 3),
            )
        )

    def on_crash(self, incarnation: str, suspects: list[Suspect]) -> None:
        """Count a crash of this VM's target, and tell the other nodes."""
        self.crash_count += 1
        reported = [suspect for suspect in suspects if not self.is_cleared(suspect.identity)]
        if not reported:
            return
        counts = tuple((suspect.identity, suspect.crashes) for suspect in reported[:MAX_REPORTED])
        self.forwarder.broadcast(CrashReport(self.settings.node, incarnation, counts))
        for identity, crashes in counts:
            self.merge(identity, crashes, self.settings.node, SOURCE_LOCAL)

    def on_report(self, report: CrashReport) -> None:
        """Count a crash of another node's target; object if a suspect was answered meanwhile."""
        answered = []
        for identity, crashes in report.suspects:
            if not self.is_cleared(identity):
                self.merge(identity, crashes, report.node, SOURCE_PEER)
            elif crashes >= CRASHES_TO_OBJECT:
                answered.append(identity)
        if answered:
            self.forwarder.send_message(
                report.node, SuspectsCleared(self.settings.node, tuple(answered), True)
            )

    def merge(self, identity: bytes, crashes: int, node: str, source: str) -> None:
        """Record the number of crashes under a request, and hold it if they are too many."""
        record = self.held.get(identity)
        if record is not None:
            record.crashes = max(record.crashes, crashes)
            return
        record = self.suspects.pop(identity, None) or CrashRecord()
        if crashes > record.crashes:
            record.crashes = crashes
            record.crashed_at, record.node, record.source = self.now, node, source
        if record.crashes < CRASHES_TO_QUARANTINE:
            self.add_suspect(identity, record)
        else:
            self.hold(identity, record)

    def add_suspect(self, identity: bytes, record: CrashRecord) -> None:
        """Add a request that may be sent, and forget the oldest suspect if there are too many."""
        self.suspects[identity] = record
        self.forget_timer.wake()
        if len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)

    def hold(self, identity: bytes, record: CrashRecord) -> None:
        """Hold a request, unless too many are held."""
        if len(self.held) >= MAX_HELD:
            record.crashes = CRASHES_TO_QUARANTINE - 1
            self.add_suspect(identity, record)
            log_events.emit(events.QuarantineFull(identity=identity.hex(), held=len(self.held)))
            return
        seconds = HOLD_SECONDS[min(record.holds, len(HOLD_SECONDS) - 1)]
        record.holds += 1
        record.held_until = self.now + seconds
        self.held[identity] = record
        log_events.emit(
            events.RequestQuarantined(
                identity=identity.hex(),
                crashes=record.crashes,
                node=record.node,
                source=record.source,
                seconds=seconds,
            )
        )
        for listener in self.on_held:
            listener(identity, record)

    def adopt(self, identity: bytes, node: str, source: str, holds: int = 0) -> None:
        """Hold a request because another node or the store says that it is held.

        Parameters
        ----------
        holds : int
            Number of times that it was held before.
        """
        if identity in self.held or self.is_cleared(identity):
            return
        record = self.suspects.pop(identity, None) or CrashRecord()
        record.crashes = CRASHES_TO_QUARANTINE
        record.crashed_at, record.node, record.source = self.now, node, source
        record.holds = max(record.holds, holds)
        self.hold(identity, record)

    def on_answered(self, identity: bytes, crashes: int = 0) -> None:
        """Clear a suspect that this VM's target has answered; tell the other nodes if it was close to a hold.

        Parameters
        ----------
        crashes : int
            Crashes under the request of which its sender knew.
        """
        record = self.held.get(identity) or self.suspects.get(identity)
        known = max(crashes, record.crashes if record is not None else 0)
        if not known:
            return
        if known >= CRASHES_TO_OBJECT:
            self.forwarder.broadcast(SuspectsCleared(self.settings.node, (identity,), False))
        was_held = record is not None and record.holds > 0
        self.clear(identity, "answered")
        for listener in self.on_answered_here if was_held else ():
            listener(identity)

    def on_cleared(self, message: SuspectsCleared) -> None:
        """Clear suspects that another node has seen answered."""
        known = tuple(
            identity for identity in message.identities if identity in self.held or identity in self.suspects
        )
        for identity in known:
            self.clear(identity, "answered elsewhere")
        if known and message.objection:
            # The objection is to a report of this node, which all nodes have.
            self.forwarder.broadcast(SuspectsCleared(self.settings.node, known, False))

    def release(self, identity: bytes) -> None:
        """End the hold of a request because the store says so."""
        if identity in self.held or identity in self.suspects:
            self.clear(identity, "released", RELEASED_SECONDS)

    def clear(self, identity: bytes, reason: str, seconds: float = CLEARED_SECONDS) -> None:
        """Forget the crashes under a request, and count none for some seconds."""
        self.cleared.pop(identity, None)
        self.cleared[identity] = self.now + seconds
        if len(self.cleared) > MAX_CLEARED:
            self.cleared.popitem(last=False)
        self.suspects.pop(identity, None)
        record = self.held.pop(identity, None)
        if record is not None:
            log_events.emit(events.QuarantineEnded(identity=identity.hex(), reason=reason, node=record.node))

    def is_cleared(self, identity: bytes) -> bool:
        """Return whether a request was answered a short time ago."""
        return self.now < self.cleared.get(identity, float("-inf"))
