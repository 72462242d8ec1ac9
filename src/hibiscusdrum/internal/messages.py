"""Messages between hibiscusdrum processes.

Request messages travel between callers and daemons and between daemons; control messages only between
daemons, signed with the shared key. Bodies travel in a frame of their own and are never decoded here.
"""

from __future__ import annotations

from typing import Any

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; the class name is the tag on the wire."""


class Call(Message, frozen=True, array_like=True, tag=True):
    """A request to a service.

    Attributes
    ----------
    request_id : bytes
        16 bytes of a UUIDv7 made by the caller.
    timeout_ms : float
        Time left when the message was sent; absolute times of other VMs are not comparable.
    attempt : int
        1 for the first attempt; 0 when the sender does not know.
    forwarded : bool
        Whether a daemon passed the call on; a forwarded call is not forwarded again.
    """

    request_id: bytes
    tenant: str
    service: str
    request_class: str
    key: bytes
    method: str
    path: str
    timeout_ms: float
    idempotent: bool
    attempt: int = 1
    forwarded: bool = False
    content_type: str = "application/octet-stream"


class Cancel(Message, frozen=True, array_like=True, tag=True):
    """The caller no longer waits for a request, for example after a hedge won."""

    request_id: bytes


class Reply(Message, frozen=True, array_like=True, tag=True):
    """The answer of the target; the body frame has exactly ``length`` bytes."""

    request_id: bytes
    status: int
    content_type: str
    length: int
    target: str
    epoch: int


class Refusal(Message, frozen=True, array_like=True, tag=True):
    """A typed failure; ``code`` and ``values`` rebuild the error, ``node`` is the refusing daemon's."""

    request_id: bytes
    code: str
    values: dict[str, Any]
    node: str = ""


class MapRequest(Message, frozen=True, array_like=True, tag=True):
    """Asks for ownership rows and configuration written after a table sequence number."""

    nonce: int
    since: int


class MapReply(Message, frozen=True, array_like=True, tag=True):
    """Rows written after the requested sequence number: (key, version, value or None when deleted)."""

    nonce: int
    seq: int
    rows: tuple[tuple[str, int, Any], ...]


class Forward(Message, frozen=True, array_like=True, tag=True):
    """A request on its way from the caller's VM to the VM of the chosen target.

    Attributes
    ----------
    id : bytes
        Unique among the requests of the sender.
    sent_at : float
        Steady clock of the sender in seconds; comparable only with other messages of this sender.
    remaining_seconds, goal_remaining_seconds : float
        Seconds until the caller's deadline, and until its answer counts as late, when the message was sent.
    key : int
        Key of a partitioned service, or -1.
    cost_class : str
        Requests of one class take about the same time.
    caller : str
        Service of the VM on which the request began.
    only_if_free : bool
        Whether the receiver declines the request when its target has no free slot.
    offered_bytes : int
        Size of a large body, which follows when the receiver asks for it; 0 when the body is sent along.
    """

    id: bytes
    origin: str
    sent_at: float
    remaining_seconds: float
    goal_remaining_seconds: float
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    attempt_id: str
    key: int
    priority: int
    repeatable: bool
    cost_class: str
    caller: str
    only_if_free: bool = False
    offered_bytes: int = 0


class SendBody(Message, frozen=True, array_like=True, tag=True):
    """The receiver of a request asks for a part of its large body.

    Attributes
    ----------
    first, count : int
        First byte and number of bytes.
    """

    id: bytes
    first: int
    count: int


class Body(Message, frozen=True, array_like=True, tag=True):
    """A part of the large body of a request, which travels in its own frame.

    Attributes
    ----------
    first : int
        Position of its first byte.
    """

    id: bytes
    first: int


class Answered(Message, frozen=True, array_like=True, tag=True):
    """The target's answer to a forwarded request; the body travels in its own frame.

    Attributes
    ----------
    load : tuple
        Load of the target: running, queued, slots, mean service time in seconds, accepting.
    held_seconds : float
        Seconds from the arrival of the request at the target's node to the answer.
    """

    id: bytes
    status: int
    headers: tuple[tuple[str, str], ...]
    load: tuple[int, int, int, float, bool]
    held_seconds: float = 0.0


class Declined(Message, frozen=True, array_like=True, tag=True):
    """A forwarded request has no answer.

    Attributes
    ----------
    reason : str
        A code, not text for people.
    may_have_run : bool
        False only if the request has certainly not run and will not.
    arrived : bool
        Whether the target got it.
    retry_after : float
        Seconds after which there is room again; 0 when not known.
    owner : str
        Node that owns the request's key as far as this one knows; empty when it does not.
    """

    id: bytes
    reason: str
    may_have_run: bool
    arrived: bool
    retry_after: float
    load: tuple[int, int, int, float, bool]
    owner: str = ""


class Ping(Message, frozen=True, array_like=True, tag=True):
    """Asks a peer whether it lives; answered at once.

    Attributes
    ----------
    sent_at : float
        Seconds on the sender's steady clock, which starts anew with its VM.
    process : bytes
        Names the sender's process, as the ids of its requests begin.
    """

    origin: str
    sent_at: float
    process: bytes = b""


class Pong(Message, frozen=True, array_like=True, tag=True):
    """The answer to a ping; the incarnation differs after each start of the peer's process.

    Attributes
    ----------
    sent_at : float
        Time of the ping on the asker's clock, in seconds.
    uptime_seconds : float
        Seconds since the peer's process began to listen.
    """

    node: str
    incarnation: str
    sent_at: float
    load: tuple[int, int, int, float, bool]
    uptime_seconds: float = 0.0


class RenewLease(Message, frozen=True, array_like=True, tag=True):
    """An owner asks its guard for a grant under a version of its lease row."""

    node: str
    incarnation: str
    lease_version: int
    nonce: int
    revision: int
    table_seq: int


class LeaseGranted(Message, frozen=True, array_like=True, tag=True):
    """The guard's grant for the renewal with the same nonce."""

    guard: str
    node: str
    lease_version: int
    nonce: int
    revision: int
    table_seq: int


class LeaseRefused(Message, frozen=True, array_like=True, tag=True):
    """The guard does not grant; ``reason`` is a code, not text for people."""

    guard: str
    node: str
    lease_version: int
    nonce: int
    reason: str


class RowsChanged(Message, frozen=True, array_like=True, tag=True):
    """Rows that the sender has just committed, so that peers need not wait for their next table read."""

    node: str
    seq: int
    rows: tuple[tuple[str, int, Any], ...]


class ConfigChange(Message, frozen=True, array_like=True, tag=True):
    """A configuration revision, either as a change on ``base_revision`` or, with base 0, as a document."""

    node: str
    revision: int
    base_revision: int
    content: Any


class ConfigAck(Message, frozen=True, array_like=True, tag=True):
    """The sender has put ``revision`` in force."""

    node: str
    revision: int


class ConfigRequest(Message, frozen=True, array_like=True, tag=True):
    """The sender is behind and asks for the receiver's configuration document."""

    node: str
    revision: int


ControlMessage = (
    RenewLease | LeaseGranted | LeaseRefused | RowsChanged | ConfigChange | ConfigAck | ConfigRequest
)
RequestMessage = (
    Call
    | Cancel
    | Reply
    | Refusal
    | MapRequest
    | MapReply
    | Forward
    | SendBody
    | Body
    | Answered
    | Declined
    | Ping
    | Pong
)
