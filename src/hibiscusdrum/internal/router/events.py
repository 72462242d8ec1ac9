"""Numbered log events of the router, which ``log_events`` writes."""

from __future__ import annotations

from hibiscusdrum.internal.log_base import LogEvent


class ReportOutdated(LogEvent, frozen=True):
    """A report of the target was ignored: a later one was received before, or it is of a previous start."""

    number = 801
    level = "DEBUG"
    rate_limited = True
    lines_per_interval = 20
    cause = "The report was delayed in transit."

    target: str
    life: str
    sequence: int


class TargetChanged(LogEvent, frozen=True):
    """The target was discovered, has restarted, or is draining."""

    number = 802
    cause = "A report of the target, or its notice that it is leaving."

    target: str
    life: str
    state: str


class TargetGone(LogEvent, frozen=True):
    """The target neither reports nor responds, or refuses connections."""

    number = 803
    level = "WARNING"
    cause = "The target's process has ended or is not responding."
    operator_action = "Check the target if it does not recover."

    target: str
    reason: str


class NodePublished(LogEvent, frozen=True):
    """The node wrote its own row to the store."""

    number = 804
    cause = "The target was discovered, has restarted, is draining or is gone."

    life: str
    accepting: bool
    version: int


class EvacuationChanged(LogEvent, frozen=True):
    """The set of evacuated failure domains has changed."""

    number = 805
    cause = "An operator began or ended an evacuation."

    failure_domains: tuple[str, ...]


class StoreLost(LogEvent, frozen=True):
    """The store does not respond."""

    number = 806
    level = "WARNING"
    cause = "The store is down, or unreachable from this VM."
    operator_action = "Check the store and the network."

    operation: str
    reason: str
    version: int


class StoreRegained(LogEvent, frozen=True):
    """The store responds again."""

    number = 807
    cause = "The store or the network has recovered."

    operation: str
    version: int


class KeysGranted(LogEvent, frozen=True):
    """The target was granted keys that it did not hold."""

    number = 808
    cause = (
        "The ring changed, the target restarted, or its previous grant expired. `left_out` stripes did not "
        "fit into the answer and are granted by later ones."
    )

    stripes: int
    left_out: int
    version: int
    hold_s: float


class LeaseNotRenewed(LogEvent, frozen=True):
    """Writing this node's lease failed."""

    number = 809
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 5
    cause = "The store is unavailable, or its response was lost."
    operator_action = "Check the store if `left_s` reaches 0."

    reason: str
    version: int
    left_s: float


class LeaseTaken(LogEvent, frozen=True):
    """Another node removed this node's lease."""

    number = 810
    level = "WARNING"
    cause = "This node did not renew its lease for a whole term."
    operator_action = "Find out why the node could not reach the store."

    version: int


class OwnersGone(LogEvent, frozen=True):
    """Leases of other nodes have expired; their keys are reassigned."""

    number = 811
    level = "WARNING"
    cause = "The nodes have failed or cannot reach the store."
    operator_action = "Replace the VMs if they do not recover."

    nodes: tuple[str, ...]
    stripes: int
    unowned: int
    store_time_s: float


class HandoverBegun(LogEvent, frozen=True):
    """The node begins to hand over stripes to owners that have fewer."""

    number = 812
    cause = "A target has joined."

    stripes: int


class RingChanged(LogEvent, frozen=True):
    """A change of the ring was attempted."""

    number = 813
    cause = "`reason` names the cause; `outcome` is `written` or names the failure."

    reason: str
    stripes: int
    base_version: int
    fence: int
    outcome: str


class PeerLost(LogEvent, frozen=True):
    """A peer with outstanding requests is unreachable; they are declined, except orders at a silent peer."""

    number = 814
    level = "WARNING"
    cause = "The peer's process or VM has failed, or there is a network partition."
    operator_action = "Check the VM if `peer_regained` does not follow."

    peer: str
    reason: str
    silence_s: float
    outstanding: int


