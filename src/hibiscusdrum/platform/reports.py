"""HTTP endpoint for the target on this VM: the platform's heartbeat, decoded into the router's types."""

from __future__ import annotations

import re
from collections.abc import Callable
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
from hibiscusdrum.internal.router.range_owner import RangeOwner
from hibiscusdrum.internal.router.ring import Range
from hibiscusdrum.internal.router.routes import CONTROL_LIMITS, KEY_SPACE
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.unreadable import unreadable_entries
from hibiscusdrum.internal.transport.entry_request import EntryRequest

INSTANCES_PATH = "/instances/"
OK = 200
UNAVAILABLE = 503
JSON_HEADERS = [("content-type", "application/json")]
MAX_SLOTS = 1_000_000
MAX_WARMUP_SECONDS = 86_400.0
# The year 2100, in Unix milliseconds; a later start would make all true heartbeats count as outdated.
MAX_STARTED_MS = 4_102_444_800_000
# At most one heartbeat each 100 ms; a greater number would make all true heartbeats count as outdated.
MAX_SEQUENCE = 1 << 32
# The name is sent in a header of each request to the target.
TARGET_PATTERN = re.compile(r"[!-~]{1,200}")

Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
WarmupSeconds = Annotated[float, msgspec.Meta(ge=-MAX_WARMUP_SECONDS, le=MAX_WARMUP_SECONDS)]
StartedMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_STARTED_MS)]
Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
Key = Annotated[int, msgspec.Meta(ge=0, lt=KEY_SPACE)]


DRAINING_BY_STATE = {"ready": False, "draining": True}


class TargetInfo(msgspec.Struct, frozen=True):
    """Properties of a target that are constant for one incarnation."""

    service: Name
    slots: Slots
    zone: Name
    version: Name


class TargetStatus(msgspec.Struct, frozen=True):
    """State of a target; ``warmupS_time`` is the remaining warm-up time in seconds."""

    state: Text
    seq: Sequence
    warmupS_time: WarmupSeconds  # noqa: N815 - name on the wire

    def __post_init__(self) -> None:
        if self.state not in DRAINING_BY_STATE:
            raise ValueError(f"state: one of {sorted(DRAINING_BY_STATE)}")


HeldRanges = tuple[tuple[Key, Key, Whole], ...]
ReleasedRanges = tuple[tuple[Key, Key, Text], ...]


class WireHeartbeat(msgspec.Struct, frozen=True):
    """Body of a heartbeat as the target sends it.

    Despite its name, ``holdCount`` is a list of the ranges that the target holds, each as first key, last key
    and fencing token. ``released`` lists the ranges that it gave up, each as first key, last key and handover
    token. Both lists are missing where the service is not partitioned by key. ``born`` is the time at which
    the target started, in Unix milliseconds.
    """

    addr: AddressText
    info: TargetInfo
    status: TargetStatus
    born: StartedMs
    holdCount: HeldRanges | msgspec.UnsetType = msgspec.UNSET  # noqa: N815 - name on the wire
    released: ReleasedRanges | msgspec.UnsetType = msgspec.UNSET

    def __post_init__(self) -> None:
        check_address(self.addr, "addr")
        for name, ranges in (("holdCount", self.holdCount), ("released", self.released)):
            for first, last, _token in ranges or ():
                if first > last:
                    raise ValueError(f"{name}: ranges whose first key is not above the last")


class WireLeave(msgspec.Struct, frozen=True):
    """Body of the notice that a target is leaving; ``born`` as in a heartbeat."""

    born: StartedMs | msgspec.UnsetType = msgspec.UNSET


def decode_heartbeat(target: str, body: bytes, partitioned: bool = False) -> TargetHeartbeat:
    """Decode a heartbeat.

    Parameters
    ----------
    target : str
        Name of the target, from the path.
    body : bytes
    partitioned : bool
        Whether the service is partitioned by key. A heartbeat must then list the keys that the target holds:
        one without them would say that it holds none.

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
        for name in ("holdCount", "released") if partitioned else ():
            if getattr(heartbeat, name) is msgspec.UNSET:
                raise ValueError(f"{name}: a list, since the service is partitioned by key")
    return TargetHeartbeat(
        target=target,
        service=heartbeat.info.service,
        address=heartbeat.addr,
        slots=heartbeat.info.slots,
        draining=DRAINING_BY_STATE[heartbeat.status.state],
        sequence=heartbeat.status.seq,
        started_ms=heartbeat.born,
        cold_seconds=max(0.0, heartbeat.status.warmupS_time),
        failure_domain=heartbeat.info.zone,
        held=tuple(Range(first, last, fence) for first, last, fence in heartbeat.holdCount or ()),
        released=tuple(Range(first, last, 0, token) for first, last, token in heartbeat.released or ()),
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
        self.is_partitioned: Callable[[], bool] = lambda: False

    def on_start(self) -> None:
        """Listen on the target control address."""
        self.target: LocalTarget = self.app.find("local_target")
        range_owner: RangeOwner = self.app.find("range_owner")
        self.is_partitioned = lambda: bool(range_owner.partitioned)
        self.app.find("entry").listen(self.settings.target_control_address, self.on_request, CONTROL_LIMITS)

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
                    decode_heartbeat(target, request.body, self.is_partitioned()),
                    lambda grant: request.respond(OK, JSON_HEADERS, encode_grant(grant)),
                )
        except InvalidArgument as error:
            unreadable_entries.record(f"report of {excerpt(target)}", error)
            request.respond(400, JSON_HEADERS, msgspec.json.encode({"error": str(error)}))


def decode_leave(body: bytes) -> int:
    """Return the start time in Unix milliseconds that a leave notice gives; 0 if it gives none.

    Raises
    ------
    InvalidArgument
        If the body is malformed.
    """
    if not body:
        return 0
    return decode_json(body, WireLeave, "notice").born or 0
