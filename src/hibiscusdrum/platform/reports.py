"""HTTP endpoint for the target on this VM: the platform's heartbeat, decoded into the router's types."""

from __future__ import annotations

import re
from typing import Annotated
from urllib.parse import unquote

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.decoding import (
    AddressText,
    Name,
    Text,
    Whole,
    check_address,
    decode_json,
    excerpt,
    refusing_malformed,
)
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router.local_target import Grant, LocalTarget, TargetHeartbeat
from hibiscusdrum.internal.router.ring import Range
from hibiscusdrum.internal.router.routes import KEY_SPACE
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.unreadable import unreadable_entries
from hibiscusdrum.internal.transport.entry_connection import EntryRequest

INSTANCES_PATH = "/instances/"
OK = 200
UNAVAILABLE = 503
JSON_HEADERS = [("content-type", "application/json")]
MAX_SLOTS = 1_000_000
MAX_WARMUP_SECONDS = 86_400.0
# The name is sent in a header of each request to the target.
TARGET_PATTERN = re.compile(r"[!-~]{1,200}")

Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
WarmupSeconds = Annotated[float, msgspec.Meta(ge=-MAX_WARMUP_SECONDS, le=MAX_WARMUP_SECONDS)]
Key = Annotated[int, msgspec.Meta(ge=0, lt=KEY_SPACE)]


class TargetInfo(msgspec.Struct, frozen=True):
    """Properties of a target that are constant for one incarnation."""

    service: Name
    slots: Slots
    zone: Text = ""
    version: Text = ""


class TargetStatus(msgspec.Struct, frozen=True):
    """State of a target; ``warmupS_time`` is the remaining warm-up time in seconds."""

    state: Text
    seq: Whole
    warmupS_time: WarmupSeconds = 0.0  # noqa: N815 - name on the wire


class WireHeartbeat(msgspec.Struct, frozen=True):
    """Body of a heartbeat as the target sends it.

    Despite its name, ``holdCount`` is a list of the ranges that the target holds, each as first key, last key
    and fencing token. ``released`` lists the ranges that it gave up, each as first key, last key and handover
    token. ``born`` is the time at which the target started, in Unix milliseconds.
    """

    addr: AddressText
    info: TargetInfo
    status: TargetStatus
    born: Whole = 0
    holdCount: tuple[tuple[Key, Key, Whole], ...] = ()  # noqa: N815 - name on the wire
    released: tuple[tuple[Key, Key, Text], ...] = ()

    def __post_init__(self) -> None:
        check_address(self.addr, "addr")
        for first, last, _token in (*self.holdCount, *self.released):
            if first > last:
                raise ValueError(f"ranges whose first key is not above the last, got {first} to {last}")


class WireLeave(msgspec.Struct, frozen=True):
    """Body of the notice that a target is leaving; ``born`` as in a heartbeat."""

    born: Whole = 0


DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_heartbeat(target: str, body: bytes) -> TargetHeartbeat:
    """Decode a heartbeat.

    Raises
    ------
    InvalidArgument
        If a field is missing, of the wrong type or out of range, the state is unknown, or the name of the
        target cannot be sent in a header.
    """
    if not TARGET_PATTERN.fullmatch(target):
        raise InvalidArgument(name="target", value=excerpt(target), expected=TARGET_PATTERN.pattern)
    with refusing_malformed("report", body):
        heartbeat = msgspec.json.decode(body, type=WireHeartbeat)
        draining = DRAINING_BY_STATE[heartbeat.status.state]
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
    """Encode the answer to a heartbeat: all granted ranges and their duration, or nothing to renew."""
    if grant is None:
        return b"{}"
    ranges = [[entry.first, entry.last, entry.fencing_token, entry.handover_token] for entry in grant.ranges]
    # Truncated to milliseconds rather than rounded: the grant must not outlast the lease.
    return msgspec.json.encode({"holdCount": ranges, "holdS": int(grant.seconds * 1000) / 1000})


class ReportEndpoint(Service):
    """Serves the address to which the target sends its heartbeats."""

    service_name = "reports"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings

    def on_start(self) -> None:
        """Listen on the target control address."""
        self.target: LocalTarget = self.app.find("local_target")
        self.app.find("entry").listen(self.settings.target_control_address, self.on_request)

    def on_request(self, request: EntryRequest) -> None:
        """Handle a heartbeat (``PUT``) or the notice that the target is leaving (``DELETE``)."""
        path = request.target.partition("?")[0]
        if not path.startswith(INSTANCES_PATH) or request.method not in (b"PUT", b"DELETE"):
            request.respond(404, JSON_HEADERS, b"{}")
            return
        target = unquote(path[len(INSTANCES_PATH) :])
        try:
            if request.method == b"DELETE":
                self.target.on_leave(
                    target,
                    decode_leave(request.body),
                    lambda acknowledged: request.respond(
                        OK if acknowledged else UNAVAILABLE, JSON_HEADERS, b"{}"
                    ),
                )
            else:
                self.target.on_heartbeat(
                    decode_heartbeat(target, request.body),
                    lambda grant: request.respond(OK, JSON_HEADERS, encode_grant(grant)),
                )
        except InvalidArgument as error:
            unreadable_entries.record(f"report of {excerpt(target)}", error)
            request.respond(400, JSON_HEADERS, b"{}")


def decode_leave(body: bytes) -> int:
    """Return the start time in Unix milliseconds that a leave notice gives; 0 if it gives none.

    Raises
    ------
    InvalidArgument
        If the body is malformed.
    """
    if not body:
        return 0
    return decode_json(body, WireLeave, "notice").born
