"""Nodes of the router in one process, on a manual clock, with a store and targets that misbehave on order.

The nodes are the real services for members and ranges; the store and the targets are fakes of their published
contracts. Time moves only by ``World.run``.
"""

from __future__ import annotations

import heapq
import itertools
import random

import msgspec
from loguru import logger
from returns.result import Failure, Success

from hibiscusdrum.errors import StoreConflict, StoreUnavailable
from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.kernel import Application, Service
from hibiscusdrum.internal.platform.table import Changes, Row, era_of, make_version, number_of
from hibiscusdrum.internal.router.lease_keeper import LeaseKeeper
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetHeartbeat
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.range_owner import RangeOwner
from hibiscusdrum.internal.router.ring import Range
from hibiscusdrum.internal.router.ring_replication import RingReplication
from hibiscusdrum.internal.router.rings import Rings
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.store_era import StoreEra
from hibiscusdrum.platform.reports import encode_grant
from hibiscusdrum.platform.store import table_for_key

STEP_SECONDS = 0.05
REPORT_SECONDS = 1.0
# A target ignores answers to its reports that come later than this, or are larger.
ANSWER_LIMIT_SECONDS = 1.0
ANSWER_LIMIT_BYTES = 4096
STORE_SECONDS = 0.004
MESSAGE_SECONDS = 0.001
POLLED_TABLE = table_for_key("node/")
CALL_TIMEOUT_SECONDS = 1.5
FEED_SECONDS = 3.0
# Copies of the store are taken this often and kept this long.
COPY_INTERVAL_SECONDS = 0.5
COPIES_KEPT_SECONDS = 20.0
# The store refuses larger transactions.
MAX_TRANSACTION_ENTRIES = 100
PROBED_KEYS = range(0, 65_536, 419)


class Loop:
    """Stands in for the event that the poller hands to the scheduler."""

    def reduce_time_left(self, _seconds):
        """Ignore the wait: the world decides when time passes."""


def exists(row):
    """Return whether the store has a row: not None, and not only its deletion."""
    return row is not None and (row.value is not None or row.unreadable)


class Copy(msgspec.Struct, frozen=True):
    """Copy of the store, taken at a true time in seconds."""

    taken_at: float
    rows: dict[str, Row]
    version: int


class Store:
    """Rows with versions, conditional writes, faults for single nodes, and copies to restore from.

    Attributes
    ----------
    rows : dict of str to Row
        Rows with the versions that the store itself gives out, deleted ones included.
    era : int
        Rises by one with each restore.
    clock_offset : float
        Seconds that the store's clock is ahead of the true time.
    refused_entries : list of int
        Entries of each transaction that was refused because it has too many.
    written : list of (int, str, int)
        Version, key and size in bytes of each row that was written; the feed reports each version.
    ring_reads : list of (str, str)
        Node and key of each version of a ring that a read or a poll has returned.
    feed_bytes : dict of str to int
        Bytes of values that polls have returned, by the first part of the rows' keys.
    refuses_reads : set of str
        Nodes whose reads are turned away, unlike their polls for changes.
    conflicts : int
        Number of transactions whose checks failed.
    seconds_late : callable
        Returns after how many seconds a transaction of a node takes effect, without an answer; None for now.
    """

    def __init__(self, world):
        self.world = world
        self.rows = {}
        self.written = []
        self.ring_reads = []
        self.feed_bytes = {}
        self.conflicts = 0
        self.refuses_reads = set()
        self.version = 1
        self.down_for = {}
        self.lose_answers = 0.0
        self.late_writes = 0.0
        self.late_for = set()
        self.refused_entries = []
        self.seconds_late = lambda _node, _transaction: None
        self.seconds = STORE_SECONDS
        self.calls = {"changes": 0, "read": 0, "commit": 0}
        self.era = 1
        self.clock_offset = -900.0
        self.copies = []

    def take_copy(self):
        """Take a copy if one is due, and drop old ones."""
        now = self.world.now
        if not self.copies or now - self.copies[-1].taken_at >= COPY_INTERVAL_SECONDS:
            self.copies = [copy for copy in self.copies if now - copy.taken_at <= COPIES_KEPT_SECONDS]
            self.copies.append(Copy(now, dict(self.rows), self.version))

    def restore(self, age, clock_jump=0.0):
        """Continue from the newest copy of at least this age in seconds, or from the oldest one."""
        old = [copy for copy in self.copies if self.world.now - copy.taken_at >= age]
        copy = old[-1] if old else self.copies[0]
        self.rows, self.version = dict(copy.rows), copy.version
        self.era += 1
        self.clock_offset += clock_jump

    def blocked(self, node):
        """Return whether the store turns a node away now."""
        return self.world.now < max(self.down_for.get(node, 0.0), self.down_for.get("", 0.0))

    def write(self, transaction):
        """Apply a transaction if its checks hold; returns its version or None."""
        for key, version in transaction.checks.items():
            row = self.rows.get(key)
            if (row.version if exists(row) else 0) != number_of(version):
                self.conflicts += 1
                return None
        self.version += 1
        for key, value in transaction.puts.items():
            self.written.append((self.version, key, len(msgspec.json.encode(value))))
            self.rows[key] = Row(key, self.version, msgspec.json.decode(msgspec.json.encode(value)))
        for key in transaction.deletes:
            self.rows[key] = Row(key, self.version, None)
        return self.version


