"""Numbered log events, one class for each.

Each event is written as a JSON object on one line, by default to standard error. Fields hold nodes, slices,
revisions and counts; they never hold keys, bodies or other contents of a tenant's requests, because logs
leave the region.
"""

from __future__ import annotations

import datetime
import sys
import traceback
from typing import Any, Protocol

import msgspec
from loguru import logger

from hibiscusdrum.internal.clock import Clock, SystemClock
from hibiscusdrum.internal.log_base import LogEvent
from hibiscusdrum.internal.router import events as router_events

# Interval of the rate limit of events that other parties can cause. Without the limit, an unknown sender can
# fill the log at the rate of its messages.
RATE_LIMIT_INTERVAL_SECONDS = 1.0
# Innermost stack frames of an exception that are written with an internal error.
TRACEBACK_FRAMES = 8

_encoder = msgspec.json.Encoder()
_node = ""
_handler: int | None = None
_clock: Clock = SystemClock()
# For each rate limit key: start of the current interval, lines written in it, and events left out since the
# last line.
_rate_limits: dict[Any, tuple[float, int, int]] = {}


class Output(Protocol):
    """Destination of the log lines."""

    def write(self, text: str) -> Any:
        """Write a line without blocking for long."""


_output: Output | None = None


class Started(LogEvent, frozen=True):
    """The daemon listens on its addresses and has joined the cluster."""

    number = 101
    cause = "All services of the daemon have started."

    version: str
    region: str
    failure_domain: str
    service: str
    peer_address: str
    http_address: str


class Stopping(LogEvent, frozen=True):
    """A planned stop has begun; the node accepts no new requests."""

    number = 102
    cause = "A stop signal was received."

    reason: str
    in_flight: int


class Stopped(LogEvent, frozen=True):
    """The daemon has stopped."""

    number = 103
    cause = "The planned stop was completed, or its timeout expired."
    operator_action = "None when `slices_left` is 0; otherwise the guard takes the slices over."

    duration_ms: float
    slices_left: int
    in_flight: int


class StartFailed(LogEvent, frozen=True):
    """The daemon could not start and exits."""

    number = 104
    level = "ERROR"
    cause = "An address is in use, or a service failed to start."
    operator_action = "Correct the problem that `code` and `reason` describe, then start the daemon again."

    code: str
    reason: str


class DescriptorLimitKept(LogEvent, frozen=True):
    """The soft limit of file descriptors could not be raised to the hard limit."""

    number = 105
    level = "WARNING"
    cause = "The system refused to read or change the limit; the process works within the limit that it has."
    operator_action = "Start the process with a higher soft limit if it has many callers or peers."

    soft: int
    hard: int
    reason: str


class TargetAnnounced(LogEvent, frozen=True):
    """The target announced itself to the daemon."""

    number = 201
    cause = "A target process started or announced itself again."

    target: str
    incarnation: str


class TargetLost(LogEvent, frozen=True):
    """The target refuses connections; its slices are handed over."""

    number = 202
    level = "WARNING"
    cause = "The target process exited or stopped listening."
    operator_action = "Check the target process if it does not announce itself again within a minute."

    target: str
    reason: str


class TargetCold(LogEvent, frozen=True):
    """The target is as slow as a newly started one; its load is ramped up again."""

    number = 203
    level = "WARNING"
    cause = "Latency rose sharply without a rise in load, or the target's incarnation changed."
    operator_action = "None; examine the target if the event recurs without restarts."

    target: str
    latency_ms: float
    limit: float


class TargetEjected(LogEvent, frozen=True):
    """The target receives fewer requests that any target may serve, because it is slower than its peers."""

    number = 204
    level = "WARNING"
    cause = "Its latency exceeds that of the other targets of the ring by the ejection factor."
    operator_action = (
        "None; if the event recurs, check whether another workload on the host slows the VM down."
    )

    target: str
    latency_ms: float


class TargetReturned(LogEvent, frozen=True):
    """An ejected target receives its full share of requests again."""

    number = 205
    cause = "Its latency is back within the range of its peers."

    target: str
    latency_ms: float


