"""Event-driven model of nodes, network and table that runs the ownership decisions of the product.

Time is simulated. Each node has a clock of its own rate; messages and table requests are delayed, lost,
repeated and reordered; nodes pause between reading and acting, crash and restart. After every event the
model checks that no slice has two owners and that no slice is missing from the table. Rules can be left out
by name to show that the check finds what the rule prevents.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any

from hibiscusdrum.internal.ownership import guards, handover, takeover
from hibiscusdrum.internal.ownership.guard import GRANTED, LeaseGuard, Lessee, RenewalDecision
from hibiscusdrum.internal.ownership.keys import slice_of
from hibiscusdrum.internal.ownership.lease import GUARD_TIMEOUT_SECONDS, LEASE_TERM_SECONDS, LeaseHolder
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.ring_edit import row_to_json
from hibiscusdrum.internal.ownership.rows import (
    LeaseRow,
    OwnerRow,
    RingRow,
    lease_key,
    owner_key,
    ring_key,
)
from hibiscusdrum.internal.platform.table import SEQUENCE_PLACEHOLDER, Transaction

SERVICE, REGION = "wappensuche", "ost"
TICK_SECONDS = 0.1
POLL_SECONDS = 0.5
# A node is usable as guard if its validity was heard this recently (it is told every 0.4 s), and if it did
# not fail to answer as guard in the longer time.
USABLE_SECONDS = 0.6
FAILED_SECONDS = 2.0
TABLE_TIMEOUT_SECONDS = 0.25
TABLE_ATTEMPTS = 3

# When a write takes effect whose sender was killed, and when the sender is back.
LATE_WRITE_SECONDS = (0.1, 6.0)
RESTART_SECONDS = 0.5

# Above this, an event for each pair of nodes would dominate the run time of the model.
MAX_GOSSIP_EVENTS_NODES = 16

# Rules that can be left out, with what is done instead.
RULES = {
    "count_from_send": "a grant counts from when it was received",
    "grant_only_while_valid": "a guard grants while its own lease is not valid",
    "owner_changes_guard": "any node may rewrite the guard of another node",
    "wait_after_duties": "a guard that took over guard duties does not wait a term",
    "wait_from_read": "a new guard does not wait a term from reading the row",
    "wait_from_grant": "a guard does not wait a term from its last grant",
    "clock_margin": "the guard's wait has no margin for clock rates",
    "version_as_read": "the takeover depends on the guard's name, not on the version as read",
    "grant_bound_to_version": "a grant requested under an older version of the lease row counts",
    "no_count_while_changing": "grants requested after sending a change of guard count",
    "change_ends_on_newer_row": "reading the old row again ends a change of guard with unknown outcome",
    "refuse_during_takeover": "a guard goes on granting after it started a takeover",
    "refuse_while_unknown": "a guard starts over when the outcome of its takeover is unknown",
    "limit_after_self_guard": "a self-guarded lease keeps no limit while its guard is being changed",
    "self_guard_untouchable": "another node takes over a self-guarded node",
    "conditional_recovery": "recovery by self-guard does not depend on the row's version",
    "hold_until_known": "a source serves handed-over slices again when the outcome is unknown",
}


class ModelHolder(LeaseHolder):
    """Lease holder that can leave rules out."""

    __slots__ = ("cluster",)

    def __init__(self, node: str, incarnation: str, cluster: Cluster) -> None:
        super().__init__(node, incarnation, LEASE_TERM_SECONDS)
        self.cluster = cluster

    @property
    def omit(self) -> frozenset[str]:
        """Rules left out."""
        return self.cluster.omit

    def apply_row(self, row: LeaseRow, version: int, now: float) -> None:
        """Adopt a row."""
        pending = dict(self.pending_renewals)
        super().apply_row(row, version, now)
        if "grant_bound_to_version" in self.omit:
            self.pending_renewals.update(pending)

    def reread(self, version: int) -> None:
        """Note that the row was read again with the version known before."""
        if version == self.lease_version and "change_ends_on_newer_row" in self.omit:
            self.guard_change_pending = False

    def on_granted(self, nonce: int, lease_version: int, now: float) -> bool:
        """Count a grant."""
        pending = self.pending_renewals.get(nonce)
        if pending is not None:
            if "count_from_send" in self.omit:
                pending.sent_at = now
            if "no_count_while_changing" in self.omit:
                pending.extends_lease = True
            if "grant_bound_to_version" in self.omit:
                pending.lease_version = lease_version = self.lease_version
                pending.extends_lease = not self.guard_change_pending
        return super().on_granted(nonce, lease_version, now)

    def begin_guard_change(self, now: float) -> None:
        """Begin a change."""
        expiry = self.expiry
        super().begin_guard_change(now)
        if "limit_after_self_guard" in self.omit:
            self.expiry = expiry


class ModelGuard(LeaseGuard):
    """Guard table that can leave rules out."""

    __slots__ = ("cluster",)

    def __init__(self, node: str, cluster: Cluster) -> None:
        super().__init__(node, LEASE_TERM_SECONDS)
        self.cluster = cluster

    @property
    def omit(self) -> frozenset[str]:
        """Rules left out."""
        return self.cluster.omit

    @property
    def takeover_wait(self) -> float:
        """Return the wait, without the margin if that is left out."""
        return self.term if "clock_margin" in self.omit else super().takeover_wait

    def apply_row(self, row: LeaseRow | None, node: str, version: int, now: float) -> None:
        """Observe a row."""
        known = self.lessees.get(node)
        super().apply_row(row, node, version, now)
        lessee = self.lessees.get(node)
        if lessee is not None and lessee is not known and "wait_from_read" in self.omit:
            lessee.takeover_at = now

    def decide_renewal(
        self, node: str, incarnation: str, lease_version: int, own_lease_valid: bool, now: float
    ) -> RenewalDecision:
        """Decide on a renewal."""
        omit = self.omit
        lessee = self.lessees.get(node)
        taking_over = lessee is not None and lessee.takeover_started
        if taking_over and "refuse_during_takeover" in omit:
            lessee.takeover_started = False
        deadline = lessee.takeover_at if lessee is not None else 0.0
        valid = own_lease_valid or "grant_only_while_valid" in omit
        decision = super().decide_renewal(node, incarnation, lease_version, valid, now)
        if lessee is not None:
            lessee.takeover_started = taking_over
            if "wait_from_grant" in omit:
                lessee.takeover_at = deadline
        return decision

    def end_takeover(self, node: str, committed: bool | None, now: float) -> None:
        """End a takeover."""
        restart = committed is None and "refuse_while_unknown" in self.omit
        super().end_takeover(node, False if restart else committed, now)
        lessee = self.lessees.get(node)
        if restart and lessee is not None:
            lessee.takeover_at = now + self.takeover_wait


class ModelTable:
    """Table service in memory: versions, conditional transactions and operation ids."""

    def __init__(self) -> None:
        self.seq = 0
        self.rows: dict[str, tuple[int, Any]] = {}
        self.results: dict[str, int | None] = {}
        self.on_commit: list[Callable[[], None]] = []

    def commit(self, transaction: Transaction, name_check: tuple[str, str] | None = None) -> int | None:
        """Return the sequence number, None on a conflict; a repeated operation returns its first result."""
        if transaction.operation_id in self.results:
            return self.results[transaction.operation_id]
        result = None
        if all(self._holds(key, version, name_check) for key, version in transaction.checks.items()):
            self.seq += 1
            for key, value in transaction.puts.items():
                self.rows[key] = (self.seq, _with_epoch(value, self.seq))
            for key in transaction.deletes:
                self.rows[key] = (self.seq, None)
            result = self.seq
        self.results[transaction.operation_id] = result
        for callback in self.on_commit:
            callback()
        return result

    def changes(self, since: int) -> tuple[int, list[tuple[str, int, Any]]]:
        """Return the sequence number and the rows written after ``since``."""
        rows = [(key, version, value) for key, (version, value) in self.rows.items() if version > since]
        return self.seq, rows

    def _holds(self, key: str, version: int, name_check: tuple[str, str] | None) -> bool:
        present, value = self.rows.get(key, (0, None))
        if name_check is not None and key == name_check[0]:
            return value is not None and value["guard"] == name_check[1]
        return (present if value is not None else 0) == version


class Faults:
    """Behaviour of network and table; probabilities are for each message."""

    def __init__(self, noisy: bool) -> None:
        self.delay = 0.002
        self.table_delay = 0.01
        self.drop = 0.03 if noisy else 0.0
        self.repeat = 0.03 if noisy else 0.0
        self.slow = 0.05 if noisy else 0.0
        self.slow_seconds = 2.5
        self.step_pause = 0.01 if noisy else 0.0
        self.pause_seconds = 3.0
        self.cuts: set[tuple[str, str]] = set()
        # Fixed delay in seconds from one party to another; the table is the party "table".
        self.late: dict[tuple[str, str], float] = {}
        self.table_down = False
        # Probability that the sender of a write is killed at once, and the write takes effect seconds later.
        self.kill_sender = 0.0
        # Probability that the sender of a write is killed as soon as it has learned the outcome.
        self.kill_informed = 0.0


class Process:
    """Volatile state of one run of a node."""

    def __init__(self, node: ModelNode, incarnation: str) -> None:
        self.incarnation = incarnation
        self.map = OwnershipMap()
        self.holder = ModelHolder(node.name, incarnation, node.cluster)
        self.guard = ModelGuard(node.name, node.cluster)
        self.held = 0
        self.mask = 0
        self.heard: dict[str, float] = {}
        self.failed: dict[str, float] = {}
        self.busy: set[str] = set()
        self.next_poll = 0.0


class ModelNode:
    """A node: one VM with a clock, and the process that runs on it, if any."""

    def __init__(self, cluster: Cluster, name: str, domain: str, rate: float, offset: float) -> None:
        self.cluster = cluster
        self.name = name
        self.domain = domain
        self.rate = rate
        self.offset = offset
        self.runs = 0
        self.process: Process | None = None
        self.thaw = 0.0
        self.ghost_mask = 0
        self.ghost_expiry = -math.inf

    # Clock, pauses and life cycle

    def now(self) -> float:
        """Return the node's monotonic clock."""
        return self.cluster.time * self.rate + self.offset

    def start(self) -> Process:
        """Start a new run of the process."""
        self.runs += 1
        self.process = Process(self, f"{self.name}.{self.runs}")
        process = self.process
        self.cluster.at(
            self.cluster.time + self.cluster.random.random() * TICK_SECONDS, lambda: self._loop(process)
        )
        return process

    def crash(self) -> None:
        """End the process; requests that it sent run on until the end of its lease."""
        process = self.process
        if process is None:
            return
        expiry = process.holder.expires_at(self.now())
        if expiry != math.inf and expiry > self.now():
            self.ghost_mask, self.ghost_expiry = process.mask & ~process.held, expiry
        self.process = None

    def pause(self, seconds: float) -> None:
        """Freeze the process for some true time; what arrives waits."""
        self.thaw = max(self.thaw, self.cluster.time + seconds)

    def run(self, process: Process, action: Callable[[], None], urgent: bool = False) -> None:
        """Run a step of a process now, or when the node is no longer paused."""
        if self.process is not process:
            return
        if self.cluster.time < self.thaw:
            self.cluster.at(self.thaw, lambda: self.run(process, action), urgent)
            return
        action()

    def act(self, process: Process, action: Callable[[], None]) -> None:
        """Run the rest of a step; the node may pause between its decision and its action."""
        faults, rng = self.cluster.faults, self.cluster.random
        if faults.step_pause and rng.random() < faults.step_pause:
            self.pause(rng.random() ** 2 * faults.pause_seconds)
        self.run(process, action, urgent=True)

    def serving(self) -> int:
        """Return the slices, as bits, that the node considers itself the valid owner of."""
        mask = 0
        process = self.process
        now = self.now()
        if process is not None and process.mask and process.holder.valid(now):
            mask = process.mask & ~process.held
        if self.ghost_mask:
            if now < self.ghost_expiry:
                mask |= self.ghost_mask
            else:
                self.ghost_mask = 0
        return mask

    def _loop(self, process: Process) -> None:
        if self.process is not process:
            return
        self.cluster.at(self.cluster.time + self.cluster.tick_seconds, lambda: self._loop(process))
        if self.cluster.time >= self.thaw:
            self.tick(process)

    # Periodic work

    def tick(self, process: Process) -> None:
        """Do what is due."""
        now = self.now()
        if now >= process.next_poll:
            process.next_poll = now + POLL_SECONDS
            self._poll(process)
        holder = process.holder
        if holder.row is None or holder.revoked:
            self._join(process)
            return
        if holder.renewal_due(now):
            self._renew(process, now)
        self._review_guard(process, now)
        for due in process.guard.expired_leases(now, holder.valid(now)):
            self._take_over(process, due.node, due.lease_version)
        self._adopt_orphans(process, now)
        self._claim(process, now)
        if self.cluster.omit and self.cluster.review:
            self._break_rules(process)

    def _poll(self, process: Process) -> None:
        def read(since: int = process.map.seq) -> tuple[int, list]:
            return self.cluster.table.changes(since)

        def done(result: tuple[int, list]) -> None:
            seq, rows = result
            self.act(process, lambda: self.apply(process, rows, seq))

        self.cluster.table_call(self, process, read, done, lambda: None, attempts=1)

    def apply(self, process: Process, rows: list[tuple[str, int, Any]], seq: int) -> None:
        """Apply rows that were read, received or written."""
        ownership = process.map
        changed = ownership.apply(rows, seq)
        now = self.now()
        for key in changed:
            kind, _, name = key.partition("/")
            if kind != "lease":
                continue
            row = ownership.leases.get(name)
            version = ownership.version(key) or ownership.deleted_versions[key]
            process.guard.apply_row(row, name, version, now)
            if name == self.name:
                self._own_lease(process, row, version, now)
        if seq:
            process.holder.reread(ownership.version(lease_key(self.name)))
        row = ownership.owners.get(self.name)
        process.mask = sum(1 << index for index in row.slices) if row is not None else 0
        self.cluster.check()

    def _own_lease(self, process: Process, row: LeaseRow | None, version: int, now: float) -> None:
        if row is None:
            process.holder.apply_row_deletion(version, now)
        elif row.incarnation == process.holder.incarnation or process.holder.row is not None:
            process.holder.apply_row(row, version, now)

    def _join(self, process: Process) -> None:
        holder, ownership = process.holder, process.map
        if holder.revoked:
            incarnation = f"{self.name}.{self.runs}r{holder.lease_version}"
            process.holder = holder = ModelHolder(self.name, incarnation, self.cluster)
        if not ownership.seq or self.name in ownership.leases or "join" in process.busy:
            return
        owners = {**ownership.owners, self.name: self.row()}
        guard = guards.choose_guard(
            self.name, owners, ownership.leases, lambda name: self._usable(process, name)
        )
        if guard == self.name and ownership.leases:
            return
        transaction = handover.join_transaction(
            ownership, self.row(), holder.incarnation, guard, self.cluster.operation(), self.cluster.slices
        )
        self._commit(process, "join", transaction, lambda committed: None)

    def row(self) -> OwnerRow:
        """Return the description of the node."""
        return OwnerRow(self.name, SERVICE, REGION, self.domain, self.name, self.name)

    def _renew(self, process: Process, now: float) -> None:
        ask = process.holder.start_renewal(now)
        self._gossip(process.holder.valid(now))
        if ask.guard == self.name or ask.guard not in self.cluster.nodes:
            return
        guard = self.cluster.nodes[ask.guard]
        incarnation = process.holder.incarnation
        self.act(
            process,
            lambda: self.cluster.send(
                self,
                guard,
                lambda peer, other: peer.on_renew(other, self, incarnation, ask.lease_version, ask.nonce),
            ),
        )

    def _gossip(self, valid: bool) -> None:
        """Tell all peers whether this node believes its lease valid; without events in large clusters."""
        for peer in self.cluster.nodes.values():
            if peer is self:
                continue
            if len(self.cluster.nodes) <= MAX_GOSSIP_EVENTS_NODES:
                self.cluster.send(self, peer, lambda peer, other: peer.on_gossip(other, self.name, valid))
            elif peer.process is not None and (self.name, peer.name) not in self.cluster.faults.cuts:
                peer.on_gossip(peer.process, self.name, valid)

    def on_gossip(self, process: Process, name: str, valid: bool) -> None:
        """Note whether a peer believes its lease valid."""
        if valid:
            process.heard[name] = self.now()
        else:
            process.heard.pop(name, None)

    def on_renew(
        self, process: Process, owner: ModelNode, incarnation: str, version: int, nonce: int
    ) -> None:
        """Answer a renewal request."""
        now = self.now()
        decision = process.guard.decide_renewal(
            owner.name, incarnation, version, process.holder.valid(now), now
        )
        if decision is GRANTED:
            reply = lambda peer, other: peer.on_granted(other, incarnation, nonce, version)  # noqa: E731
            self.act(process, lambda: self.cluster.send(self, owner, reply))
            return
        if decision.refusal == "unknown_version":
            self._poll(process)
        refuse = lambda peer, other: peer.on_refused(other, incarnation, nonce)  # noqa: E731
        self.cluster.send(self, owner, refuse)

    def on_granted(self, process: Process, incarnation: str, nonce: int, version: int) -> None:
        """Count a grant."""
        if process.holder.incarnation == incarnation:
            process.holder.on_granted(nonce, version, self.now())
            self.cluster.check()

    def on_refused(self, process: Process, incarnation: str, nonce: int) -> None:
        """Note a refusal."""
        if process.holder.incarnation == incarnation:
            process.holder.on_refused(nonce, self.now())

    # Guards and takeovers

    def _usable(self, process: Process, name: str) -> bool:
        now = self.now()
        failed = process.failed.get(name, -math.inf)
        return process.heard.get(name, -math.inf) > now - USABLE_SECONDS and failed < now - FAILED_SECONDS

    def _review_guard(self, process: Process, now: float) -> None:
        holder, ownership = process.holder, process.map
        if "guard" in process.busy or self.name not in ownership.owners:
            return
        guard = holder.row.guard
        if guard != self.name and holder.seconds_since_grant(now) > self.cluster.guard_silence:
            process.failed[guard] = now
            choice = guards.choose_guard(
                self.name, ownership.owners, ownership.leases, lambda name: self._usable(process, name)
            )
            if choice == self.name and holder.valid(now):
                return
        else:
            # Self-guard is left at the next tick: nobody takes a lost self-guarded node over.
            chance = 1.0 if guard == self.name else 0.1
            if not self.cluster.review or self.cluster.random.random() > chance:
                return
            choice = guards.find_better_guard(
                self.name, ownership.owners, ownership.leases, lambda name: self._usable(process, name)
            )
            if choice is None:
                return
        self.change_guard(process, choice)

    def change_guard(self, process: Process, guard: str) -> None:
        """Name another guard."""
        holder = process.holder
        transaction = handover.guard_change_transaction(
            process.map, self.name, guard, self.cluster.operation()
        )
        if guard == self.name and "conditional_recovery" in self.cluster.omit:
            transaction = Transaction(transaction.operation_id, {}, transaction.puts)

        def done(committed: bool | None) -> None:
            if committed is None:
                holder.guard_change_unknown(self.now())

        holder.begin_guard_change(self.now())
        self._commit(process, "guard", transaction, done)

    def _take_over(self, process: Process, dead: str, version: int) -> None:
        ownership = process.map
        if ownership.version(lease_key(dead)) != version or not process.guard.begin_takeover(dead):
            return
        transaction = takeover.takeover_transaction(
            ownership, dead, version, self.name, self.cluster.operation(), lambda row: True
        )
        name_check = (lease_key(dead), self.name) if "version_as_read" in self.cluster.omit else None
        waits = "wait_after_duties" not in self.cluster.omit

        def done(committed: bool | None) -> None:
            process.guard.end_takeover(dead, committed, self.now())
            if committed and not waits:
                for key in transaction.puts:
                    lessee: Lessee | None = process.guard.lessees.get(key.partition("/")[2])
                    if key.startswith("lease/") and lessee is not None:
                        lessee.takeover_at = self.now()

        self._commit(process, f"takeover {dead}", transaction, done, name_check)

    def _adopt_orphans(self, process: Process, now: float) -> None:
        if not process.holder.valid(now) or self.cluster.random.random() > 0.2:
            return
        for name in takeover.orphaned_nodes(process.map):
            if name != self.name:
                transaction = takeover.orphan_guard_transaction(
                    process.map, name, self.name, self.cluster.operation()
                )
                self._commit(process, f"adopt {name}", transaction, lambda committed: None)

    def _claim(self, process: Process, now: float) -> None:
        ring = process.map.rings.get((SERVICE, REGION))
        member = self.name in process.map.owners
        if ring is None or not ring.unowned or not member or not process.holder.valid(now):
            return
        transaction = handover.claim_transaction(process.map, self.name, self.cluster.operation())
        if transaction is not None:
            self._commit(process, "claim", transaction, lambda committed: None)

    def hand_over(self, process: Process, receiver: str, slices: list[int], hot_keys: list[int]) -> None:
        """Hand slices and hot keys over while serving."""
        transaction = handover.handover_transaction(
            process.map, self.name, receiver, slices, hot_keys, self.cluster.operation()
        )
        bits = sum(1 << index for index in slices)
        process.held |= bits

        def done(committed: bool | None) -> None:
            if committed is not None or "hold_until_known" in self.cluster.omit:
                process.held &= ~bits

        self._commit(process, "handover", transaction, done)

    def leave(self, process: Process) -> None:
        """Hand everything over and delete the rows."""
        transaction = handover.leave_transaction(
            process.map, self.name, self.cluster.operation(), lambda row: True
        )
        held = process.held
        process.held = -1

        def done(committed: bool | None) -> None:
            if committed is not None:
                process.held = held

        self._commit(process, "handover", transaction, done)

    def _break_rules(self, process: Process) -> None:
        if self.cluster.random.random() < 0.02:
            for name in sorted(process.map.leases):
                if self.cluster.random.random() < 0.3:
                    self.rewrite_guard(process, name)

    def rewrite_guard(self, process: Process, name: str) -> None:
        """Name this node as guard of another one, if the rule that forbids it is left out."""
        row = process.map.leases[name]
        rule = "self_guard_untouchable" if row.guard == name else "owner_changes_guard"
        if rule not in self.cluster.omit or name == self.name:
            return
        operation = self.cluster.operation()
        transaction = handover.guard_change_transaction(process.map, name, self.name, operation)
        self._commit(process, f"rewrite {name}", transaction, lambda committed: None)

    def _commit(
        self,
        process: Process,
        kind: str,
        transaction: Transaction,
        done: Callable[[bool | None], None],
        name_check: tuple[str, str] | None = None,
    ) -> None:
        """Write, one operation of each kind at a time; an unknown outcome is reported and then resolved."""
        if kind in process.busy:
            return
        process.busy.add(kind)

        def write() -> int | None:
            return self.cluster.table.commit(transaction, name_check)

        def replied(seq: int | None) -> None:
            self.cluster.kill_if_drawn(self, self.cluster.faults.kill_informed)
            process.busy.discard(kind)
            if seq is not None:
                rows = _rows(transaction, seq)
                self.apply(process, rows, 0)
                self._announce(process, rows)
            else:
                process.next_poll = 0.0
            done(seq is not None)
            self.cluster.check()

        def unknown() -> None:
            done(None)
            self.cluster.check()
            if kind in ("guard", "join"):
                process.busy.discard(kind)
                return
            self.act(process, lambda: self.cluster.table_call(self, process, write, replied, unknown))

        if self.cluster.kill_if_drawn(self, self.cluster.faults.kill_sender):
            late = self.cluster.killer.uniform(*LATE_WRITE_SECONDS)
            self.cluster.at(self.cluster.time + late, lambda: (write(), self.cluster.check()))
            return
        self.act(process, lambda: self.cluster.table_call(self, process, write, replied, unknown))

    def _announce(self, process: Process, rows: list[tuple[str, int, Any]]) -> None:
        for peer in self.cluster.nodes.values():
            if peer is not self:
                self.cluster.send(self, peer, lambda peer, other: peer.apply(other, rows, 0))