class NodeTable(Service):
    """One node's client of the store."""

    service_name = "table"

    def __init__(self, world, node):
        super().__init__()
        self.world, self.node = world, node
        self.store_time = 0.0
        self.on_store_time = []
        self.on_current_row = None
        self.era = 0
        self.on_era_change = []

    def answer(self, delay, callback, result, sent_at, stamp, sent_in=None, current=()):
        """Deliver a result later, unless the node was started anew meanwhile.

        A result of a commit that was sent in an earlier era is delivered as unknown. ``current`` are the rows
        that come with a conflict.
        """
        node = self.world.nodes.get(self.node)
        era = self.world.store.era

        def deliver():
            if self.world.nodes.get(self.node) is not node:
                return
            if stamp is not None:
                self.observe(era, sent_at, stamp)
            if stamp is not None and sent_in is not None and era != sent_in:
                callback(Failure(StoreUnavailable(operation="commit", reason="unknown")))
                return
            for row in current:
                self.on_current_row(row)
            callback(result)

        self.world.after(delay, deliver)

    def observe(self, era, sent_at, stamp):
        """Take the era and the store's time from an answer."""
        if era < self.era:
            return
        if era > self.era:
            former, self.era, self.store_time = self.era, era, 0.0
            for listener in self.on_era_change if former else ():
                listener(former, era)
        self.store_time = max(self.store_time, stamp)
        for listener in self.on_store_time:
            listener(sent_at, stamp)

    def known_row(self, row):
        """Return a row of the store with its version in this era."""
        return msgspec.structs.replace(row, version=make_version(self.world.store.era, row.version))

    def failing(self, callback, reason):
        """Deliver a failure after the time limit of a call."""
        error = StoreUnavailable(operation="call", reason=reason)
        self.answer(CALL_TIMEOUT_SECONDS, callback, Failure(error), self.world.now, None)

    def read(self, keys, callback):
        """Read rows by key."""
        store, sent_at = self.world.store, self.world.now
        store.calls["read"] += 1
        if store.blocked(self.node) or self.node in store.refuses_reads:
            self.failing(callback, "refused")
            return
        store.ring_reads += [(self.node, key) for key in keys if key.startswith("ring/")]
        found = {key: self.known_row(row) for key in keys if exists(row := store.rows.get(key))}
        self.answer(store.seconds, callback, Success(found), sent_at, self.world.store_time)

    def changes(self, since, callback, until=None):
        """Wait for rows that were written after a version."""
        store = self.world.store
        store.calls["changes"] += until is None
        if store.blocked(self.node):
            self.failing(callback, "refused")
            return
        until = self.world.now + FEED_SECONDS if until is None else until
        complete = bool(since) and era_of(since) != store.era
        after = 0 if complete else number_of(since)
        rows = tuple(
            self.known_row(row)
            for key, row in store.rows.items()
            if row.version > after
            and table_for_key(key) == POLLED_TABLE
            and not (complete and row.value is None)
        )
        if rows or complete or since == 0 or self.world.now >= until:
            for version, key, size in store.written if after else ():
                if version > after and table_for_key(key) == POLLED_TABLE:
                    kind = key.partition("/")[0]
                    store.feed_bytes[kind] = store.feed_bytes.get(kind, 0) + size
                    if kind == "ring":
                        store.ring_reads.append((self.node, key))
            changes = Changes(make_version(store.era, store.version), rows, complete)
            self.answer(store.seconds, callback, Success(changes), self.world.now, self.world.store_time)
            return
        node = self.world.nodes.get(self.node)
        self.world.after(
            STEP_SECONDS,
            lambda: self.changes(since, callback, until) if self.world.nodes.get(self.node) is node else None,
        )

    def commit(self, transaction, callback):
        """Write conditionally, with the faults in force."""
        store, rng = self.world.store, self.world.rng
        store.calls["commit"] += 1
        if store.blocked(self.node):
            self.failing(callback, "refused")
            return
        if any(version and era_of(version) != self.era for version in transaction.checks.values()):
            conflict = StoreConflict(keys=tuple(transaction.checks))
            self.answer(0.0, callback, Failure(conflict), self.world.now, None)
            return
        entries = len(transaction.checks) + len(transaction.puts) + len(transaction.deletes)
        if entries > MAX_TRANSACTION_ENTRIES:
            store.refused_entries.append(entries)
            error = StoreUnavailable(operation="commit", reason="status_400")
            self.answer(store.seconds, callback, Failure(error), self.world.now, self.world.store_time)
            return
        late = store.seconds_late(self.node, transaction)
        if late is None and (rng.random() < store.late_writes or self.node in store.late_for):
            late = rng.uniform(1.0, 6.0)
        if late is not None:
            self.world.after(late, lambda: store.write(transaction))
            self.failing(callback, "unknown")
            return
        version = store.write(transaction)
        if rng.random() < store.lose_answers:
            self.failing(callback, "unknown")
            return
        result = (
            Success(make_version(store.era, version))
            if version
            else Failure(StoreConflict(keys=tuple(transaction.checks)))
        )
        current = (
            ()
            if version
            else [self.known_row(row) for key in transaction.checks if exists(row := store.rows.get(key))]
        )
        self.answer(store.seconds, callback, result, self.world.now, self.world.store_time, self.era, current)