class LeaseGrantedFirst(LogEvent, frozen=True):
    """The node's lease was granted for the first time; it may serve its keys."""

    number = 301
    cause = "The guard granted the first renewal."

    guard: str
    lease_version: int


class LeaseLost(LogEvent, frozen=True):
    """The lease expired; the node refuses requests for its keys."""

    number = 302
    level = "ERROR"
    cause = "No renewal was granted for a whole term: the daemon was paused, partitioned or taken over."
    operator_action = "Check the VM and its network if `lease_recovered` does not follow within 5 s."

    guard: str
    lease_version: int
    since_last_grant_ms: float


class LeaseRecovered(LogEvent, frozen=True):
    """The lease is valid again."""

    number = 303
    cause = "The guard granted a renewal after the lease had expired."

    guard: str
    lease_version: int
    lost_for_ms: float


class GuardChanged(LogEvent, frozen=True):
    """The node has another guard."""

    number = 304
    cause = "The former guard did not answer, is leaving, or was taken over."

    former: str
    guard: str
    lease_version: int


class SelfGuarded(LogEvent, frozen=True):
    """The node is its own guard; no other node may take it over."""

    number = 305
    level = "WARNING"
    cause = "No other node has a valid lease: this is the first node, or all leases expired together."
    operator_action = "If the node is lost in this state, confirm a `release_nodes` plan."

    lease_version: int


class TakeoverStarted(LogEvent, frozen=True):
    """The guard has started to take over a node."""

    number = 311
    level = "WARNING"
    cause = "The node did not renew its lease for one lease term plus the clock margin."

    taken_node: str
    lease_version: int


class TakeoverCommitted(LogEvent, frozen=True):
    """The node's slices have new owners."""

    number = 312
    level = "WARNING"
    cause = "The takeover transaction was committed."
    operator_action = "Check that the VM of `taken_node` is replaced."

    taken_node: str
    receivers: tuple[str, ...]
    slices: int
    duration_ms: float


class TakeoverConflict(LogEvent, frozen=True):
    """Rows changed during the takeover; the guard reads them again."""

    number = 313
    cause = "The node renewed its lease, changed its guard, or a receiver's row changed."

    taken_node: str
    keys: tuple[str, ...]


class HandoverCommitted(LogEvent, frozen=True):
    """Slices were moved to another node without interrupting service."""

    number = 321
    cause = "A planned move, rebalancing, or the node is leaving."

    receiver: str
    slices: int
    held_requests: int
    duration_ms: float


class HandoverFailed(LogEvent, frozen=True):
    """Slices could not be moved and stay with their owner; the move is retried."""

    number = 322
    level = "WARNING"
    cause = "The store refused or did not answer the transaction, or requests in flight did not complete."
    operator_action = "None; see `store_unavailable` if the event recurs."

    receiver: str
    slices: int
    code: str


class NodeJoined(LogEvent, frozen=True):
    """A node appeared in the table."""

    number = 331
    cause = "A daemon wrote its first lease and owner rows."

    joined: str
    service: str
    region: str
    failure_domain: str


class NodeLeft(LogEvent, frozen=True):
    """A node's rows were deleted."""

    number = 332
    cause = "The node stopped as planned or was taken over."

    left: str


class StoreUnavailable(LogEvent, frozen=True):
    """The table service does not answer; owners continue to serve, and no slices are moved."""

    number = 401
    level = "ERROR"
    cause = "The store is down, slow, or unreachable from this node."
    operator_action = "Inform the platform's operators. Postpone planned stops and confirmations of plans."

    operation: str
    reason: str


class StoreAvailable(LogEvent, frozen=True):
    """The table service answers again."""

    number = 402
    cause = "A store operation succeeded after an outage."

    outage_ms: float


class ConfigApplied(LogEvent, frozen=True):
    """A configuration revision is in force on this node."""

    number = 501
    cause = "A change arrived from a peer or from the table."

    revision: int
    former: int


class ConfigBehind(LogEvent, frozen=True):
    """The node lacks the base revision of a change and fetches the whole document."""

    number = 502
    cause = "A change was lost, or the node was paused or partitioned."
    operator_action = "Check the node's network if the event recurs for minutes."

    revision: int
    offered: int


