"""Ownership of key ranges by this node: its lease, the grant of its target, and changes of the ring.

The target serves only granted keys, and a grant never outlasts this node's lease. Ownership of a stripe
changes by one conditional write of the ring row: by its owner, once the target has released the stripe or its
grant has expired, or by another node, once the owner's lease has expired on the store's clock.

After a restore of the store, rings do not change until the era has settled (``store_era``). In that time a
grant is only renewed, for stripes that the target holds under the fencing tokens of the ring. Stripes that it
does not hold get new tokens after that.
"""

from __future__ import annotations

import enum
import random
import zlib
from collections.abc import Callable, Mapping

from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import Row, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router import ring as ring_edits
from hibiscusdrum.internal.router.grant_contents import grant_contents, grantable_stripes, range_stripes
from hibiscusdrum.internal.router.key_load import (
    OVERLOAD_RATIO,
    KeyLoad,
    OwnerLoad,
    may_offload,
    nodes_without_room,
    plan_offload,
    ring_quiet_seconds,
    stripe_weight,
)
from hibiscusdrum.internal.router.lease_keeper import LeaseKeeper, claim_key, lease_key, readable_lease
from hibiscusdrum.internal.router.local_target import Grant, LocalTarget, TargetHeartbeat, TargetState
from hibiscusdrum.internal.router.members import NODE_PREFIX, Members
from hibiscusdrum.internal.router.range_lease import UNREADABLE_LEASE_TIMEOUT_SECONDS, is_expired
from hibiscusdrum.internal.router.ring import Owner, Ring
from hibiscusdrum.internal.router.rings import Rings
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.store_era import StoreEra

RECONCILE_INTERVAL_SECONDS = 0.2
LOAD_UPDATE_INTERVAL_SECONDS = 1.0
# Survives two lost heartbeats, yet lets the keys of a target that stopped responding move on soon.
GRANT_SECONDS = 5.0
# The clock of a target may run up to 2.5% slow, which lengthens its grant.
TARGET_CLOCK_DRIFT_FACTOR = 1.025
# The grant counts from when the heartbeat was sent; no request is started in this last part of it.
GRANT_MARGIN_SECONDS = 0.15
# Before the ring is created, all targets get this long to send a first heartbeat, and the set of eligible
# owners must have stayed unchanged for ``MEMBERSHIP_QUIET_SECONDS``.
RING_CREATION_DELAY_SECONDS = 2.0
MEMBERSHIP_QUIET_SECONDS = 1.2
# The first ``PRIMARY_LEASE_CHECKERS`` nodes of a fixed order check leases more often than the others.
LEASE_CHECK_INTERVAL_SECONDS = 1.0
STANDBY_LEASE_CHECK_INTERVAL_SECONDS = 5.0
PRIMARY_LEASE_CHECKERS = 3
# A node without a lease row counts as lost after this time, within which a new owner writes its row.
MISSING_LEASE_TIMEOUT_SECONDS = 4.0
# The store accepts 100 entries in a write. A lost owner takes five: checks of its lease and its node's row,
# and deletions of these and of its claim. The rest of the write takes five.
MAX_LOST_OWNERS_PER_WRITE = 19
# After an outage of the store, nodes get this long to renew their leases before they count as lost.
STORE_RECOVERY_GRACE_SECONDS = 2.5
# Targets that restart together all need new fencing tokens. Each node waits for a random delay of up to this
# long per owner and then renews the tokens of all restarted targets, so that most need no write of their own.
REASSIGN_JITTER_SECONDS_PER_OWNER = 0.01
# How often an overloaded owner looks for less loaded ones, and how long it waits after an offload. Loads are
# published only with each lease renewal.
OFFLOAD_CHECK_INTERVAL_SECONDS = 3.0
OFFLOAD_COOLDOWN_SECONDS = 6.0
# Requests for keys that are about to move are refused this long before the target's next heartbeat, so that
# none is still queued when the target releases the keys.
HANDOVER_QUIESCE_SECONDS = 0.4
# While a failure domain is evacuated, the same before the heartbeat that is answered without keys. Requests
# that come in this time wait for the new owner. Most runs end in it; a key of a running request moves later.
EVACUATION_QUIESCE_SECONDS = 0.1
# No request is sent to an evacuated target in the last part of the period in which the operator allows it: a
# request needs some of it for its way to the target, and may wait there for a connection.
EVACUATION_MARGIN_SECONDS = 0.5
# Evacuated targets release their keys one after the other within this time, if the period is long enough for
# the release and the new owner's grant. When all did so in the same second, most writes of the ring
# conflicted, and new owners got most keys only by their second answer to a heartbeat.
EVACUATION_SPREAD_SECONDS = 1.5
EVACUATION_HANDOVER_SECONDS = 2.0
# Live owners that were read within this time get stripes without a further read. An owner is only taken over
# after 9 s, so that one lost meanwhile is found by the check of leases as if it had been lost later.
OWNERS_REUSE_SECONDS = 2.0
# An imbalance must last this long before stripes move to a new node, so that rolling restarts do not move
# keys each time.
REBALANCE_DELAY_SECONDS = 2.0