class LinkCongested(LogEvent, frozen=True):
    """A message from the same region was delayed; requests that others can serve are declined for a while."""

    number = 825
    level = "WARNING"
    cause = "The link of this VM is saturated, for example by large bodies."
    operator_action = "None if brief; otherwise give the VM a faster link or add targets."

    peer: str
    delay_s: float


class TrafficSummary(LogEvent, frozen=True):
    """Traffic with nodes and the store, and the longest transit delays, since the last summary."""

    number = 826
    cause = "Written at intervals."

    seconds: float
    bytes: dict[str, int]
    calls: dict[str, int]
    longest_delay_own_s: float
    longest_delay_other_s: float


class TargetLimitChanged(LogEvent, frozen=True):
    """The target's answer to request `id` states a new rate limit, or none any more.

    Rates are requests per second from all nodes together; null means unlimited. ``former_s`` is the time for
    which the former rate was in force.
    """

    number = 827
    cause = "The target is short of capacity, or has recovered."
    operator_action = "Add targets if requests are declined while the limit lasts."

    target: str
    life: str
    id: str
    rate_per_s: float | None
    former_per_s: float | None
    former_s: float
    running: int
    queued: int


class TargetLeaving(LogEvent, frozen=True):
    """The target's answer to request `id` states that the target is leaving."""

    number = 828
    cause = "A planned stop of the target."

    target: str
    life: str
    id: str


class PeerRegained(LogEvent, frozen=True):
    """A peer responds again."""

    number = 815
    cause = "The peer or the network has recovered."

    peer: str
    incarnation: str


class RequestDeclined(LogEvent, frozen=True):
    """A request was not sent to the target, or the target did not answer it.

    ``full`` names the exhausted resource if another node can serve the request: the target's slots, its
    rate limit, the bodies being received, or the link. ``limit_per_s`` is the rate limit that the target
    stated ``limit_age_s`` ago; null if it stated none. ``transit_ms`` is the least time that the request was
    on its way from its caller's node; null if there is nothing to measure it by.
    """

    number = 816
    rate_limited = True
    lines_per_interval = 100
    cause = "`reason` names the cause."
    operator_action = "See OPERATIONS.md."

    id: str
    origin: str
    reason: str
    left_s: float
    running: int
    queued: int
    wait_s: float
    full: str = ""
    limit_per_s: float | None = None
    limit_age_s: float = 0.0
    nested: bool = False
    transit_ms: int | None = None


class RequestRun(LogEvent, frozen=True):
    """The target answered a request; ``transit_ms`` is as in ``request_declined``."""

    number = 817
    rate_limited = True
    lines_per_interval = 100
    cause = "A request was sent to this node's target."

    id: str
    origin: str
    target: str
    status: int
    queued_ms: int
    ran_ms: int
    transit_ms: int | None = None


class RequestCancelled(LogEvent, frozen=True):
    """A node cancelled a request because its caller is gone or its deadline has passed.

    ``sent`` tells whether the target has been sent it, ``held_ms`` for how long this node had it, and
    ``transit_ms`` at least how long the cancellation was on its way; null if there is nothing to measure it
    by.
    """

    number = 870
    rate_limited = True
    lines_per_interval = 100
    cause = "The caller left, or its deadline has passed: `request_ended` of its node has status 499 or 504."

    id: str
    origin: str
    sent: bool
    held_ms: int
    transit_ms: int | None


class RequestEnded(LogEvent, frozen=True):
    """A caller's request has its final response; status 499 means that the connection was closed before.

    ``before_ms`` is the time until the last attempt began, ``path_ms`` the time that this attempt spent on
    the way to the target's node and back; both are part of ``took_ms``. ``limit_ms`` is the caller's timeout
    on arrival, and ``waited_ms`` the estimated time it had waited before, if it retried after a refusal.
    ``nested`` tells that this VM's target sent it for a request that it was running, and ``allowed_regions``
    in which regions the route and the account may be served; in all if there are none. ``account`` is the
    client account, if it has one.
    """

    number = 818
    rate_limited = True
    lines_per_interval = 100
    cause = "A caller on this VM sent a request."
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
    nested: bool = False
    allowed_regions: tuple[str, ...] = ()
    account: str = ""


