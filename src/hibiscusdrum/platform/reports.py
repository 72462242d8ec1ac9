"""Reports of the target on this VM: the platform's heartbeat, decoded into the router's types."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.local_target import Grant, LocalTarget, TargetHeartbeat
from hibiscusdrum.internal.router.ring import Range
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.transport.entry_connection import EntryRequest

INSTANCES_PATH = "/instances/"
JSON_HEADERS = [("content-type", "application/json")]


class TargetInfo(msgspec.Struct, frozen=True):
    """What does not change during one start of a target."""

    service: str
    slots: int
    zone: str = ""
    version: str = ""


class TargetStatus(msgspec.Struct, frozen=True):
    """What changes; ``warmupS_time`` is how long the target stays cold from now on, in seconds."""

    state: str
    seq: int
    warmupS_time: float = 0.0  # noqa: N815 - name on the wire


class WireHeartbeat(msgspec.Struct, frozen=True):
    """A report on the wire.

    ``holdCount`` lists ranges, not a number: first key, last key, fencing token. ``released`` lists first
    key, last key, handover token. ``born`` is the start in Unix milliseconds.
    """

    addr: str
    info: TargetInfo
    status: TargetStatus
    born: int = 0
    holdCount: tuple[tuple[int, int, int], ...] = ()  # noqa: N815 - name on the wire
    released: tuple[tuple[int, int, str], ...] = ()


class WireLeave(msgspec.Struct, frozen=True):
    """The body of a target's notice that it leaves."""

    born: int = 0


DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_heartbeat(target: str, body: bytes) -> TargetHeartbeat:
    """Translate a report.

    Raises
    ------
    InvalidArgument
        If fields are missing, of another type, or the state is unknown.
    """
    try:
        heartbeat = msgspec.json.decode(body, type=WireHeartbeat)
        draining = DRAINING_BY_STATE[heartbeat.status.state]
    except (msgspec.DecodeError, KeyError, UnicodeDecodeError) as error:
        raise InvalidArgument(name="report", value=body[:64], expected=str(error)) from error
    return TargetHeartbeat(
        target=target,
        service=heartbeat.info.service,
        address=heartbeat.addr,
        slots=heartbeat.info.slots,
        draining=draining,
        sequence=heartbeat.status.seq,
        started_ms=heartbeat.born,
        cold_seconds=max(0.0, heartbeat.status.warmupS_time),
        failure_domain=heartbeat.info.zone,
        held=tuple(Range(first, last, fence) for first, last, fence in heartbeat.holdCount),
        released=tuple(Range(first, last, 0, token) for first, last, token in heartbeat.released),
    )


def encode_grant(grant: Grant | None) -> bytes:
    """Return the answer to a report: nothing to renew, or all ranges with the seconds of the hold."""
    if grant is None:
        return b"{}"
    ranges = [[entry.first, entry.last, entry.fencing_token, entry.handover_token] for entry in grant.ranges]
    # ``holdS`` must end no later than the lease, so it is cut, not rounded.
    return msgspec.json.encode({"holdCount": ranges, "holdS": int(grant.seconds * 1000) / 1000})


class ReportEndpoint(Service):
    """Serves the address to which the target reports."""

    service_name = "reports"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings

    def on_start(self) -> None:
        """Listen for the target."""
        self.target: LocalTarget = self.app.find("local_target")
        self.app.find("entry").listen(self.settings.target_control_address, self.on_request)

    def on_request(self, request: EntryRequest) -> None:
        """Take a report or a notice that the target leaves."""
        path = request.target.partition("?")[0]
        if not path.startswith(INSTANCES_PATH) or request.method not in (b"PUT", b"DELETE"):
            request.respond(404, JSON_HEADERS, b"{}")
            return
        target = unquote(path[len(INSTANCES_PATH) :])
        try:
            if request.method == b"DELETE":
                self.target.on_leave(target, decode_leave(request.body))
                request.respond(200, JSON_HEADERS, b"{}")
            else:
                self.target.on_heartbeat(
                    decode_heartbeat(target, request.body),
                    lambda grant: request.respond(200, JSON_HEADERS, encode_grant(grant)),
                )
        except InvalidArgument as error:
            log_events.emit(events.RowUnreadable(what="report", reason=str(error)[:200]))
            request.respond(400, JSON_HEADERS, b"{}")


def decode_leave(body: bytes) -> int:
    """Return the start, in Unix milliseconds, of the target that leaves; 0 when it does not say."""
    if not body:
        return 0
    try:
        return msgspec.json.decode(body, type=WireLeave).born
    except msgspec.DecodeError as error:
        raise InvalidArgument(name="notice", value=body[:64], expected=str(error)) from error