class Cluster:
    """Nodes, network, table and simulated time.

    Parameters
    ----------
    seed : int
        Determines delays, losses and pauses.
    count, slices : int
        Nodes and slices of the ring.
    omit : iterable of str
        Rules that are left out.
    noisy : bool
        Whether messages are lost, repeated and delayed and nodes pause at random.
    drift : float
        Clock rates lie within 1 plus or minus this share.
    domains : int
        Failure domains.
    """

    def __init__(
        self,
        seed: int = 0,
        count: int = 4,
        slices: int = 8,
        omit: frozenset[str] = frozenset(),
        noisy: bool = False,
        drift: float = 0.0045,
        domains: int = 2,
    ) -> None:
        self.random = random.Random(seed)
        # Draws of its own, so that schedules without killed senders stay as they are.
        self.killer = random.Random(seed + 1)
        self.time = 0.0
        self.heap: list[tuple[float, int, int, Callable[[], None]]] = []
        self.counter = itertools.count()
        self.operations = itertools.count()
        self.slices = slices
        self.omit = frozenset(omit)
        self.faults = Faults(noisy)
        self.table = ModelTable()
        self.table.on_commit.append(self.check_table)
        self.violations: list[str] = []
        self.drift = drift
        self.tick_seconds = TICK_SECONDS
        self.review = True
        self.guard_silence = GUARD_TIMEOUT_SECONDS
        self.nodes: dict[str, ModelNode] = {}
        for index in range(count):
            self.add_node(f"n{index}", f"zone{index % domains}")

    def add_node(self, name: str, domain: str) -> ModelNode:
        """Add a VM without a process."""
        rate = 1 + self.drift * self.random.choice((-1, 1, self.random.uniform(-1, 1)))
        node = self.nodes[name] = ModelNode(self, name, domain, rate, self.random.uniform(0, 1e4))
        return node

    def form(self, guard_of: dict[str, str] | None = None) -> None:
        """Start all nodes as members that have just been granted their leases."""
        names = list(self.nodes)
        self.table.seq = 1
        share = {name: tuple(range(index, self.slices, len(names))) for index, name in enumerate(names)}
        for index, name in enumerate(names):
            node = self.nodes[name]
            process = node.start()
            guard = (guard_of or {}).get(name, names[(index + 1) % len(names)])
            lease = LeaseRow(name, process.incarnation, guard)
            owner = node.row()
            owner = OwnerRow(
                name, SERVICE, REGION, owner.failure_domain, name, name, slices=share[name], epoch=1
            )
            self.table.rows[lease_key(name)] = (1, row_to_json(lease))
            self.table.rows[owner_key(name)] = (1, row_to_json(owner))
        self.table.rows[ring_key(SERVICE, REGION)] = (1, row_to_json(RingRow(SERVICE, REGION, self.slices)))
        seq, rows = self.table.changes(0)
        for node in self.nodes.values():
            node.apply(node.process, rows, seq)
            node.process.heard = dict.fromkeys(names, node.now())

    # Time

    def at(self, time: float, action: Callable[[], None], urgent: bool = False) -> None:
        """Run an action at a true time; urgent ones first."""
        heapq.heappush(self.heap, (max(time, self.time), 0 if urgent else 1, next(self.counter), action))

    def run_until(self, time: float) -> None:
        """Run all events up to a true time."""
        heap = self.heap
        while heap and heap[0][0] <= time:
            self.time, _, _, action = heapq.heappop(heap)
            action()
            self.check()
        self.time = time
        self.check()

    def operation(self) -> str:
        """Return a new operation id."""
        return f"op{next(self.operations)}"

    # Network and table

    def kill_if_drawn(self, node: ModelNode, probability: float) -> bool:
        """Kill a node after the current event with a probability, and start it again; return whether."""
        if not probability or self.killer.random() >= probability:
            return False
        self.at(self.time, node.crash)
        self.at(self.time + RESTART_SECONDS, lambda: node.process or node.start())
        return True

    def send(
        self, sender: ModelNode, receiver: ModelNode, deliver: Callable[[ModelNode, Process], None]
    ) -> None:
        """Deliver a message, perhaps late, twice or not at all."""
        faults, rng = self.faults, self.random
        if (sender.name, receiver.name) in faults.cuts or (faults.drop and rng.random() < faults.drop):
            return
        copies = 2 if faults.repeat and rng.random() < faults.repeat else 1
        for _ in range(copies):
            late = faults.late.get((sender.name, receiver.name))
            delay = self._delay(faults.delay) if late is None else late
            self.at(self.time + delay, lambda: self._deliver(receiver, deliver))

    def _deliver(self, receiver: ModelNode, deliver: Callable[[ModelNode, Process], None]) -> None:
        process = receiver.process
        if process is not None:
            receiver.run(process, lambda: deliver(receiver, process))

    def _table_delay(self, sender: str, receiver: str) -> float:
        late = self.faults.late.get((sender, receiver))
        return self._delay(self.faults.table_delay) if late is None else late

    def _delay(self, base: float) -> float:
        faults, rng = self.faults, self.random
        if faults.slow and rng.random() < faults.slow:
            return rng.random() ** 2 * faults.slow_seconds
        return base * (0.5 + rng.random())

    def table_call(
        self,
        node: ModelNode,
        process: Process,
        operation: Callable[[], Any],
        done: Callable[[Any], None],
        unknown: Callable[[], None],
        attempts: int = TABLE_ATTEMPTS,
    ) -> None:
        """Call the table; requests and replies may be lost or late, also later than the client waits."""
        state = {"open": True, "left": attempts}

        def attempt() -> None:
            if not state["open"]:
                return
            if state["left"] == 0:
                state["open"] = False
                unknown()
                return
            state["left"] -= 1
            if not self._table_loses(node.name, "table"):
                self.at(self.time + self._table_delay(node.name, "table"), execute)
            self.at(self.time + TABLE_TIMEOUT_SECONDS, lambda: node.run(process, attempt))

        def execute() -> None:
            if self.faults.table_down:
                return
            result = operation()
            if not self._table_loses("table", node.name):
                delay = self._table_delay("table", node.name)
                self.at(self.time + delay, lambda: node.run(process, lambda: reply(result)))

        def reply(result: Any) -> None:
            if state["open"]:
                state["open"] = False
                done(result)

        attempt()

    def _table_loses(self, sender: str, receiver: str) -> bool:
        faults = self.faults
        if faults.table_down or (sender, receiver) in faults.cuts:
            return True
        return bool(faults.drop) and self.random.random() < faults.drop

    # Checks

    def check(self) -> None:
        """Record slices that two nodes consider their own now."""
        seen = twice = 0
        for node in self.nodes.values():
            mask = node.serving()
            twice |= seen & mask
            seen |= mask
        if twice:
            owners = [name for name, node in self.nodes.items() if node.serving() & twice]
            self.violations.append(f"at {self.time:.3f} slices {twice:b} are served by {owners}")

    def check_table(self) -> None:
        """Record slices that the table has lost or doubled, and hot keys without their exclusion."""
        slices: list[int] = []
        hot: list[int] = []
        excluded: list[int] = []
        for key, (_, value) in self.table.rows.items():
            if value is None or key.startswith("lease/"):
                continue
            slices += value["unowned"] if key.startswith("ring/") else value["slices"]
            hot += value.get("hot_keys", ())
            excluded += value["excluded"]
        if sorted(slices) != list(range(self.slices)):
            self.violations.append(f"at {self.time:.3f} the table has slices {sorted(slices)}")
        if sorted(hot) != sorted(excluded):
            self.violations.append(f"at {self.time:.3f} hot keys {sorted(hot)}, excluded {sorted(excluded)}")

    def unserved(self) -> int:
        """Return the slices, as bits, that no node serves now."""
        mask = (1 << self.slices) - 1
        for node in self.nodes.values():
            mask &= ~node.serving()
        return mask

    def live(self) -> list[ModelNode]:
        """Return the nodes that run and are members."""
        return [
            node
            for node in self.nodes.values()
            if node.process is not None
            and node.process.holder.row is not None
            and not node.process.holder.revoked
        ]


