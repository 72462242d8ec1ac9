"""Ownership of key ranges by this node: its lease, what its target is to hold, and changes of the ring.

The target enforces what it holds, for a time that never outlasts this node's lease. A stripe changes hands by
one conditional write of the ring's row: by its owner, once the target has given it back or its hold has
ended, or by another node, once the owner's lease has ended on the store's clock.
"""

from __future__ import annotations

import enum
import random
import zlib
from collections.abc import Callable, Mapping

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import Row
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router import ring as ring_edits
from hibiscusdrum.internal.router.key_load import (
    BELOW_MEAN,
    OVERLOADED,
    KeyLoad,
    OwnerLoad,
    gives_first,
    mean_ratio,
    relief_pause,
    relieve,
)
from hibiscusdrum.internal.router.lease_keeper import LeaseKeeper, lease_key
from hibiscusdrum.internal.router.local_target import Grant, LocalTarget, TargetReport, TargetState
from hibiscusdrum.internal.router.members import NODE_PREFIX, Members
from hibiscusdrum.internal.router.range_lease import LeaseRow, expired
from hibiscusdrum.internal.router.ring import Owner, Ring
from hibiscusdrum.internal.router.rings import Rings
from hibiscusdrum.internal.router.settings import RouterSettings

TICK_SECONDS = 0.2
LOAD_SECONDS = 1.0
# Hold of the target in seconds: long enough for two lost reports, short enough that the keys of a target that
# went silent soon have another owner.
HOLD_SECONDS = 5.0
# A target's clock may run this much slow, which lengthens its hold.
TARGET_CLOCK_SLOW = 1.025
# The hold is counted from when the report was sent; requests are not started in its last part.
HOLD_MARGIN_SECONDS = 0.15
# Time in which all targets report for the first time before a ring is made, and without a new one.
BOOTSTRAP_SECONDS = 2.0
BOOTSTRAP_QUIET_SECONDS = 1.2
# Time between looks at the leases for the first nodes in a fixed order, and for the others.
WATCH_SECONDS = 1.0
SLOW_WATCH_SECONDS = 5.0
WATCHERS = 3
# A node without a lease row counts as gone after this long; a new owner writes its row within it.
MISSING_LEASE_SECONDS = 4.0
# After the store was away its nodes get this long to renew before they count as gone.
REGAINED_GRACE_SECONDS = 2.5
# Targets that start together each need new tokens. Each daemon waits a random time of up to this much for
# each owner, and then renews the tokens of all, so that most find theirs renewed.
ADOPT_SECONDS_PER_OWNER = 0.01
# Time between looks of an overloaded owner for others with less to do, and after a handover for that reason:
# loads are published with each renewal of a lease.
RELIEF_SECONDS = 3.0
AFTER_RELIEF_SECONDS = 6.0
# Requests for keys that are to be given away are refused this long before the target's next report, so that
# none is still queued when the target gives them back.
LAST_SERVED_SECONDS = 0.4
# A newcomer waits this long for stripes of others, so that restarts in a row do not move keys each time.
REBALANCE_SECONDS = 2.0


class KeyState(enum.Enum):
    """What this node can do with a request for a key."""

    HELD = "held"
    EXPECTED = "expected"
    FOREIGN = "foreign"