class RequestRepeated(LogEvent, frozen=True):
    """A request is retried on another target."""

    number = 819
    rate_limited = True
    lines_per_interval = 50
    cause = "The previous target failed to serve it, or its response was lost."

    id: str
    reason: str
    node: str
    arrivals: int
    left_s: float


class RoutesInForce(LogEvent, frozen=True):
    """A configuration was activated on this node."""

    number = 820
    cause = "An operator changed the configuration."

    version: int
    former: int
    routes: int


class ReloadAsked(LogEvent, frozen=True):
    """The process was asked to reload its settings file, which it reads only at start."""

    number = 821
    cause = "SIGHUP."
    operator_action = "Restart the process for the settings to apply."

    version: int


class ConnectionsLeft(LogEvent, frozen=True):
    """The process ends its planned stop while callers still have connections open."""

    number = 834
    cause = (
        "Callers keep connections open for later requests. `unread` of them have input that was not read, on "
        "`unanswered` a request has no response, `discarding` have theirs but were not closed by the caller; "
        "`quiet_s` is the time since any of them was last used."
    )
    operator_action = "None if `unread` and `unanswered` are 0; otherwise these callers lost a request."

    open: int
    unread: int
    unanswered: int
    discarding: int
    quiet_s: float


class CallerConnectionLost(LogEvent, frozen=True):
    """A connection ended while requests on it had no answer, or an answer was not written completely."""

    number = 835
    rate_limited = True
    lines_per_interval = 20
    cause = (
        "`reason`: `reset`, the caller reset the connection; `write_failed`, a write was refused, for "
        "example since the caller has closed its socket; `not_read`, the caller did not read its answers; "
        "`input_excess`, it sent too much after its last answer."
    )

    address: str
    reason: str
    requests: int
    unsent_bytes: int


class AcceptFailed(LogEvent, frozen=True):
    """A connection could not be accepted; it waits in the queue of the socket until the next attempt."""

    number = 836
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 1
    cause = "`error` names it: `EMFILE` means that the process has no free file descriptor."
    operator_action = "Raise the hard limit of file descriptors; `open` counts the entry's connections."

    address: str
    error: str
    open: int


class CallersWaiting(LogEvent, frozen=True):
    """Callers cannot connect until one of the open connections ends or becomes idle."""

    number = 837
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 1
    cause = "As many callers as the limit of file descriptors allows are connected, and none of them is idle."
    operator_action = "Raise the hard limit of file descriptors, or spread the callers over more nodes."

    address: str
    open: int


class RouterStarted(LogEvent, frozen=True):
    """The router has started and listens on its addresses."""

    number = 822
    cause = "The process was started."

    version: str
    service: str
    failure_domain: str
    caller_address: str
    peer_address: str
    incarnation: str


class RowUnreadable(LogEvent, frozen=True):
    """A row, a report, an answer of the store or a header could not be decoded and is ignored.

    A row or report is logged again only for another reason.
    """

    number = 823
    level = "ERROR"
    rate_limited = True
    lines_per_interval = 5
    cause = "Another program wrote it, or its writer has a bug."
    operator_action = "Find out which program wrote it; see OPERATIONS.md."

    what: str
    reason: str


class ConfigurationFieldUnusable(LogEvent, frozen=True):
    """A field of a configuration is missing or could not be decoded; all other entries are in force.

    ``effect`` is ``requests_refused`` (with 503), ``never_repeated``, ``former_value_or_default``,
    ``key_required`` (the route is not public), ``key_ignored`` (a key of an account names no account, or the
    one that comes first) or ``account_without_requests`` (no key names it). No reason contains a key.
    """

    number = 845
    level = "ERROR"
    rate_limited = True
    lines_per_interval = 20
    cause = "The operator's tools wrote a value that this release does not know, or have a bug."
    operator_action = "Write a configuration with a value as documented, or install a release that knows it."

    version: int
    entry: str
    field: str
    effect: str
    reason: str