def hand_over_some(cluster: Cluster, node: ModelNode, count: int, hot: bool) -> None:
    """Let a node hand some of its slices, or a hot key, to a random peer of its map."""
    process = node.process
    if process is None or cluster.time < node.thaw or "handover" in process.busy:
        return
    row = process.map.owners.get(node.name)
    peers = sorted(name for name in process.map.owners if name != node.name)
    if row is None or not peers or not process.holder.valid(node.now()):
        return
    receiver = cluster.random.choice(peers)
    slices, hot_keys = list(row.slices[:count]), []
    if hot and row.slices:
        hash_value = ((row.slices[-1] << 64) // cluster.slices) + 5
        if slice_of(hash_value, cluster.slices) == row.slices[-1] and hash_value not in row.excluded:
            slices, hot_keys = [], [hash_value]
    if hot and row.hot_keys:
        slices, hot_keys = [], [row.hot_keys[0]]
    if slices or hot_keys:
        node.hand_over(process, receiver, slices, hot_keys)


def _with_epoch(value: Any, seq: int) -> Any:
    if value.get("epoch") == SEQUENCE_PLACEHOLDER:
        return {**value, "epoch": seq}
    return value


def _rows(transaction: Transaction, seq: int) -> list[tuple[str, int, Any]]:
    rows = [(key, seq, _with_epoch(value, seq)) for key, value in transaction.puts.items()]
    return rows + [(key, seq, None) for key in transaction.deletes]