class PeerLinks(Service):
    """Delivers messages between the nodes of the world, unless one of the two is cut off."""

    service_name = "hop"

    def __init__(self, world, node):
        super().__init__()
        self.world, self.node = world, node
        self.message_handlers = {}

    def is_connected(self, name):
        """Return whether there is a connection to a node."""
        return name in self.world.nodes and not {self.node, name} & self.world.cut_off

    def send_message(self, name, message):
        """Send a message to a node; returns whether there is a connection."""
        if not self.is_connected(name):
            return False
        if self.node not in self.world.silent:
            self.world.messages.append((self.node, name, message))
            receiver = self.world.nodes[name]
            self.world.after(MESSAGE_SECONDS, lambda: self.deliver(receiver, message))
        return True

    def deliver(self, receiver, message):
        """Deliver a message to a process that still runs, once it is not paused."""
        if self.world.nodes.get(receiver.name) is not receiver:
            return
        if receiver.name in self.world.frozen:
            self.world.after(STEP_SECONDS, lambda: self.deliver(receiver, message))
            return
        receiver.links.message_handlers[type(message)](message)


def uncovered(entry, others):
    """Return the first and last keys of the parts of a range that no other range, in order, covers."""
    parts, first = [], entry.first
    for other in others:
        if other.last < first or other.first > entry.last:
            continue
        if other.first > first:
            parts.append((first, other.first - 1))
        first = other.last + 1
    if first <= entry.last:
        parts.append((first, entry.last))
    return parts