class StoreCallFailed(LogEvent, frozen=True):
    """A call to the store failed.

    ``received_bytes`` of an answer had arrived. ``connected`` is false if no connection was opened in time.
    """

    number = 824
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 10
    cause = "The store is unavailable or slow, or refuses requests of this VM."
    operator_action = "Check the store."

    operation: str
    reason: str
    took_ms: int
    received_bytes: int = 0
    connected: bool = False


class StoreEraChanged(LogEvent, frozen=True):
    """The store has lost its newest writes: it was restored from a copy.

    ``version`` is the newest version that this node has seen of the era before.
    """

    number = 829
    level = "WARNING"
    cause = "An outage of the store after which it continued from a copy."
    operator_action = "Write again what was written to the store since the copy."

    former: int
    era: int
    version: int


class EvacuationUnconfirmed(LogEvent, frozen=True):
    """A restored store differs in evacuations; for some seconds, lost ones are kept and old ones ignored."""

    number = 832
    level = "WARNING"
    cause = "The copy was taken before the operator began or ended the evacuations."
    operator_action = "Begin or end the evacuations again."

    kept: tuple[str, ...]
    ignored: tuple[str, ...]


class RowsRolledBack(LogEvent, frozen=True):
    """The first complete read of a new era of the store has older versions of rows than this node knew.

    ``rows`` counts the rows that were read, ``older`` the known rows that are older there or absent.
    """

    number = 833
    level = "WARNING"
    cause = "The store was restored from a copy."

    era: int
    version: int
    former_version: int
    rows: int
    older: int


class StaleRowDeleted(LogEvent, frozen=True):
    """The row of a node that was removed earlier, which a restored store brought back, is to be deleted."""

    number = 831
    cause = "The copy was taken before the removal. `outcome` is `deleted` or names the failure."

    row: str
    version: int
    outcome: str


class TableReread(LogEvent, frozen=True):
    """A table of the store was read completely instead of only its changes; `count` such reads so far."""

    number = 830
    rate_limited = True
    lines_per_interval = 10
    cause = (
        "`reason`: `history_dropped`, the store no longer has the changes; `restored`, its era has changed."
    )

    table: str
    reason: str
    version: int
    rows: int
    count: int


class EraSettling(LogEvent, frozen=True):
    """A settling period has begun: rings do not change until all leases of the former era have expired.

    ``recorded`` tells whether the store already has the row of the era.
    """

    number = 840
    level = "WARNING"
    cause = "The store was restored from a copy, or this process started after that."

    era: int
    recorded: bool


class EraRecorded(LogEvent, frozen=True):
    """The node tried to record the begin of an era in the store.

    ``since_s`` is on the store's clock; ``outcome`` is ``written`` or names the failure.
    """

    number = 841
    cause = "The store was restored from a copy. Several nodes may try."

    era: int
    since_s: float
    outcome: str


class EraSettled(LogEvent, frozen=True):
    """The settling period has ended, ``seconds`` after this node first saw the era."""

    number = 842
    cause = "All leases of the former era have expired."

    era: int
    seconds: float


class RingOutdated(LogEvent, frozen=True):
    """The stored row of a ring is older than the known ring, which is kept while the era settles.

    A stamp is the era and the number of the write that made the content.
    """

    number = 843
    level = "WARNING"
    cause = "The ring changed after the copy from which the store was restored."

    row: str
    version: int
    stamp: tuple[int, int]
    known_stamp: tuple[int, int]


class GrantWithheld(LogEvent, frozen=True):
    """Stripes of this node are not granted under fencing tokens of an earlier era, unless already held.

    The store may have lost larger tokens. ``era_fence`` is the first token of the ring's era ``era``.
    """

    number = 844
    rate_limited = True
    lines_per_interval = 5
    cause = "The store was restored from a copy. The stripes get new tokens when the era has settled."

    stripes: int
    era: int
    era_fence: int
    settling: bool


class DepartureNotStored(LogEvent, frozen=True):
    """A target's notice that it leaves was not acknowledged; the target gets no requests all the same."""

    number = 846
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 5
    cause = "It could not be stored in time, so that a next process of this node would not know of it."
    operator_action = "Check the store."

    life: str


