"""Numbered log events of the router; ``log_events`` writes them."""

from __future__ import annotations

from hibiscusdrum.internal.log_base import LogEvent


class ReportOutdated(LogEvent, frozen=True):
    """A report of the target was overtaken by a later one, or is from an earlier start."""

    number = 801
    level = "DEBUG"
    limited = True
    lines = 20
    cause = "A report was held up on its way."

    target: str
    life: str
    sequence: int


class TargetChanged(LogEvent, frozen=True):
    """The target appeared, started anew, or drains."""

    number = 802
    cause = "A report of the target, or its notice that it leaves."

    target: str
    life: str
    state: str


class TargetGone(LogEvent, frozen=True):
    """The target neither reports nor answers, or nobody listens at its address."""

    number = 803
    level = "WARNING"
    cause = "The target's process has ended or hangs."
    operator_action = "Check the target if it does not come back."

    target: str
    reason: str


class NodePublished(LogEvent, frozen=True):
    """The row of this node was written."""

    number = 804
    cause = "The target appeared, started anew, drains or has gone."

    life: str
    accepting: bool
    version: int


class EvacuationChanged(LogEvent, frozen=True):
    """The failure domains that are to get nothing have changed."""

    number = 805
    cause = "An operator's request."

    failure_domains: tuple[str, ...]


class StoreLost(LogEvent, frozen=True):
    """The store does not answer."""

    number = 806
    level = "WARNING"
    cause = "The store is down, or this VM is cut off from it."
    operator_action = "Check the store and the network."

    operation: str
    reason: str
    version: int


class StoreRegained(LogEvent, frozen=True):
    """The store answers again."""

    number = 807
    cause = "The store or the network has recovered."

    operation: str
    version: int


class KeysGranted(LogEvent, frozen=True):
    """The target was given keys that it did not hold."""

    number = 808
    cause = "A change of the ring, a new start of the target, or a lapse of its hold."

    stripes: int
    version: int
    hold_s: float


class LeaseNotRenewed(LogEvent, frozen=True):
    """A write of this node's lease failed."""

    number = 809
    level = "WARNING"
    limited = True
    lines = 5
    cause = "The store is away, or its answer was lost."
    operator_action = "Check the store if `left_s` falls to 0."

    reason: str
    version: int
    left_s: float


class LeaseTaken(LogEvent, frozen=True):
    """The lease of this node was removed by another one."""

    number = 810
    level = "WARNING"
    cause = "This node could not renew its lease for a whole term."
    operator_action = "Find out why the node was cut off."

    version: int


class OwnersGone(LogEvent, frozen=True):
    """Leases of other nodes have ended; their keys are given to others."""

    number = 811
    level = "WARNING"
    cause = "The nodes are lost or cut off from the store."
    operator_action = "Replace the VMs if they do not come back."

    nodes: tuple[str, ...]
    stripes: int
    unowned: int
    store_time_s: float


class HandoverBegun(LogEvent, frozen=True):
    """The node begins to hand stripes to owners that have fewer."""

    number = 812
    cause = "A target has joined."

    stripes: int


class RingChanged(LogEvent, frozen=True):
    """A change of the ring was tried."""

    number = 813
    cause = "`reason` tells why; `outcome` is `written` or the failure."

    reason: str
    stripes: int
    base_version: int
    fence: int
    outcome: str


class PeerLost(LogEvent, frozen=True):
    """A peer with requests of this node is unreachable; they are given up here."""

    number = 814
    level = "WARNING"
    cause = "The peer's process or VM is lost, or the network is cut."
    operator_action = "Check the VM if `peer_regained` does not follow."

    peer: str
    reason: str
    silence_s: float
    outstanding: int


class LinkCongested(LogEvent, frozen=True):
    """Messages from the same region were held up; others are asked to send elsewhere for a while."""

    number = 825
    level = "WARNING"
    cause = "The link of this VM is full, for example with large bodies."
    operator_action = "None for short times; else give the VM a faster link or add targets."

    peer: str
    delay_s: float