class FakeTarget:
    """A target that holds what its last answered report granted, and reports each second.

    Attributes
    ----------
    held : dict of int to (int, float)
        Fencing token and end of the hold of each probed key, on this target's own clock.
    """

    def __init__(self, world, node, name):
        self.world, self.node, self.name = world, node, name
        self.started_ms = int((1_000_000 + world.now) * 1000)
        self.sequence = 0
        self.held = {}
        self.ranges, self.ranges_end = (), 0.0
        self.seen_fences = {}
        self.released = []
        self.up = True
        self.draining = False
        self.reporting = True
        # Its clock measures holds up to 2% slow, which makes them longer in true time.
        self.stretch = world.rng.uniform(1.0, 1.02)
        self.offset = world.rng.uniform(0.0, REPORT_SECONDS)
        world.after(self.offset, self.report)

    def holds(self, key):
        """Return whether a key is held now, and its fencing token."""
        fence, end = self.held.get(key, (0, 0.0))
        return self.up and self.world.now < end, fence

    def report(self):
        """Send a report and take the answer."""
        if not self.up:
            return
        self.world.after(REPORT_SECONDS, self.report)
        daemon = self.world.nodes.get(self.node)
        if daemon is None or not self.reporting:
            return
        self.sequence += 1
        sent_at = self.world.now
        report = TargetHeartbeat(
            target=self.name,
            service="keys",
            address="127.0.0.1:1",
            slots=9,
            draining=self.draining,
            sequence=self.sequence,
            started_ms=self.started_ms,
            held=self.reported_ranges(sent_at),
            released=tuple(self.released),
        )
        self.released = []

        def answered(grant):
            in_time = self.up and self.world.now - sent_at < ANSWER_LIMIT_SECONDS
            if grant is not None and in_time and len(encode_grant(grant)) <= ANSWER_LIMIT_BYTES:
                self.take(grant, sent_at)

        daemon.app.find("local_target").on_heartbeat(report, answered)

    def reported_ranges(self, now):
        """Return the ranges that it reports to hold."""
        if now >= self.ranges_end:
            return ()
        return tuple(Range(entry.first, entry.last, entry.fencing_token) for entry in self.ranges)

    def take(self, grant, sent_at):
        """Hold what an answer grants."""
        assert grant.seconds <= 10.0, grant.seconds
        end = sent_at + grant.seconds * self.stretch
        kept = {}
        for entry in grant.ranges:
            for key in self.world.keys_between(entry.first, entry.last):
                assert entry.fencing_token >= self.seen_fences.get(key, 0), (key, entry.fencing_token)
                self.seen_fences[key] = entry.fencing_token
                kept[key] = (entry.fencing_token, end)
        if sent_at < self.ranges_end:
            gone = [part for entry in self.ranges for part in uncovered(entry, grant.ranges)]
        else:
            gone = []
        self.released = [Range(first, last, 0, f"{first:016x}") for first, last in gone]
        self.held, self.ranges, self.ranges_end = kept, grant.ranges, end
        if gone:
            self.world.after(0.1, self.report_once)

    def report_once(self):
        """Send a report out of turn."""
        if self.up:
            former, self.report_timer = self.world.after, None
            self.world.after = lambda _delay, _call: None
            try:
                self.report()
            finally:
                self.world.after = former


class Node:
    """The services of one daemon."""

    def __init__(self, world, name, failure_domain, region):
        self.name = name
        settings = RouterSettings(
            node=name,
            region=region,
            failure_domain=failure_domain,
            service="keys",
            target_address="127.0.0.1:1",
            caller_address="127.0.0.1:2",
            ready_address="127.0.0.1:3",
            target_control_address="127.0.0.1:4",
            peer_address="127.0.0.1:5",
            store_address="127.0.0.1:6",
            heartbeat=REPORT_SECONDS,
        )
        self.app = Application(world.clock)
        self.app.add(NodeTable(world, name))
        self.target = self.app.add(LocalTarget(settings))
        self.members = self.app.add(Members(settings))
        self.links = self.app.add(PeerLinks(world, name))
        self.app.add(StoreEra())
        self.app.add(Rings(settings))
        self.app.add(LeaseKeeper(settings))
        self.owner = self.app.add(RangeOwner(settings))
        self.app.add(RingReplication(settings))
        world.nodes[name] = self
        for service in self.app.services.values():
            service.on_start()
        self.owner.set_partitioned(True)