class TargetCrashed(LogEvent, frozen=True):
    """The target's process has ended while it was running requests, the suspects.

    ``ids``, ``identities`` and ``crashes`` have an entry for each suspect: the id of the attempt, the
    identity that all attempts of the same request share, and the crashes under it that are known, one after
    the other.
    """

    number = 847
    level = "WARNING"
    cause = "A fault of the target or its VM, or a request that it cannot run."
    operator_action = "If one identity is suspected again and again, see OPERATIONS.md."

    life: str
    ids: tuple[str, ...]
    identities: tuple[str, ...]
    crashes: tuple[int, ...]


class RequestQuarantined(LogEvent, frozen=True):
    """No node sends a request to a target for ``seconds``: targets have crashed under it again and again.

    ``node`` is beside the target that crashed last; ``source`` tells how this node learned of it.
    """

    number = 848
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 20
    cause = "`crashes` targets crashed one after the other, and none has answered the request since."
    operator_action = "Find the fault that the request triggers in the target; see OPERATIONS.md."

    identity: str
    crashes: int
    node: str
    source: str
    seconds: float


class QuarantineEnded(LogEvent, frozen=True):
    """A request may be sent to targets again; ``node`` is beside the target that crashed last."""

    number = 849
    rate_limited = True
    lines_per_interval = 20
    cause = "`reason`: the hold has expired, a target has answered the request, or its row is released."

    identity: str
    reason: str
    node: str


class QuarantineFull(LogEvent, frozen=True):
    """A request that crashes targets is not held, because too many others are."""

    number = 850
    level = "ERROR"
    rate_limited = True
    lines_per_interval = 1
    cause = "Very many different requests crash targets."
    operator_action = "Find the client that sends them, and stop it."

    identity: str
    held: int


class QuarantineBackedUp(LogEvent, frozen=True):
    """A hold that another node has begun is not stored in time, so this node stores it."""

    number = 880
    level = "WARNING"
    rate_limited = True
    cause = "The node beside the target that crashed last has ended, or cannot reach the store."
    operator_action = "None; check that node if it keeps happening."

    identity: str
    node: str


class PoisonRequestRefused(LogEvent, frozen=True):
    """Request `id` is not sent to a target, because the request is in quarantine.

    ``source`` tells how this node learned of the last crash ``age_s`` ago, of the target beside ``node``.
    """

    number = 851
    rate_limited = True
    lines_per_interval = 20
    cause = "A caller repeats a request that crashes the targets that run it."
    operator_action = "Tell the caller; see OPERATIONS.md."

    id: str
    identity: str
    crashes: int
    node: str
    source: str
    age_s: float
    left_s: float


class ClientErrorAnswered(LogEvent, frozen=True):
    """The router answered a caller with a status of 400 to 499 of its own, which no target gave.

    ``reason`` is ``no_route``, ``no_key``, ``no_account_key``, ``unknown_account_key``, ``over_quota``, or
    what was wrong with the input: ``malformed``, ``incomplete``, ``framing``, ``head_too_large``,
    ``body_too_large``, ``head_timeout``. ``version`` is the configuration in force, ``version_age_s`` the
    time since it came into force here, and ``confirmed_age_s`` the time since it was last known to be the
    newest. ``host`` and ``prefix``, the first segment of the path, are given for ``no_route``.
    ``received_bytes`` is what the connection had received of the request.
    """

    number = 852
    rate_limited = True
    lines_per_interval = 100
    cause = (
        "The caller sent what the configuration does not allow, or this node has an outdated configuration."
    )
    operator_action = "Run `hibiscusdrum client-errors` on the logs; see OPERATIONS.md."

    id: str
    status: int
    reason: str
    version: int
    version_age_s: float
    confirmed_age_s: float
    host: str = ""
    prefix: str = ""
    received_bytes: int = 0