class PlanCreated(LogEvent, frozen=True):
    """A plan was stored."""

    number = 511
    cause = "An operator submitted an intent."

    plan: str
    intent: str
    base_revision: int


class PlanConfirmed(LogEvent, frozen=True):
    """A plan was confirmed and its change committed."""

    number = 512
    cause = "An operator confirmed the plan."

    plan: str
    step: int
    revision: int


class PlanConflict(LogEvent, frozen=True):
    """A confirmation was refused because the configuration has changed since the plan was created."""

    number = 513
    level = "WARNING"
    cause = "Another operator confirmed a plan in the meantime."
    operator_action = "Read the history, then submit the intent again."

    plan: str
    base_revision: int
    current_revision: int


class ConfigAccepted(LogEvent, frozen=True):
    """A revision is acknowledged by every node that holds a lease."""

    number = 514
    cause = "The last acknowledgement arrived, or the node that had not acknowledged no longer has a lease."

    revision: int
    duration_ms: float


class InvalidFrame(LogEvent, frozen=True):
    """A message could not be decoded and was dropped."""

    number = 601
    level = "WARNING"
    rate_limited = True
    cause = "A caller or peer runs another version, or an unknown sender reached the port."
    operator_action = "Find the sender if the event recurs."

    party: str
    reason: str


class Unauthorized(LogEvent, frozen=True):
    """A control message or operator request without the correct shared key was refused."""

    number = 602
    level = "WARNING"
    rate_limited = True
    cause = "A daemon or client uses another shared key, or the sender is unknown."
    operator_action = "Compare the shared keys; find the sender if it is unknown."

    party: str


class PeerSocketFailed(LogEvent, frozen=True):
    """No socket could be opened for a connection to a peer, which counts as unreachable."""

    number = 606
    level = "WARNING"
    rate_limited = True
    cause = "The process has no free file descriptor, or its limit of sockets is reached."
    operator_action = "Raise the limit of file descriptors."

    address: str
    reason: str


class RequestRefusedRegion(LogEvent, frozen=True):
    """A request arrived outside its tenant's home regions and was not run."""

    number = 603
    level = "WARNING"
    rate_limited = True
    cause = "The caller uses daemons of a region outside the tenant's home regions."
    operator_action = "Give the caller addresses of daemons in the home regions."

    tenant: str
    regions: tuple[str, ...]


class BodyLimitReached(LogEvent, frozen=True):
    """A message body was given up, because this process would hold more bytes of bodies than it may."""

    number = 605
    level = "WARNING"
    rate_limited = True
    cause = (
        "A target sends bodies without end, many bodies are large, or callers do not read their responses."
    )
    operator_action = (
        "Check the target if `what` is a response; give the VM more memory if the bodies are needed."
    )

    what: str
    size: int
    held: int
    limit: int


class LinkBudgetSpent(LogEvent, frozen=True):
    """Requests to the other region are shed to stay within the link budget."""

    number = 604
    level = "WARNING"
    rate_limited = True
    cause = "Traffic between regions exceeds `cross_region_bytes_per_second`."
    operator_action = "Check where callers send their requests."

    bytes_per_second: float
    shed: int


class InternalError(LogEvent, frozen=True):
    """An unexpected error in the program; the event loop continues.

    ``message`` is the text of the logging call, ``error`` the type of the exception, and ``location`` its
    stack frames. The text of the exception is not written, since it may quote request contents.
    """

    number = 901
    level = "ERROR"
    rate_limited = True
    cause = "A programming error."
    operator_action = "Report a bug and include this line."

    message: str
    error: str
    location: tuple[str, ...]

    def rate_limit_key(self) -> Any:
        """Limit each location separately, so that a frequent error does not hide another one."""
        return self.location


EVENTS: tuple[type[LogEvent], ...] = tuple(LogEvent.__subclasses__())
assert set(EVENTS) >= router_events.EVENTS
for _event in EVENTS:
    # msgspec collects the fields only after ``__init_subclass__`` has run, so they cannot be set there.
    _event.fields = _event.__struct_fields__