class RangeOwner(Service):
    """Owns ranges for this node's target, and takes over those of gone owners.

    Attributes
    ----------
    partitioned : bool or None
        Whether the service is divided by key; None until the configuration is known.
    giving : dict of int to Owner
        Stripes that are being handed to other owners.
    on_granted : list of callable
        Called when the target has been given keys.
    """

    service_name = "range_owner"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.node = settings.node
        self.partitioned: bool | None = None
        self.started_at = 0.0
        self.busy = False
        self.giving: dict[int, Owner] = {}
        self.granted: set[int] = set()
        self.granted_until = 0.0
        self.granted_life = ""
        self.ungranted_at: dict[int, float] = {}
        self.released: dict[int, str] = {}
        self.owners_changed_at = 0.0
        self.known_owners: list[Owner] = []
        self.first_owner_at: float | None = None
        self.watched_at = 0.0
        self.missing_since: dict[str, float] = {}
        self.reachable_since = 0.0
        self.uneven_since: float | None = None
        self.adopt_at: float | None = None
        self.key_load = KeyLoad()
        self.loads: dict[str, OwnerLoad] = {}
        self.relieved_at = float("-inf")
        self.rng = random.Random(settings.node)
        self.on_granted: list[Callable[[], None]] = []

    def on_start(self) -> None:
        """Follow rows and the target."""
        self.started_at = self.now
        self.table = self.app.find("table")
        self.members: Members = self.app.find("members")
        self.target: LocalTarget = self.app.find("local_target")
        self.rings: Rings = self.app.find("rings")
        self.rings.on_written.append(self.forget_tokens)
        # Many nodes write the same row: the sooner after a read, the fewer others come in between.
        self.rings.on_reread = self.tick
        self.members.on_change.append(self.on_members)
        self.target.grant = self.grant
        self.target.grants_soon = self.grants_soon
        self.target.on_change.append(self.on_target)
        self.keeper: LeaseKeeper = self.app.find("lease_keeper")
        self.keeper.on_first_write = self.read_ring
        self.keeper.load = self.own_load
        self.app.scheduler.every(TICK_SECONDS, self.tick)

    @property
    def now(self) -> float:
        """Steady time in seconds."""
        return self.app.clock.monotonic()

    @property
    def ring(self) -> Ring | None:
        """The ring of this node's service."""
        return self.rings.own

    def set_partitioned(self, partitioned: bool) -> None:
        """Take over whether this node's service is divided by key."""
        self.partitioned = partitioned

    # Rows

    def on_members(self) -> None:
        """Note when the owners last changed."""
        owners = self.members.owners(self.settings.service)
        if owners != self.known_owners:
            self.known_owners = owners
            self.owners_changed_at = self.now
            if owners and self.first_owner_at is None:
                self.first_owner_at = self.now

    def on_target(self) -> None:
        """Act at once when the target starts anew, drains or goes."""
        if self.partitioned:
            self.app.scheduler.call_later(0.0, self.tick)

    # The target

    @property
    def me(self) -> Owner:
        """The target of this node as an owner."""
        return Owner(self.node, self.target.life)

    def mine(self) -> list[int]:
        """Return the stripes that the present start of the target owns."""
        ring, me = self.ring, self.me
        if ring is None or not me.life:
            return []
        return [
            index
            for index, stripe in enumerate(ring.stripes)
            if stripe.owner != ring_edits.UNOWNED and ring.owners[stripe.owner] == me
        ]

    @property
    def emptying(self) -> bool:
        """Whether the target is to give all its keys back."""
        return not self.target.ready or self.settings.failure_domain in self.members.evacuated

    def grant(self, report: TargetReport) -> Grant | None:
        """Answer a report with everything that the target is to hold, or None to renew nothing."""
        if not self.partitioned:
            return None
        self.note_released(report)
        now, ring = self.now, self.ring
        remaining = self.keeper.remaining / TARGET_CLOCK_SLOW
        seconds = min(self.settings.longest_hold, HOLD_SECONDS, remaining)
        if ring is None or seconds <= HOLD_MARGIN_SECONDS:
            return None
        keep = set() if self.emptying else set(self.mine()) - set(self.giving) - self.rings.uncertain
        for index in self.granted - keep:
            self.ungranted_at[index] = now
        for index in keep:
            self.ungranted_at.pop(index, None)
            self.released.pop(index, None)
        gained = keep - self.granted or report.life != self.granted_life
        self.granted, self.granted_life = keep, report.life
        # The target counts its hold from when it sent the report, which may have been answered late.
        self.granted_until = self.target.reported_at + seconds
        ranges = ring.ranges(keep)[: ring_edits.LARGEST_RANGE_COUNT + 20]
        if gained:
            self.app.scheduler.call_later(0.0, self.tell_granted)
        return Grant(ranges, seconds)

    def grants_soon(self) -> bool:
        """Return whether the target's keys wait only for a first read or a write of this node."""
        ring = self.ring
        if not self.members.reachable:
            return False
        if self.partitioned is None or not self.members.loaded:
            return True
        if not self.partitioned or self.emptying or ring is None:
            return False
        if not ring.owned_by(self.node):
            return False
        return self.keeper.remaining <= HOLD_MARGIN_SECONDS or not self.mine()

    def own_load(self) -> OwnerLoad:
        """Return the load of this node's target."""
        report = self.target.report
        return self.key_load.load(report.slots if report is not None else 1)

    def note_request(self, key: int) -> None:
        """Count a request for a key of this node, admitted or not."""
        ring = self.ring
        if ring is not None:
            self.key_load.note(ring.index(key))

    def hold_lost(self) -> None:
        """Note that the target does not hold what it was given; its next report renews it."""
        self.granted = set()

    def tell_granted(self) -> None:
        """Tell the listeners that requests for new keys may be sent."""
        log_events.emit(
            events.KeysGranted(
                stripes=len(self.granted),
                version=self.rings.version,
                hold_s=round(self.granted_until - self.now, 3),
            )
        )
        for listener in self.on_granted:
            listener()

    def note_released(self, report: TargetReport) -> None:
        """Note the handover tokens of stripes that the target gave back."""
        ring = self.ring
        if ring is None:
            return
        for released in report.released:
            for index in range(ring.index(released.first), ring.index(released.last) + 1):
                if index not in self.granted:
                    self.released[index] = released.token
        if report.released and (self.giving or self.emptying):
            self.app.scheduler.call_later(0.0, self.tick)

    def state(self, key: int) -> KeyState:
        """Return what this node can do with a request for a key now."""
        ring = self.ring
        if ring is None or not self.partitioned:
            return KeyState.FOREIGN
        index = ring.index(key)
        stripe = ring.stripes[index]
        if stripe.owner == ring_edits.UNOWNED or ring.owners[stripe.owner].node != self.node:
            return KeyState.FOREIGN
        if (self.emptying or index in self.giving) and not self.still_served(index):
            return KeyState.FOREIGN
        held = index in self.granted and self.granted_life == self.target.life
        if held and self.now < self.granted_until - HOLD_MARGIN_SECONDS:
            return KeyState.HELD
        return KeyState.EXPECTED

    def still_served(self, index: int) -> bool:
        """Return whether a stripe that is to be given away is served until the target's next report.

        The target holds it until that report is answered without it. A target that drains, or whose failure
        domain is evacuated, may get work for longer than that.
        """
        if self.target.state is TargetState.ABSENT:
            return False
        next_report = self.target.reported_at + self.settings.heartbeat
        return index in self.granted and self.now < next_report - LAST_SERVED_SECONDS

    # Periodic work

    def tick(self) -> None:
        """Renew the lease, and do the most urgent change of the ring."""
        if not self.partitioned or not self.members.loaded:
            return
        if self.now - (self.key_load.updated_at or 0.0) >= LOAD_SECONDS:
            self.key_load.update(self.now)
        if not self.members.reachable:
            self.reachable_since = self.now
        if self.target.ready or (self.ring is not None and self.ring.owned_by(self.node)):
            self.keeper.renew()
        if self.busy or self.rings.busy:
            return
        if self.ring is None:
            self.bootstrap()
        elif self.rings.uncertain:
            self.rings.commit(self.ring, {}, (), "settled", len(self.rings.uncertain))
        elif not self.adopt_new_life() and not self.give_away():
            self.watch()

    def read_ring(self) -> None:
        """Read the ring after the first write of a lease: it may have been changed while there was none."""

        def done(read: bool) -> None:
            self.keeper.synced = self.keeper.synced or read

        self.rings.read(done)

    def forget_tokens(self) -> None:
        """Drop the handover tokens of stripes that now belong to others."""
        mine = set(self.mine())
        self.released = {index: token for index, token in self.released.items() if index in mine}

    # Changes of the ring

    @property
    def rank(self) -> int:
        """Position of this node in a fixed order of the service's nodes, in which domains are mixed."""
        names = sorted(
            (owner.node for owner in self.known_owners), key=lambda name: zlib.crc32(name.encode())
        )
        return names.index(self.node) if self.node in names else len(names)

    def bootstrap(self) -> None:
        """Make the ring when all targets have had time to report."""
        now = self.now
        owners = self.members.owners(self.settings.service)
        if self.first_owner_at is None or not self.keeper.synced:
            return
        waited = now - self.first_owner_at - self.rank * 0.5
        if owners and waited > BOOTSTRAP_SECONDS and now - self.owners_changed_at > BOOTSTRAP_QUIET_SECONDS:
            self.rings.commit(ring_edits.create(owners), {}, (), "created", len(owners))

    def adopt_new_life(self) -> bool:
        """Give the stripes of an earlier start of the target to the present one, which holds nothing.

        Those of other nodes whose targets have started anew get new tokens by the same write.
        """
        ring = self.ring
        if self.emptying or self.keeper.remaining <= 0.0:
            return False
        stale = set(ring.owned_by(self.node)) - set(self.mine())
        if not stale:
            self.adopt_at = None
            return False
        if self.adopt_at is None:
            delay = self.rng.uniform(0.0, ADOPT_SECONDS_PER_OWNER * len(ring.owners))
            self.adopt_at = self.now + delay
            self.app.scheduler.call_later(delay, self.tick)
        if self.now < self.adopt_at:
            return True
        moves: dict[int, Owner | None] = dict.fromkeys(stale, self.me)
        for owner in self.restarted_elsewhere():
            moves.update(dict.fromkeys(ring.owned_by(owner.node), owner))
        self.adopt_at = None
        self.rings.commit(ring_edits.reassign(ring, moves), {}, (), "restarted", len(moves))
        return True

    def restarted_elsewhere(self) -> list[Owner]:
        """Return the present starts of other nodes' targets that the ring knows only by an earlier start."""
        started: dict[str, int] = {}
        for owner in self.ring.owners:
            started[owner.node] = max(started.get(owner.node, 0), owner.started_ms)
        return [
            owner
            for owner in self.known_owners
            # The row of a node may be older than the ring, and then names the earlier start.
            if owner.node != self.node and owner.started_ms > started.get(owner.node, owner.started_ms)
        ]

    def movable(self, index: int) -> bool:
        """Return whether the target surely holds a stripe no more."""
        ring, target, now = self.ring, self.target, self.now
        longest_hold = HOLD_SECONDS * TARGET_CLOCK_SLOW
        if now > max(self.started_at + longest_hold, self.granted_until + longest_hold - HOLD_SECONDS):
            return True
        if target.ended or index in self.released:
            return True
        if target.report is None:
            return False
        if ring.owners[ring.stripes[index].owner].life != target.report.life:
            # An earlier start of the target holds nothing any more.
            return True
        if target.reported_at <= self.ungranted_at.get(index, now):
            return False
        first, last = ring.bounds(index)
        return not any(held.first <= last and held.last >= first for held in target.report.held)

    def give_away(self) -> bool:
        """Hand over stripes that are to leave, as far as the target has given them back."""
        ring = self.ring
        if self.keeper.remaining <= 0.0:
            return False
        owned = ring.owned_by(self.node)
        self.giving = {index: owner for index, owner in self.giving.items() if index in owned}
        leaving = owned if self.emptying else list(self.giving)
        movable = [index for index in leaving if self.movable(index)]
        if not movable:
            return False
        if not self.emptying:
            moves = {index: self.giving[index] for index in movable}
            self.rings.commit(
                ring_edits.reassign(ring, moves, self.released), {}, (), "rebalanced", len(moves)
            )
            return True
        self.with_leases(lambda alive, _dead: self.give_all(movable, alive))
        return True

    def give_all(self, movable: list[int], alive: list[Owner]) -> None:
        """Give stripes of a target that leaves to others, or to nobody when there is none."""
        ring = self.ring
        receivers = [owner for owner in alive if owner.node != self.node]
        if not receivers:
            return
        moves = ring_edits.spread(ring, movable, receivers)
        self.rings.commit(ring_edits.reassign(ring, moves, self.released), {}, (), "left", len(moves))

    def watch(self) -> None:
        """Look for owners whose lease has ended and for stripes without an owner."""
        now = self.now
        interval = WATCH_SECONDS if self.rank < WATCHERS else SLOW_WATCH_SECONDS
        interval *= 1.0 + 0.2 * self.rank
        if self.own_load().ratio > OVERLOADED and now - self.relieved_at > AFTER_RELIEF_SECONDS:
            interval = min(interval, RELIEF_SECONDS)
        if now - self.watched_at < interval or not self.members.reachable:
            return
        if now - self.reachable_since < REGAINED_GRACE_SECONDS or self.emptying or not self.keeper.synced:
            return
        self.watched_at = now
        self.with_leases(self.take_over)

    def with_leases(self, act: Callable[[list[Owner], dict[str, int]], None]) -> None:
        """Read the leases of the service; ``act`` gets the owners with a valid one, and the gone nodes."""
        ring = self.ring
        nodes = ring.nodes() | {owner.node for owner in self.known_owners}
        prefix = lease_key(self.settings.service, "")
        self.busy = True

        def done(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            self.busy = False
            if not isinstance(result, Success):
                return
            rows = result.unwrap()
            gone = self.gone_nodes({node: rows.get(prefix + node) for node in nodes})
            alive = [
                owner
                for owner in self.members.owners(self.settings.service)
                if owner.node not in gone and prefix + owner.node in rows
            ]
            act(alive, gone)

        self.table.read(tuple(prefix + node for node in sorted(nodes)), done)

    def gone_nodes(self, rows: Mapping[str, Row | None]) -> dict[str, int]:
        """Return the nodes whose lease has ended, with the version of its row."""
        gone: dict[str, int] = {}
        self.loads = {}
        stamp = self.table.stamp
        for node, row in rows.items():
            if node == self.node:
                continue
            if row is None:
                since = self.missing_since.setdefault(node, self.now)
                if self.now - since > MISSING_LEASE_SECONDS:
                    gone[node] = 0
                continue
            self.missing_since.pop(node, None)
            lease = msgspec.convert(row.value, LeaseRow)
            if expired(lease, stamp):
                gone[node] = row.version
            else:
                self.loads[node] = lease.load
        return gone

    def take_over(self, alive: list[Owner], gone: dict[str, int]) -> None:
        """Give the stripes of gone nodes, and those without an owner, to the others."""
        ring = self.ring
        if self.busy or self.rings.busy or ring is None or not alive:
            return
        lost = [index for node in gone for index in ring.owned_by(node)]
        free = ring.unowned()
        if not lost and not free:
            self.consider_rebalance(alive)
            self.consider_relief(alive)
            return
        moves = ring_edits.spread(ring, lost + free, alive)
        prefix = lease_key(self.settings.service, "")
        owners = [node for node in gone if ring.owned_by(node)]
        checks = {prefix + node: gone[node] for node in owners}
        deletes = [prefix + node for node in owners if gone[node]]
        for node in owners:
            version = self.members.versions.get(NODE_PREFIX + node, 0)
            if version and node in self.members.nodes:
                checks[NODE_PREFIX + node] = version
                deletes.append(NODE_PREFIX + node)
        log_events.emit(
            events.OwnersGone(
                nodes=tuple(sorted(owners)),
                stripes=len(lost),
                unowned=len(free),
                store_time_s=self.table.stamp,
            )
        )
        self.rings.commit(ring_edits.reassign(ring, moves), checks, tuple(deletes), "taken_over", len(moves))

    def consider_rebalance(self, alive: list[Owner]) -> None:
        """Begin to hand stripes to owners that have far fewer."""
        if self.giving or self.emptying:
            return
        mean = mean_ratio(self.loads)
        sated = [node for node, load in self.loads.items() if mean and load.ratio >= mean * BELOW_MEAN]
        moves = ring_edits.rebalance(self.ring, alive, self.node, sated)
        if not moves:
            self.uneven_since = None
            return
        if self.uneven_since is None:
            self.uneven_since = self.now
        if self.now - self.uneven_since > REBALANCE_SECONDS:
            self.uneven_since = None
            self.giving = {index: owner for index, owner in moves.items() if owner is not None}
            log_events.emit(events.HandoverBegun(stripes=len(self.giving)))

    def consider_relief(self, alive: list[Owner]) -> None:
        """Begin to hand busy stripes to owners with less to do, if this node's target is overloaded."""
        if self.giving or self.emptying or self.now - self.relieved_at < AFTER_RELIEF_SECONDS:
            return
        if self.now - self.rings.changed_at < relief_pause(len(self.ring.stripes)):
            return
        by_node = {owner.node: owner for owner in alive}
        loads = {node: load for node, load in self.loads.items() if node in by_node}
        loads[self.node] = self.own_load()
        if not gives_first(loads, self.node):
            return
        mine = set(self.mine())
        rates = {stripe: rate for stripe, rate in self.key_load.rates.items() if stripe in mine}
        counts = self.ring.counts()
        full = {node for node in by_node if counts.get(node, 0) >= ring_edits.LARGEST_RANGE_COUNT}
        open_loads = {node: load for node, load in loads.items() if node not in full or node == self.node}
        moves = relieve(open_loads, self.node, rates)
        if not moves:
            return
        self.relieved_at = self.now
        self.giving = {stripe: by_node[node] for stripe, node in moves.items()}
        log_events.emit(events.HandoverBegun(stripes=len(self.giving)))