class ConfigPulled(LogEvent, frozen=True):
    """Newer rows of the operator were taken from a peer, before the store had answered with them.

    ``version`` and ``former`` are versions of the store up to which the rows are known, and ``unconfirmed_s``
    is the time since this node last knew that it had the newest ones.
    """

    number = 853
    cause = "The store turns this node away, is slow, or the link to it is congested; or the peer was faster."
    operator_action = "None; look for `store_call_failed` if it is frequent on one node."

    peer: str
    version: int
    former: int
    rows: int
    unconfirmed_s: float


class StorePollWithdrawn(LogEvent, frozen=True):
    """A poll that the store held for longer than 3 s was ended by this node, which polls again at once.

    ``reason`` is ``unconfirmed`` if no peer has confirmed the rows within 3 s, ``newer_rows`` if a peer has
    had newer ones for 1 s, ``store_lost``, or ``store_silent`` if the store has answered no call for 2.9 s.
    """

    number = 970
    rate_limited = True
    lines_per_interval = 4
    cause = "Peers or the store cannot be reached, or the connection of the poll has died."
    operator_action = "None; look for `peer_lost` and `store_call_failed` if it is frequent on one node."

    table: str
    reason: str


class RingFetched(LogEvent, frozen=True):
    """A ring that the polled table said to be newer was read, or nobody had it.

    ``source`` is the peer that had it, ``store``, or empty; ``asked`` counts the peers and reads until then.
    """

    number = 860
    cause = "The ring has changed."
    rate_limited = True

    service: str
    source: str
    version: int
    wanted: int
    asked: int
    took_ms: int


class RingCopyRefused(LogEvent, frozen=True):
    """A copy of a ring that a peer sent is not used."""

    number = 861
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 20
    cause = "`reason`: the copy is of another era of the store, or cannot be decoded."
    operator_action = "If the peer is named again and again, restart its router."

    peer: str
    service: str
    version: int
    reason: str


class EvacuationPeriodOver(LogEvent, frozen=True):
    """The target of an evacuated failure domain gets no more requests, although it still owns keys."""

    number = 960
    level = "WARNING"
    cause = "No other target could get the keys, or the store took too long to write the ring."
    operator_action = "Start targets of the service in other failure domains, or see why ring writes fail."

    stripes: int


class RequestHung(LogEvent, frozen=True):
    """A request was given up before its deadline, since its target answers later ones but not this one."""

    number = 961
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 20
    cause = "The target could not queue the request, or its connection hangs."
    operator_action = "If it recurs, see whether the slots in the target's heartbeats are those that it has."

    id: str
    target: str
    waited_ms: int
    left_s: float


class RequestsWithdrawn(LogEvent, frozen=True):
    """Requests without an answer have keys that were removed, or that were given to other accounts.

    Those that their targets have not been sent are refused.
    """

    number = 920
    cause = "The operator removed a key of a client account, or the whole account."
    operator_action = "None if that was meant."

    version: int
    requests: int


class QuotaExceeded(LogEvent, frozen=True):
    """A request was refused with 429, because its account has used up its quota or no token could be had.

    ``wait_s`` is its Retry-After.
    """

    number = 921
    rate_limited = True
    lines_per_interval = 20
    cause = (
        "The account sends more than its rate and burst, or the keeper of its quota was lost a moment ago."
    )
    operator_action = "Raise the quota if it is too low; without one, look for `quota_keeper_changed`."

    account: str
    wait_s: float


class QuotaKeeperChanged(LogEvent, frozen=True):
    """The node asks another one for the tokens of a group of accounts.

    ``silent`` are the nodes that were not chosen since they do not answer. A node that keeps a group for
    itself has its part of each quota only.
    """

    number = 922
    rate_limited = True
    lines_per_interval = 20
    cause = "A node joined, left, does not answer, or answers again."
    operator_action = "None unless a node keeps its groups for itself for long; then check its network."

    group: int
    keeper: str
    former: str
    silent: tuple[str, ...]


class LinkFull(LogEvent, frozen=True):
    """Request `id` is declined because its answer would leave the link of this VM ``late_s`` too late.

    ``wait_s`` is the expected wait of a large answer, for the bytes that are queued and those expected of
    requests that are queued or running.
    """

    number = 940
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 20
    cause = "The target's answers need more than the link of its VM carries."
    operator_action = "None if brief; otherwise add targets, or give the VM a faster link."

    id: str
    origin: str
    late_s: float
    wait_s: float
    queued_bytes: int
    expected_bytes: int