def configure(node: str, level: str, clock: Clock | None = None, output: Output | None = None) -> None:
    """Write events of ``level`` and above to an output.

    Messages logged through loguru without ``emit`` are written as ``internal_error``.

    Parameters
    ----------
    node : str
        Node named in each line.
    level : str
        Lowest level that is written.
    clock : Clock, optional
        Clock of the rate limit; the system clock by default.
    output : Output, optional
        Destination of the lines; standard error by default.
    """
    global _node, _handler, _clock, _output
    _node = node
    _output = output
    _clock = clock or SystemClock()
    _rate_limits.clear()
    logger.remove(_handler)
    _handler = logger.add(_write, level=level, format="{message}", catch=False)


def emit(event: LogEvent) -> None:
    """Write one event unless its rate limit is reached."""
    left_out = _check_rate_limit(event)
    if left_out is not None:
        logger.bind(event=event, left_out=left_out).log(event.level, event.event_name())


def _check_rate_limit(event: LogEvent) -> int | None:
    """Return the number of events left out since the last line, or None if this one is left out too."""
    if not event.rate_limited:
        return 0
    key, now = event.rate_limit_key(), _clock.monotonic()
    interval_start, written, left_out = _rate_limits.get(key, (float("-inf"), 0, 0))
    if now - interval_start >= RATE_LIMIT_INTERVAL_SECONDS:
        interval_start, written = now, 0
    if written >= event.lines_per_interval:
        _rate_limits[key] = (interval_start, written, left_out + 1)
        return None
    _rate_limits[key] = (interval_start, written + 1, 0)
    return left_out


def _write(message: Any) -> None:
    record = message.record
    event, left_out = record["extra"].get("event"), record["extra"].get("left_out")
    if event is None:
        event = _internal_error(record)
        left_out = _check_rate_limit(event)
    if left_out is not None:
        (_output or sys.stderr).write(_line(event, record, left_out) + "\n")


def _line(event: LogEvent, record: Any, left_out: int) -> str:
    line = {
        "time": record["time"].astimezone(datetime.UTC).isoformat(timespec="milliseconds"),
        "number": event.number,
        "name": event.event_name(),
        "level": record["level"].name,
        "node": _node,
        "fields": {name: getattr(event, name) for name in event.fields},
    }
    return _encoder.encode({**line, "left_out": left_out} if left_out else line).decode()


def _internal_error(record: Any) -> InternalError:
    exception = record["exception"]
    if exception is None or exception.type is None:
        call_site = f"{record['file'].name}:{record['line']} {record['function']}"
        return InternalError(message=record["message"], error="", location=(call_site,))
    frames = traceback.extract_tb(exception.traceback)[-TRACEBACK_FRAMES:]
    location = tuple(f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames)
    return InternalError(message=record["message"], error=exception.type.__name__, location=location)


def describe() -> str:
    """Return the contents of ``docs/events.md``."""
    lines = [
        "# Log events",
        "",
        "<!-- Generated by `python -m hibiscusdrum.internal.log_events`; do not edit. -->",
        "",
        "Each event is written as a JSON object on one line: by `hibiscusdrumd` to standard error, by the",
        "router of HTTP callers to standard output. Its members are `time` (UTC),",
        "`number`, `name`, `level`, `node` and `fields`. Keys, bodies and other request",
        "contents are never written. Events marked *limited to n* are written at most n times in",
        f"{RATE_LIMIT_INTERVAL_SECONDS:g} s; the member `left_out` of the next line counts those left out.",
        "",
        "| number | name | level | fields | meaning | cause | operator action |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [_table_row(event) for event in sorted(EVENTS, key=lambda event: event.number)]
    return "\n".join(lines) + "\n"


def _table_row(event: type[LogEvent]) -> str:
    fields = ", ".join(f"`{field}`" for field in event.fields) or "-"
    meaning = (event.__doc__ or "").strip().splitlines()[0]
    cells = (
        str(event.number),
        f"`{event.event_name()}`",
        event.level + (f", limited to {event.lines_per_interval}" if event.rate_limited else ""),
        fields,
        meaning,
        event.cause,
        event.operator_action,
    )
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    print(describe(), end="")
