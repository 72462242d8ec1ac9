"""Records that make up a history, with times in seconds on the machine's monotonic clock.

All processes of a history run on one machine, so this clock orders their records. Targets record
nanoseconds of the same clock.
"""

from __future__ import annotations

from typing import Literal

import msgspec

Outcome = Literal["ok", "not_run", "unknown"]
# After a "loss", keys must be served again within 5 s. "pause", "store" and "cut" are faults without such a
# bound: a suspended process, a store outage and a network partition. "stop" is a planned stop of a daemon,
# "drain" takes a failure domain out of service, and "leave" removes a target.
EventKind = Literal["loss", "pause", "store", "cut", "stop", "drain", "leave"]
UNPLANNED_EVENT_KINDS: frozenset[str] = frozenset({"loss", "pause", "store", "cut"})


class Load(msgspec.Struct, frozen=True):
    """Load that a caller process generates.

    Attributes
    ----------
    keys : int
        Number of keys, requested round-robin.
    rate : float
        Requests per second, independent of the answers to earlier ones (open loop).
    seconds : float
        Time after which the caller stops sending.
    non_idempotent : float
        Share of requests that may run at most once.
    """

    caller: str
    seeds: tuple[str, ...]
    region: str
    tenant: str
    service: str
    record: str
    keys: int = 24
    rate: float = 60.0
    seconds: float = 60.0
    timeout: float = 2.0
    non_idempotent: float = 0.5
    seed: int = 1


class Operation(msgspec.Struct, frozen=True):
    """One request and its outcome as its caller observed it.

    Attributes
    ----------
    request_id : str
        Identifier in lower-case hexadecimal without dashes.
    key : bytes
        The key, unique within the service.
    answer, length : str, int
        Digest and length of the answer's body; empty and 0 without an answer.
    error : str
        Code of the typed error; empty when the outcome is "ok".
    markers : tuple of str
        Strings of the key and body that may appear in no log, metric or store of any process.
    """

    request_id: str
    caller: str
    tenant: str
    service: str
    key: bytes
    idempotent: bool
    invoked: float
    completed: float
    outcome: Outcome
    target: str = ""
    epoch: int = 0
    answer: str = ""
    length: int = 0
    error: str = ""
    markers: tuple[str, ...] = ()


class Effect(msgspec.Struct, frozen=True):
    """One execution of a request as the target recorded it.

    Attributes
    ----------
    target : str
        Node name of the target.
    started, ended : float
        Start and end of the execution.
    answer, length : str, int
        Digest and length of the answer body that the target must send.
    """

    request_id: str
    target: str
    service: str
    key: bytes
    epoch: int
    started: float
    ended: float
    answer: str
    length: int


class Placement(msgspec.Struct, frozen=True):
    """Region and failure domain of a node."""

    node: str
    region: str
    failure_domain: str


class Event(msgspec.Struct, frozen=True):
    """An injected fault or a planned change, from its start until it is reverted."""

    kind: EventKind
    at: float
    until: float = float("inf")
    nodes: tuple[str, ...] = ()
    failure_domain: str = ""


class OwnershipView(msgspec.Struct, frozen=True):
    """The acknowledged rows of one ring, read from the table in one request."""

    at: float
    service: str
    region: str
    slice_count: int
    owners: dict[str, tuple[int, ...]]
    unowned: tuple[int, ...] = ()


class RevisionObserved(msgspec.Struct, frozen=True):
    """Configuration revision that a process had applied at one time.

    Attributes
    ----------
    process : str
        Identifier unique to each start of a node, since a new process begins without a revision.
    serving : bool
        Whether the process held a valid lease; only then must it have applied the accepted revisions.
    """

    process: str
    at: float
    revision: int
    serving: bool = True


class RevisionAccepted(msgspec.Struct, frozen=True):
    """A configuration revision and the time at which its confirmation was accepted."""

    revision: int
    at: float


class History(msgspec.Struct, frozen=True):
    """All records of one run.

    Attributes
    ----------
    home_regions : dict of str to tuple of str
        Home regions of the tenants that have them.
    partitioned : tuple of str
        Services partitioned by key; in others only non-idempotent requests need the owner.
    outputs : dict of str to str
        Contents of logs, metrics and stores of the processes, by source.
    """

    operations: tuple[Operation, ...] = ()
    effects: tuple[Effect, ...] = ()
    placements: tuple[Placement, ...] = ()
    events: tuple[Event, ...] = ()
    ownership: tuple[OwnershipView, ...] = ()
    observed_revisions: tuple[RevisionObserved, ...] = ()
    accepted_revisions: tuple[RevisionAccepted, ...] = ()
    home_regions: dict[str, tuple[str, ...]] = {}
    partitioned: tuple[str, ...] = ()
    outputs: dict[str, str] = {}