class AnswerGivenUp(LogEvent, frozen=True):
    """An answer to another node is not sent, because the link cannot carry it before the process ends."""

    number = 942
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 20
    cause = "A planned stop while more is queued than the link of this VM carries in the grace period."
    operator_action = "Check whether the link is too slow for its load, or the grace period too short."

    id: str
    origin: str
    left_bytes: int
    sent_bytes: int
    queued_bytes: int
    left_s: float


class TargetBodiesFull(LogEvent, frozen=True):
    """Request `id` waits because the target holds as many bytes of request bodies as it may."""

    number = 941
    level = "WARNING"
    rate_limited = True
    cause = "Many large bodies arrive at one target at once."
    operator_action = (
        "None if brief; otherwise add targets, or raise `limits.targetBodyMb` if memory permits."
    )

    id: str
    size: int
    outstanding: int
    limit: int
    waiting: int


class ConnectionGivenUp(LogEvent, frozen=True):
    """A connection without progress for ``idle_s`` was closed, because its address has no room for others.

    An ``incomplete`` request on it was answered with 503; it has not run.
    """

    number = 931
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 20
    cause = "Clients keep very many connections and do not go on."
    operator_action = "Find the clients; give the router more descriptors if they are ordinary callers."

    address: str
    idle_s: float
    incomplete: bool
    unsent_bytes: int


class InputDeferred(LogEvent, frozen=True):
    """Input of a connection took ``debt_ms`` of processor time beyond its share, so it waits for others."""

    number = 930
    rate_limited = True
    lines_per_interval = 20
    cause = "A client sends input that takes much processor time, such as bodies in very small chunks."
    operator_action = "Find the client if the router is short of processor time."

    address: str
    debt_ms: int


class PeerRefused(LogEvent, frozen=True):
    """A connection to the port for peers was closed in its handshake, with a system error; `count` so far."""

    number = 932
    level = "WARNING"
    rate_limited = True
    lines_per_interval = 5
    cause = "Something other than a node connects to the port for peers, or a node left while it connected."
    operator_action = "If `count` rises all the time, keep callers away from the ports between nodes."

    error: int
    count: int


EVENTS = frozenset(
    (
        AcceptFailed,
        AnswerGivenUp,
        CallerConnectionLost,
        ClientErrorAnswered,
        ConfigPulled,
        ConnectionGivenUp,
        DepartureNotStored,
        EraRecorded,
        EraSettled,
        EraSettling,
        EvacuationChanged,
        EvacuationPeriodOver,
        EvacuationUnconfirmed,
        GrantWithheld,
        HandoverBegun,
        InputDeferred,
        KeysGranted,
        LeaseNotRenewed,
        LeaseTaken,
        LinkCongested,
        LinkFull,
        NodePublished,
        OwnersGone,
        PeerLost,
        PeerRefused,
        PeerRegained,
        ReloadAsked,
        ReportOutdated,
        PoisonRequestRefused,
        QuarantineEnded,
        QuarantineFull,
        QuotaExceeded,
        QuotaKeeperChanged,
        RequestCancelled,
        RequestDeclined,
        RequestEnded,
        RequestHung,
        RequestQuarantined,
        RequestRepeated,
        RequestRun,
        RequestsWithdrawn,
        RingChanged,
        RingCopyRefused,
        RingFetched,
        RingOutdated,
        RouterStarted,
        RoutesInForce,
        RowsRolledBack,
        RowUnreadable,
        StaleRowDeleted,
        StoreCallFailed,
        StoreEraChanged,
        StoreLost,
        StorePollWithdrawn,
        StoreRegained,
        TableReread,
        TargetBodiesFull,
        TargetChanged,
        TargetCrashed,
        TargetGone,
        TargetLeaving,
        TargetLimitChanged,
        TrafficSummary,
    )
)