class KeyState(enum.Enum):
    """Whether this node may serve requests for a key.

    Attributes
    ----------
    GRANTED
        The target holds a valid grant for the key.
    GRANT_PENDING
        The node owns the key, and its target has no valid grant yet.
    MOVING
        This node's failure domain is evacuated, and the key gets another owner soon.
    NOT_OWNED
        Another node owns the key, or this node is handing it over.
    """

    GRANTED = "held"
    GRANT_PENDING = "expected"
    MOVING = "moving"
    NOT_OWNED = "foreign"


class RangeOwner(Service):
    """Manages the stripes of this node, grants them to its target, and takes over those of lost nodes.

    Attributes
    ----------
    partitioned : bool or None
        Whether the service is partitioned by key; None until the configuration is known.
    reading_leases : bool
        Whether a read of lease rows is in progress.
    unreadable_leases : dict of str to (int, float)
        Version of the lease row that is unreadable, and monotonic time in seconds since when, by node.
    syncing_ring : bool
        Whether a read of the ring after the first write of a lease is in progress.
    outgoing_stripes : dict of int to Owner
        Stripes that are being handed over, with their new owners.
    granted_stripes : set of int
        Stripes of the last grant to the target.
    revoked_at : dict of int to float
        Monotonic time in seconds at which an owned stripe was first left out of the grants since it was last
        in one.
    handover_tokens : dict of int to str
        Handover tokens of the stripes that the target has released.
    on_granted : list of callable
        Called when the target has been granted further keys.
    live_owners : list of Owner
        Owners whose leases had not expired when they were last read.
    live_owners_at : float
        Monotonic time in seconds of that read.
    release_at : float
        Monotonic time in seconds from which the target of an evacuated failure domain releases its keys.
    on_moved : list of callable
        Called with the nodes that this node has given keys in an evacuation.
    """

    service_name = "range_owner"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.node = settings.node
        self.partitioned: bool | None = None
        self.process_started_at = 0.0
        self.reading_leases = False
        self.syncing_ring = False
        self.outgoing_stripes: dict[int, Owner] = {}
        self.granted_stripes: set[int] = set()
        self.left_out_stripes = 0
        self.granted_until = 0.0
        self.granted_incarnation = ""
        self.revoked_at: dict[int, float] = {}
        self.handover_tokens: dict[int, str] = {}
        self.owners_changed_at = 0.0
        self.eligible_owners: list[Owner] = []
        self.first_owner_at: float | None = None
        self.leases_checked_at = 0.0
        self.lease_missing_since: dict[str, float] = {}
        self.unreadable_leases: dict[str, tuple[int, float]] = {}
        self.store_unreachable_at = 0.0
        self.imbalance_since: float | None = None
        self.reassign_at: float | None = None
        self.key_load = KeyLoad()
        self.owner_loads: dict[str, OwnerLoad] = {}
        self.offloaded_at = float("-inf")
        self.rng = random.Random(settings.node)
        self.on_granted: list[Callable[[], None]] = []
        self.live_owners: list[Owner] = []
        self.live_owners_at = float("-inf")
        self.was_evacuated = False
        self.period_over = False
        self.release_at = 0.0
        self.receiving_nodes: set[str] = set()
        self.on_moved: list[Callable[[set[str]], None]] = []

    def on_start(self) -> None:
        """Subscribe to rows and the target, and start the periodic work."""
        self.process_started_at = self.now
        self.table = self.app.find("table")
        self.members: Members = self.app.find("members")
        self.target: LocalTarget = self.app.find("local_target")
        self.rings: Rings = self.app.find("rings")
        self.rings.on_written.append(self.drop_foreign_tokens)
        self.rings.on_written.append(self.notify_moved)
        # All nodes write the same row; writing right after a read makes a conflict less likely.
        self.rings.on_reread = self.reconcile
        self.members.on_change.append(self.on_members_change)
        self.target.make_grant = self.make_grant
        self.target.grant_imminent = self.grant_imminent
        self.target.on_change.append(self.on_target_change)
        self.store_era: StoreEra = self.app.find("store_era")
        self.store_era.write_rank = lambda: self.lease_check_rank
        self.table.on_era_change.append(self.on_era_change)
        self.keeper: LeaseKeeper = self.app.find("lease_keeper")
        self.keeper.on_first_write = self.sync_ring
        self.keeper.current_load = self.local_load
        self.app.scheduler.every(RECONCILE_INTERVAL_SECONDS, self.reconcile)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    @property
    def local_ring(self) -> Ring | None:
        """The ring of this node's service."""
        return self.rings.local_ring

    def set_partitioned(self, partitioned: bool) -> None:
        """Set whether this node's service is partitioned by key."""
        self.partitioned = partitioned
        self.store_era.writes_rows = partitioned

    def on_era_change(self, _former: int, _era: int) -> None:
        """Forget what was concluded from rows of the former era, and give up handovers.

        The target has released some of the stripes that were to be handed over; these are not renewed.
        """
        self.outgoing_stripes = {}
        self.lease_missing_since.clear()
        self.owner_loads = {}
        self.imbalance_since = None
        self.reassign_at = None

    def on_members_change(self) -> None:
        """Record when the set of eligible owners last changed, and plan the release of evacuated keys."""
        if self.evacuated != self.was_evacuated:
            self.was_evacuated = self.evacuated
            self.release_at = self.planned_release_at()
        owners = self.members.eligible_owners(self.settings.service)
        if owners != self.eligible_owners:
            self.eligible_owners = owners
            self.owners_changed_at = self.now
            if owners and self.first_owner_at is None:
                self.first_owner_at = self.now

    def on_target_change(self) -> None:
        """Reconcile at once when the target appears, restarts, drains or is lost."""
        if self.partitioned:
            self.app.scheduler.call_later(0.0, self.reconcile)

    @property
    def base_ring(self) -> Ring:
        """The ring from which a change in this era of the store is derived."""
        return ring_edits.enter_era(self.local_ring, self.store_era.current)

    @property
    def local_owner(self) -> Owner:
        """The current incarnation of this node's target as an owner."""
        return Owner(self.node, self.target.incarnation)

    def local_stripes(self) -> list[int]:
        """Return the stripes that the current incarnation of the target owns."""
        ring, local_owner = self.local_ring, self.local_owner
        if ring is None or not local_owner.incarnation:
            return []
        return [
            index
            for index, stripe in enumerate(ring.stripes)
            if stripe.owner_index != ring_edits.UNOWNED and ring.owners[stripe.owner_index] == local_owner
        ]

    @property
    def must_release_all(self) -> bool:
        """Whether the target must release all keys: it is not ready, or its failure domain is evacuated."""
        return not self.target.ready or self.evacuated

    @property
    def evacuated(self) -> bool:
        """Whether this node's failure domain is being evacuated."""
        return self.settings.failure_domain in self.members.evacuated_domains

    @property
    def may_serve_evacuated(self) -> bool:
        """Whether the operator still allows requests at targets of this node's evacuated failure domain."""
        allowed = self.settings.evacuation_period - EVACUATION_MARGIN_SECONDS
        return self.members.evacuated_seconds(self.settings.failure_domain) < allowed

    @property
    def moves_soon(self) -> bool:
        """Whether the keys of this node's evacuated failure domain get other owners without a further wait.

        Those of a target that is silent do so only when its grant has expired.
        """
        if not self.evacuated or not self.has_receivers:
            return False
        return self.target.state is not TargetState.ABSENT or self.target.process_ended

    @property
    def has_receivers(self) -> bool:
        """Whether keys can be given to other owners now."""
        others = any(owner.node != self.node for owner in self.eligible_owners)
        return others and self.members.store_reachable and not self.store_era.settling

    @property
    def keeps_keys(self) -> bool:
        """Whether the target of an evacuated failure domain keeps its keys for now.

        It does so before its turn to release them, and as long as no other could get them.
        """
        if not self.target.ready or not self.may_serve_evacuated:
            return False
        return self.now < self.release_at or not self.has_receivers

    def planned_release_at(self) -> float:
        """Return the monotonic time in seconds from which this evacuated target is to release its keys."""
        domain = self.settings.failure_domain
        if self.local_ring is None or domain not in self.members.evacuated_since:
            return 0.0
        leaving = sorted(
            owner.node
            for owner in self.local_ring.owners
            if self.domain_of(owner.node) in self.members.evacuated_domains
        )
        if self.node not in leaving:
            return 0.0
        allowed = self.settings.evacuation_period - EVACUATION_MARGIN_SECONDS - EVACUATION_HANDOVER_SECONDS
        spread = max(0.0, min(EVACUATION_SPREAD_SECONDS, allowed))
        return self.members.evacuated_since[domain] + spread * leaving.index(self.node) / len(leaving)

    def domain_of(self, node: str) -> str:
        """Return the failure domain of a node; empty if the node is unknown."""
        row = self.members.nodes.get(node)
        return row.failure_domain if row is not None else ""

    def make_grant(self, heartbeat: TargetHeartbeat) -> Grant | None:
        """Return the whole grant that answers a heartbeat, or None to renew nothing."""
        if not self.partitioned:
            return None
        self.record_released(heartbeat)
        now, ring = self.now, self.local_ring
        remaining = self.keeper.remaining_seconds / TARGET_CLOCK_DRIFT_FACTOR
        seconds = min(self.settings.longest_hold, GRANT_SECONDS, remaining)
        if ring is None or seconds <= GRANT_MARGIN_SECONDS:
            return None
        wanted = (
            set()
            if self.must_release_all and not self.keeps_keys
            else set(self.local_stripes())
            - set(self.outgoing_stripes)
            - self.rings.changing_stripes
            - self.rings.uncertain_stripes
        )
        grantable = self.grantable(wanted, heartbeat)
        if grantable != wanted:
            log_events.emit(
                events.GrantWithheld(
                    stripes=len(wanted - grantable),
                    era=ring.era,
                    era_fence=ring.era_fencing_token,
                    settling=self.store_era.settling,
                )
            )
        contents = grant_contents(ring, grantable, heartbeat.held)
        keep = set(contents.stripes)
        self.left_out_stripes = len(wanted - keep)
        for index in self.granted_stripes - keep:
            self.revoked_at[index] = now
        # The target may hold stripes that an earlier process granted, or none of what was never granted.
        for index in set(self.local_stripes()) - keep:
            self.revoked_at.setdefault(index, now)
        for index in keep:
            self.revoked_at.pop(index, None)
            self.handover_tokens.pop(index, None)
        gained = keep - self.granted_stripes or heartbeat.incarnation != self.granted_incarnation
        self.granted_stripes, self.granted_incarnation = keep, heartbeat.incarnation
        # The target counts its grant from when it sent the heartbeat, which may have been answered late.
        self.granted_until = self.target.last_heartbeat_at + seconds
        if gained:
            self.app.scheduler.call_later(0.0, self.notify_granted)
        return Grant(contents.ranges, seconds)

    def grantable(self, stripes: set[int], heartbeat: TargetHeartbeat) -> set[int]:
        """Return the stripes that the target may hold under the tokens of the ring."""
        if not self.store_era.restored:
            return stripes
        settled_era = None if self.store_era.settling else self.store_era.current
        return grantable_stripes(self.local_ring, stripes, heartbeat.held, settled_era)

    def grant_imminent(self) -> bool:
        """Return whether only a pending first read or write of this node delays the target's grant."""
        ring = self.local_ring
        if not self.members.store_reachable:
            return False
        if self.partitioned is None or not self.members.loaded:
            return True
        if not self.partitioned or self.must_release_all or ring is None:
            return False
        if not ring.stripes_of(self.node) or (self.store_era.settling and not self.local_stripes()):
            return False
        if self.awaits_evacuated_keys(ring):
            return True
        return self.keeper.remaining_seconds <= GRANT_MARGIN_SECONDS or not self.local_stripes()

    def awaits_evacuated_keys(self, ring: Ring) -> bool:
        """Return whether the target holds all of this node's keys, and is about to get evacuated ones too."""
        if not set(self.local_stripes()) <= self.granted_stripes:
            return False
        for owner in ring.owners:
            seconds = self.members.evacuated_seconds(self.domain_of(owner.node))
            if 0.0 < seconds < self.settings.evacuation_period:
                return True
        return False

    def local_load(self) -> OwnerLoad:
        """Return the load of this node's target."""
        heartbeat = self.target.last_heartbeat
        slots = heartbeat.slots if heartbeat is not None else 1
        return self.key_load.owner_load(slots, self.target.rate_limit.rate)

    def record_request(self, key: int) -> None:
        """Count a request for a key of this node, admitted or not."""
        ring = self.local_ring
        if ring is not None:
            self.key_load.record_request(ring.stripe_index(key))

    def invalidate_grant(self) -> None:
        """Mark the grant as missing at the target; the answer to its next heartbeat renews it."""
        self.granted_stripes = set()

    def notify_granted(self) -> None:
        """Notify the listeners that requests for the granted keys may be sent."""
        log_events.emit(
            events.KeysGranted(
                stripes=len(self.granted_stripes),
                left_out=self.left_out_stripes,
                version=number_of(self.rings.local_version),
                hold_s=round(self.granted_until - self.now, 3),
            )
        )
        for listener in self.on_granted:
            listener()

    def record_released(self, heartbeat: TargetHeartbeat) -> None:
        """Store the handover tokens of stripes that the target has released."""
        ring = self.local_ring
        if ring is None:
            return
        for released in heartbeat.released:
            for index in range_stripes(ring, released):
                if index not in self.granted_stripes:
                    self.handover_tokens[index] = released.handover_token
        if heartbeat.released and (self.outgoing_stripes or self.must_release_all):
            self.app.scheduler.call_later(0.0, self.reconcile)

    def key_state(self, key: int) -> KeyState:
        """Return whether this node may serve requests for a key now."""
        ring = self.local_ring
        if ring is None or not self.partitioned:
            return KeyState.NOT_OWNED
        index = ring.stripe_index(key)
        stripe = ring.stripes[index]
        if stripe.owner_index == ring_edits.UNOWNED or ring.owners[stripe.owner_index].node != self.node:
            return KeyState.NOT_OWNED
        must_move = self.must_release_all or index in self.outgoing_stripes
        if must_move and not self.served_until_heartbeat(index):
            return KeyState.MOVING if self.moves_soon else KeyState.NOT_OWNED
        granted = index in self.granted_stripes and self.granted_incarnation == self.target.incarnation
        if granted and self.now < self.granted_until - GRANT_MARGIN_SECONDS:
            return KeyState.GRANTED
        return KeyState.GRANT_PENDING

    def served_until_heartbeat(self, index: int) -> bool:
        """Return whether a stripe that must move is still served before the target's next heartbeat.

        The target keeps the stripe until the answer to that heartbeat leaves it out. A target that drains, or
        whose failure domain is evacuated, may get requests for longer than that.
        """
        if self.target.state is TargetState.ABSENT or index not in self.granted_stripes:
            return False
        if not self.evacuated:
            quiesce = HANDOVER_QUIESCE_SECONDS
        elif not self.may_serve_evacuated:
            return False
        elif self.keeps_keys:
            return True
        else:
            quiesce = EVACUATION_QUIESCE_SECONDS
        return self.now < self.target.last_heartbeat_at + self.settings.heartbeat - quiesce

    def reconcile(self) -> None:
        """Renew the lease if due, and make the most urgent change of the ring."""
        if not self.partitioned or not self.members.loaded:
            return
        self.report_period_over()
        if self.now - (self.key_load.updated_at or 0.0) >= LOAD_UPDATE_INTERVAL_SECONDS:
            self.key_load.update(self.now)
        if not self.members.store_reachable:
            self.store_unreachable_at = self.now
        if self.target.ready or (self.local_ring is not None and self.local_ring.stripes_of(self.node)):
            self.keeper.renew_if_due()
        if self.reading_leases or self.rings.write_in_progress or not self.keeper.claim_version:
            return
        if self.store_era.settling:
            self.rings.restore_if_due(self.lease_check_rank)
            return
        self.rings.apply_outdated_rows()
        if self.local_ring is None:
            self.create_ring()
        elif self.rings.uncertain_stripes:
            self.rings.commit_ring(self.base_ring, {}, (), "settled", len(self.rings.uncertain_stripes))
        elif not self.reassign_restarted() and not self.transfer_outgoing():
            self.check_leases()

    def report_period_over(self) -> None:
        """Log once that the target may get no more requests for the keys that it still owns."""
        over = self.evacuated and not self.may_serve_evacuated
        stripes = len(self.local_stripes()) if over and not self.period_over else 0
        self.period_over = over
        if stripes:
            log_events.emit(events.EvacuationPeriodOver(stripes=stripes))

    def sync_ring(self) -> None:
        """Read the ring after the first write of a lease: it may have changed while there was no lease.

        In a new era of the store the lease counts only with a ring of that era, which no write of an earlier
        era can replace any more.
        """
        if self.syncing_ring or self.rings.local_outdated or not self.store_era.recorded:
            return
        era = self.store_era.current
        self.syncing_ring = True

        def on_read(succeeded: bool) -> None:
            self.syncing_ring = False
            if succeeded and era == self.store_era.current and self.rings.local_current:
                self.keeper.ring_synced = True

        self.rings.read_ring(on_read)

    def drop_foreign_tokens(self) -> None:
        """Drop the handover tokens of stripes that now belong to others."""
        local_stripes = set(self.local_stripes())
        self.handover_tokens = {
            index: token for index, token in self.handover_tokens.items() if index in local_stripes
        }

    @property
    def lease_check_rank(self) -> int:
        """Position of this node in an order of the service's nodes by hash, which mixes failure domains."""
        names = sorted(
            (owner.node for owner in self.eligible_owners), key=lambda name: zlib.crc32(name.encode())
        )
        return names.index(self.node) if self.node in names else len(names)

    def create_ring(self) -> None:
        """Create the ring once all targets have had time for a first heartbeat."""
        now = self.now
        owners = self.members.eligible_owners(self.settings.service)
        if self.first_owner_at is None or not self.keeper.ring_synced:
            return
        if self.rings.local_row_key in self.rings.unreadable_rows:
            # Its fencing tokens are not known, so that no new ring can be sure to exceed them.
            return
        waited = now - self.first_owner_at - self.lease_check_rank * 0.5
        if (
            owners
            and waited > RING_CREATION_DELAY_SECONDS
            and now - self.owners_changed_at > MEMBERSHIP_QUIET_SECONDS
        ):
            ring = ring_edits.create_ring(owners, self.store_era.current)
            self.rings.commit_ring(ring, {}, (), "created", len(owners))

    def reassign_restarted(self) -> bool:
        """Reassign the stripes of an earlier incarnation of the target to the current one, which holds none.

        So are stripes that the target does not hold and whose tokens are of an earlier era. The same write
        gives new fencing tokens to the stripes of other nodes whose targets have restarted.
        Returns whether a write was begun or is waiting for its delay.
        """
        ring = self.local_ring
        if self.must_release_all or self.keeper.remaining_seconds <= 0.0:
            return False
        local_stripes = set(self.local_stripes())
        withheld = self.withheld_stripes(local_stripes)
        stale = (set(ring.stripes_of(self.node)) - local_stripes) | withheld
        if not stale:
            self.reassign_at = None
            return False
        if self.reassign_at is None:
            delay = self.rng.uniform(0.0, REASSIGN_JITTER_SECONDS_PER_OWNER * len(ring.owners))
            self.reassign_at = self.now + delay
            self.app.scheduler.call_later(delay, self.reconcile)
        if self.now < self.reassign_at:
            return True
        moves: dict[int, Owner | None] = {}
        if withheld and withheld == local_stripes:
            # The grants of others have probably expired too; new tokens do no harm to one that still holds.
            moves.update(ring_edits.outdated_stripes(self.base_ring))
        moves.update(dict.fromkeys(stale, self.local_owner))
        for owner in self.restarted_owners():
            moves.update(dict.fromkeys(ring.stripes_of(owner.node), owner))
        self.reassign_at = None
        handover_tokens = {index: self.handover_tokens.get(index, "") for index in withheld}
        self.rings.commit_ring(
            ring_edits.reassign_stripes(self.base_ring, moves, handover_tokens),
            {},
            (),
            "restarted",
            len(moves),
        )
        return True

    def withheld_stripes(self, local_stripes: set[int]) -> set[int]:
        """Return the stripes that the target needs new fencing tokens for."""
        heartbeat = self.target.last_heartbeat
        if heartbeat is None or heartbeat.incarnation != self.target.incarnation:
            return set()
        stripes = local_stripes - set(self.outgoing_stripes)
        return stripes - self.grantable(stripes, heartbeat)

    def restarted_owners(self) -> list[Owner]:
        """Return other nodes' targets whose current incarnation is newer than the one in the ring."""
        started: dict[str, int] = {}
        for owner in self.local_ring.owners:
            started[owner.node] = max(started.get(owner.node, 0), owner.started_ms)
        return [
            owner
            for owner in self.eligible_owners
            # A node's row may be older than the ring, and then names the earlier incarnation.
            if owner.node != self.node and owner.started_ms > started.get(owner.node, owner.started_ms)
        ]

    def safe_to_transfer(self, index: int) -> bool:
        """Return whether the target certainly no longer serves a stripe."""
        ring, target, now = self.local_ring, self.target, self.now
        longest_grant = GRANT_SECONDS * TARGET_CLOCK_DRIFT_FACTOR
        if now > max(
            self.process_started_at + longest_grant, self.granted_until + longest_grant - GRANT_SECONDS
        ):
            return True
        if target.process_ended or index in self.handover_tokens:
            return True
        if target.last_heartbeat is None:
            return False
        if ring.owners[ring.stripes[index].owner_index].incarnation != target.last_heartbeat.incarnation:
            # An earlier incarnation of the target has ended and serves nothing.
            return True
        if target.last_heartbeat_at <= self.revoked_at.get(index, now):
            return False
        first, last = ring.key_bounds(index)
        return not any(held.first <= last and held.last >= first for held in target.last_heartbeat.held)

    def transfer_outgoing(self) -> bool:
        """Transfer the stripes that must move and that the target no longer serves.

        Returns whether a write or the read before it was begun.
        """
        ring = self.local_ring
        if self.keeper.remaining_seconds <= 0.0:
            return False
        owned = ring.stripes_of(self.node)
        self.outgoing_stripes = {
            index: owner for index, owner in self.outgoing_stripes.items() if index in owned
        }
        leaving = owned if self.must_release_all else list(self.outgoing_stripes)
        movable = [index for index in leaving if self.safe_to_transfer(index)]
        if not movable:
            return self.read_owners_early(owned)
        if not self.must_release_all:
            moves = {index: self.outgoing_stripes[index] for index in movable}
            self.rings.commit_ring(
                ring_edits.reassign_stripes(self.base_ring, moves, self.handover_tokens),
                {},
                (),
                "rebalanced",
                len(moves),
            )
            return True
        alive = self.recent_live_owners()
        if alive is not None:
            self.transfer_all(movable, alive)
        else:
            self.read_leases(lambda alive, _lost: self.transfer_all(movable, alive))
        return True

    def read_owners_early(self, owned: list[int]) -> bool:
        """Read who may get the keys of an evacuated target before it releases them.

        Returns whether a read was begun.
        """
        if not owned or not self.evacuated or not self.may_serve_evacuated or self.keeps_keys:
            return False
        if self.recent_live_owners() is not None:
            return False
        self.read_leases(lambda _alive, _lost: self.app.scheduler.call_later(0.0, self.reconcile))
        return True

    def recent_live_owners(self) -> list[Owner] | None:
        """Return the eligible owners that were alive a short time ago, or None if that is not known."""
        if self.now - self.live_owners_at > OWNERS_REUSE_SECONDS:
            return None
        eligible = set(self.members.eligible_owners(self.settings.service))
        return [owner for owner in self.live_owners if owner in eligible]

    def notify_moved(self) -> None:
        """Notify the listeners which nodes this node has given keys in an evacuation."""
        nodes, self.receiving_nodes = self.receiving_nodes, set()
        if nodes:
            for listener in self.on_moved:
                listener(nodes)

    def transfer_all(self, movable: list[int], alive: list[Owner]) -> None:
        """Transfer the stripes of a departing target to other owners; without any, nothing is written.

        While the leases were read, the ring may have changed, or the target come back and got a grant.
        """
        ring = self.local_ring
        if ring is None or not self.must_release_all:
            return
        owned = set(ring.stripes_of(self.node))
        movable = [index for index in movable if index in owned and self.safe_to_transfer(index)]
        if not movable:
            return
        receivers = [owner for owner in alive if owner.node != self.node]
        if not receivers or self.store_era.settling:
            return
        distribution = ring_edits.distribute_stripes(ring, movable, receivers, self.stripe_weight)
        moves, joined = distribution.moves, distribution.joined
        tokens = {index: token for index, token in self.handover_tokens.items() if index not in joined}
        if self.evacuated:
            self.receiving_nodes = {owner.node for owner in moves.values() if owner is not None}
        self.rings.commit_ring(
            ring_edits.reassign_stripes(self.base_ring, moves, tokens),
            {},
            (),
            "left",
            len(moves),
        )

    def check_leases(self) -> None:
        """Read the leases at intervals, and act on expired ones, unowned stripes and uneven load."""
        now = self.now
        interval = (
            LEASE_CHECK_INTERVAL_SECONDS
            if self.lease_check_rank < PRIMARY_LEASE_CHECKERS
            else STANDBY_LEASE_CHECK_INTERVAL_SECONDS
        )
        interval *= 1.0 + 0.2 * self.lease_check_rank
        if self.local_load().ratio > OVERLOAD_RATIO and now - self.offloaded_at > OFFLOAD_COOLDOWN_SECONDS:
            interval = min(interval, OFFLOAD_CHECK_INTERVAL_SECONDS)
        if now - self.leases_checked_at < interval or not self.members.store_reachable:
            return
        if (
            now - self.store_unreachable_at < STORE_RECOVERY_GRACE_SECONDS
            or self.must_release_all
            or not self.keeper.ring_synced
        ):
            return
        self.leases_checked_at = now
        self.read_leases(self.take_over)

    def read_leases(self, callback: Callable[[list[Owner], dict[str, int]], None]) -> None:
        """Read the leases of the service, and pass ``callback`` the live owners and the lost nodes.

        Lost nodes come with the version of their lease row, 0 when there is none. Without an answer of the
        store, ``callback`` is not called.
        """
        ring = self.local_ring
        nodes = ring.owner_nodes() | {owner.node for owner in self.eligible_owners}
        prefix = lease_key(self.settings.service, "")
        self.reading_leases = True

        def on_rows(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            self.reading_leases = False
            if not isinstance(result, Success):
                return
            rows = result.unwrap()
            lost = self.expired_nodes({node: rows.get(prefix + node) for node in nodes})
            alive = [
                owner
                for owner in self.members.eligible_owners(self.settings.service)
                if owner.node not in lost
                and owner.node not in self.unreadable_leases
                and prefix + owner.node in rows
            ]
            self.live_owners, self.live_owners_at = alive, self.now
            callback(alive, lost)

        self.table.read(tuple(prefix + node for node in sorted(nodes)), on_rows)

    def expired_nodes(self, rows: Mapping[str, Row | None]) -> dict[str, int]:
        """Return the nodes with an expired lease and its row version, and store the loads of the others."""
        expired: dict[str, int] = {}
        self.owner_loads = {}
        store_time = self.table.store_time
        for node, row in rows.items():
            if node == self.node:
                continue
            if row is None:
                self.unreadable_leases.pop(node, None)
                since = self.lease_missing_since.setdefault(node, self.now)
                if self.now - since > MISSING_LEASE_TIMEOUT_SECONDS:
                    expired[node] = 0
                continue
            self.lease_missing_since.pop(node, None)
            lease = readable_lease(node, row, store_time)
            if lease is None:
                if self.unreadable_seconds(node, row.version) > UNREADABLE_LEASE_TIMEOUT_SECONDS:
                    expired[node] = row.version
                continue
            self.unreadable_leases.pop(node, None)
            if is_expired(lease, store_time):
                expired[node] = row.version
            else:
                self.owner_loads[node] = lease.load
        return expired

    def unreadable_seconds(self, node: str, version: int) -> float:
        """Return for how long this version of a node's lease row has been known to be unreadable."""
        known, since = self.unreadable_leases.get(node, (0, 0.0))
        if known != version:
            since = self.now
            self.unreadable_leases[node] = version, since
        return self.now - since

    def take_over(self, alive: list[Owner], lost: dict[str, int]) -> None:
        """Reassign the stripes of lost nodes, and unowned stripes, to the live owners."""
        ring = self.local_ring
        if self.reading_leases or self.rings.write_in_progress or ring is None or not alive:
            return
        if self.store_era.settling:
            return
        lost_stripes = [index for node in lost for index in ring.stripes_of(node)]
        unowned = ring.unowned_stripes()
        if not lost_stripes and not unowned:
            self.start_rebalance(alive)
            self.start_offload(alive)
            return
        counts = ring.stripe_counts()
        lost_owners = sorted((node for node in lost if counts.get(node)), key=lambda node: -counts[node])
        if len(lost_owners) > MAX_LOST_OWNERS_PER_WRITE:
            lost_owners = lost_owners[:MAX_LOST_OWNERS_PER_WRITE]
            lost_stripes = [index for node in lost_owners for index in ring.stripes_of(node)]
            # Once this write has succeeded, the others follow without waiting for the next check.
            self.leases_checked_at = float("-inf")
        moves = ring_edits.distribute_stripes(ring, lost_stripes + unowned, alive, self.stripe_weight).moves
        prefix = lease_key(self.settings.service, "")
        checks = {prefix + node: lost[node] for node in lost_owners}
        deletes = [
            key
            for node in lost_owners
            if lost[node]
            for key in (prefix + node, claim_key(self.settings.service, node))
        ]
        for node in lost_owners:
            version = self.members.row_versions.get(NODE_PREFIX + node, 0)
            if version and node in self.members.nodes:
                checks[NODE_PREFIX + node] = version
                deletes.append(NODE_PREFIX + node)
        log_events.emit(
            events.OwnersGone(
                nodes=tuple(sorted(lost_owners)),
                stripes=len(lost_stripes),
                unowned=len(unowned),
                store_time_s=self.table.store_time,
            )
        )
        self.rings.commit_ring(
            ring_edits.reassign_stripes(self.base_ring, moves),
            checks,
            tuple(deletes),
            "taken_over",
            len(moves),
        )

    def stripe_weight(self, node: str) -> float:
        """Return the relative number of stripes of lost and departed owners that a node should get."""
        return stripe_weight({**self.owner_loads, self.node: self.local_load()}, node)

    def start_rebalance(self, alive: list[Owner]) -> None:
        """Start to hand stripes to owners that have far fewer, once the imbalance has lasted long enough."""
        if self.outgoing_stripes or self.must_release_all:
            return
        loaded_nodes = nodes_without_room(self.owner_loads)
        moves = ring_edits.plan_rebalance(self.local_ring, alive, self.node, loaded_nodes)
        if not moves:
            self.imbalance_since = None
            return
        if self.imbalance_since is None:
            self.imbalance_since = self.now
        if self.now - self.imbalance_since > REBALANCE_DELAY_SECONDS:
            self.imbalance_since = None
            self.outgoing_stripes = {index: owner for index, owner in moves.items() if owner is not None}
            log_events.emit(events.HandoverBegun(stripes=len(self.outgoing_stripes)))

    def start_offload(self, alive: list[Owner]) -> None:
        """Start to hand busy stripes to less loaded owners if this node's target is overloaded."""
        if (
            self.outgoing_stripes
            or self.must_release_all
            or self.now - self.offloaded_at < OFFLOAD_COOLDOWN_SECONDS
        ):
            return
        if self.now - self.rings.local_ring_changed_at < ring_quiet_seconds(len(self.local_ring.stripes)):
            return
        by_node = {owner.node: owner for owner in alive}
        loads = {node: load for node, load in self.owner_loads.items() if node in by_node}
        loads[self.node] = self.local_load()
        if not may_offload(loads, self.node):
            return
        local_stripes = set(self.local_stripes())
        rates = {stripe: rate for stripe, rate in self.key_load.rates.items() if stripe in local_stripes}
        counts = self.local_ring.stripe_counts()
        stripe_room = {node: ring_edits.MAX_RANGES_PER_TARGET - counts.get(node, 0) for node in by_node}
        moves = plan_offload(loads, self.node, rates, stripe_room)
        if not moves:
            return
        self.offloaded_at = self.now
        self.outgoing_stripes = {stripe: by_node[node] for stripe, node in moves.items()}
        log_events.emit(events.HandoverBegun(stripes=len(self.outgoing_stripes)))