class TrafficSummary(LogEvent, frozen=True):
    """Bytes and calls exchanged with nodes and the store, and the longest delays, since the last summary."""

    number = 826
    cause = "Written at intervals."

    seconds: float
    bytes: dict[str, int]
    calls: dict[str, int]
    longest_delay_own_s: float
    longest_delay_other_s: float


class PeerRegained(LogEvent, frozen=True):
    """A peer answers again."""

    number = 815
    cause = "The peer or the network has recovered."

    peer: str
    incarnation: str


class RequestDeclined(LogEvent, frozen=True):
    """A request was not passed to the target, or has no answer of it.

    ``full`` names what had no room for a request that others can serve: the target's slots, bodies that are
    awaited, or the link.
    """

    number = 816
    limited = True
    lines = 100
    cause = "`reason` tells why."
    operator_action = "See OPERATIONS.md."

    id: str
    origin: str
    reason: str
    left_s: float
    running: int
    queued: int
    wait_s: float
    full: str = ""


class RequestRun(LogEvent, frozen=True):
    """The target answered a request."""

    number = 817
    limited = True
    lines = 100
    cause = "A request."

    id: str
    origin: str
    target: str
    status: int
    queued_ms: int
    ran_ms: int


class RequestEnded(LogEvent, frozen=True):
    """A caller's request has its final answer; status 499 means that the caller left.

    ``before_ms`` is the time until the last try began, ``path_ms`` what that try spent on the way to the
    target's node and back; both are part of ``took_ms``. ``limit_ms`` is the caller's time limit on
    arrival, and ``waited_ms`` how long it seems to have waited before, because it came back after a refusal.
    """

    number = 818
    limited = True
    lines = 100
    cause = "A request."
    operator_action = "See OPERATIONS.md."

    id: str
    route: str
    service: str
    status: int
    reason: str
    node: str
    asked: tuple[str, ...]
    took_ms: int
    version: int
    before_ms: int = 0
    path_ms: int = 0
    limit_ms: int = 0
    waited_ms: int = 0


class RequestRepeated(LogEvent, frozen=True):
    """A request is sent to another target."""

    number = 819
    limited = True
    lines = 50
    cause = "The first target failed it, or its answer was lost."

    id: str
    reason: str
    node: str
    arrivals: int
    left_s: float


class RoutesInForce(LogEvent, frozen=True):
    """A configuration is in force on this node."""

    number = 820
    cause = "An operator's change."

    version: int
    former: int
    routes: int


class ReloadAsked(LogEvent, frozen=True):
    """The process was told that its settings file has changed."""

    number = 821
    cause = "SIGHUP."
    operator_action = "Restart the process for the settings to apply."

    version: int


class RouterStarted(LogEvent, frozen=True):
    """The router listens on its addresses."""

    number = 822
    cause = "The process was started."

    version: str
    service: str
    failure_domain: str
    caller_address: str
    peer_address: str
    incarnation: str


class RowUnreadable(LogEvent, frozen=True):
    """A row or a report cannot be read and is ignored."""

    number = 823
    level = "ERROR"
    limited = True
    lines = 5
    cause = "Another program wrote it, or a fault."
    operator_action = "Find its writer."

    what: str
    reason: str


class StoreCallFailed(LogEvent, frozen=True):
    """A call to the store failed."""

    number = 824
    level = "WARNING"
    limited = True
    lines = 10
    cause = "The store is away, slow or refuses this VM."
    operator_action = "Check the store."

    operation: str
    reason: str
    took_ms: int


EVENTS = frozenset(
    (
        EvacuationChanged,
        HandoverBegun,
        KeysGranted,
        LeaseNotRenewed,
        LeaseTaken,
        LinkCongested,
        NodePublished,
        OwnersGone,
        PeerLost,
        PeerRegained,
        ReloadAsked,
        ReportOutdated,
        RequestDeclined,
        RequestEnded,
        RequestRepeated,
        RequestRun,
        RingChanged,
        RouterStarted,
        RoutesInForce,
        RowUnreadable,
        StoreCallFailed,
        StoreLost,
        StoreRegained,
        TargetChanged,
        TargetGone,
        TrafficSummary,
    )
)