class World:
    """Nodes, targets, a store, and checks of what the targets hold."""

    def __init__(self, seed=0, nodes=4, regions=("east",)):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.store = Store(self)
        self.nodes = {}
        self.targets = {}
        self.regions = {}
        self.frozen = set()
        self.cut_off = set()
        self.silent = set()
        self.messages = []
        self.calls = []
        self.counter = itertools.count()
        self.max_fence = {}
        self.holder = {}
        self.domains = {}
        # Thousands of decisions are played; the checks tell what went wrong.
        logger.disable("hibiscusdrum")
        for index in range(nodes):
            self.add(f"n{index}", f"d{index % 2}", regions[index // 2 % len(regions)])

    @property
    def now(self):
        """True time in seconds."""
        return self.clock.monotonic()

    @property
    def store_time(self):
        """Seconds on the store's clock."""
        return self.now + self.store.clock_offset

    def add(self, name, failure_domain="d0", region="east"):
        """Start a VM: daemon and target."""
        self.domains[name] = failure_domain
        self.regions[name] = region
        Node(self, name, failure_domain, region)
        self.targets[name] = FakeTarget(self, name, f"i-{name}")

    def kill_daemon(self, name):
        """End a daemon at once."""
        node = self.nodes.pop(name, None)
        if node is not None:
            node.app.poller._poller.close()

    def start_daemon(self, name):
        """Start a daemon that does not run."""
        if name not in self.nodes:
            Node(self, name, self.domains[name], self.regions[name])

    def restart_target(self, name):
        """Replace a target by a new start of it."""
        self.targets[name].up = False
        self.targets[name] = FakeTarget(self, name, f"i-{name}")

    def after(self, delay, call):
        """Call something later."""
        heapq.heappush(self.calls, (self.now + delay, next(self.counter), call))

    def keys_between(self, first, last):
        """Return the probed keys of a range."""
        step = PROBED_KEYS.step
        return range(-(-first // step) * step, last + 1, step)

    def run(self, seconds):
        """Let time pass, and check after each step that no key has two holders."""
        end = self.now + seconds
        while self.now < end:
            self.clock.advance(STEP_SECONDS)
            self.store.take_copy()
            while self.calls and self.calls[0][0] <= self.now:
                heapq.heappop(self.calls)[2]()
            for name, node in list(self.nodes.items()):
                if name not in self.frozen:
                    node.app.scheduler.run_due(Loop())
            self.check()

    def check(self):
        """Check that no probed key has two holders."""
        holders = {}
        now = self.now
        for target in self.targets.values():
            for key, (fence, end) in target.held.items() if target.up else ():
                if now < end:
                    assert key not in holders, (key, target.node, fence, holders[key])
                    holders[key] = (target.node, fence)
                    self.check_fence(key, target, fence)

    def check_fence(self, key, target, fence):
        """Check that a key moves to another start of a target only with a larger token."""
        holder = (target.node, target.started_ms)
        if self.holder.get(key) != holder:
            assert fence > self.max_fence.get(key, 0), (key, target.node, fence, self.max_fence.get(key))
            self.holder[key] = holder
        self.max_fence[key] = max(fence, self.max_fence.get(key, 0))

    def held(self):
        """Return the number of probed keys that some target holds."""
        return sum(any(target.holds(key)[0] for target in self.targets.values()) for key in PROBED_KEYS)

    def held_by(self, name):
        """Return the number of probed keys that a target holds."""
        return sum(self.targets[name].holds(key)[0] for key in PROBED_KEYS)

    def close(self):
        """End all nodes."""
        logger.enable("hibiscusdrum")
        for name in list(self.nodes):
            self.kill_daemon(name)
