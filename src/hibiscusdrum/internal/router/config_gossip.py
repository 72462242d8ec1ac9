"""Spread of the operator's rows between nodes, so that one that cannot read the store is not left behind.

Each node follows the store itself. Besides, it tells a few random peers which rows it knows: at once when
they have changed, and at intervals. A node that knows others up to an earlier version of the store pulls all
rows from the sender. Digests also carry the time on the store's clock at which the rows were known to be the
newest, which nodes with the same rows take over.

Rows are not exchanged between eras of the store: after a restore, only the store tells what counts.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import ConfigDigest, ConfigPull, ConfigRow, ConfigSnapshot
from hibiscusdrum.internal.platform.table import era_of, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.hop import Forwarder
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.poll_hold import LARGE_FLEET_NODES, PollConditions
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.shared_clock import SharedClock

DIGEST_INTERVAL_SECONDS = 0.5
# Peers of the own region that are told of a change; each of them tells as many.
FANOUT = 3
# Expected number of nodes of a region that tell a peer of another region of the same change, or in the same
# interval, whatever the size of the region: digests between regions share one link.
REGION_CROSSINGS = 2.0
# In a large fleet, a digest of the own region with a stamp that is older than this node's by more than this
# is answered, so that stamps also reach nodes whose turn it is not. In a model of 72 nodes this and
# ``tell_refreshed`` reduced polls from 0.18 to 0.085 a second and node, for 5 more messages of
# a node in 10 s.
REPLY_STAMP_SECONDS = 1.0
# Another peer is asked for the rows when one has not sent them within this time.
PULL_TIMEOUT_SECONDS = 0.3
FINGERPRINT_BYTES = 8

RowsListener = Callable[[ConfigSnapshot], None]


def hash_rows(rows: dict[str, ConfigRow]) -> int:
    """Return a hash of the keys and versions of rows."""
    text = "\n".join(f"{key}\t{rows[key].version}" for key in sorted(rows))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest(), "big")


class ConfigGossip(Service):
    """Tells peers which rows of the operator this node knows, and gets newer ones from them.

    Attributes
    ----------
    rows : dict of str to ConfigRow
        The operator's rows by key.
    position : int
        Version of the store up to which all rows are known; 0 if none are.
    fingerprint : int
        Hash of the rows.
    stamp : float
        Time in seconds on the store's clock at which the rows were known to be the newest; 0 if unknown.
    peer_stamp : float
        The same, by the digests of peers alone.
    store_answered : bool
        Whether the store has answered this process.
    pull_count : int
        Number of times at which the rows of a peer replaced those of this node.
    on_snapshot : callable
        Called with newer rows of a peer, to apply them.
    on_newer : callable
        Called when a peer has newer rows, or has seen a newer era of the store.
    """

    service_name = "config_gossip"

    def __init__(self, settings: RouterSettings, rng: random.Random) -> None:
        super().__init__()
        self.settings = settings
        self.rng = rng
        self.rows: dict[str, ConfigRow] = {}
        self.position = 0
        self.fingerprint = 0
        self.stamp = 0.0
        self.peer_stamp = 0.0
        self.store_answered = False
        self.pull_count = 0
        self.pulling_until = float("-inf")
        self.on_snapshot: RowsListener = lambda _snapshot: None
        self.on_newer: Callable[[], None] = lambda: None

    def on_start(self) -> None:
        """Register for the messages of peers, and send digests at intervals."""
        self.table = self.app.find("table")
        self.members: Members = self.app.find("members")
        self.forwarder: Forwarder = self.app.find("hop")
        self.shared_clock: SharedClock = self.app.find("shared_clock")
        self.members.conditions = self.members_conditions
        self.members.on_refreshed = self.tell_refreshed
        handlers = self.forwarder.message_handlers
        handlers[ConfigDigest] = self.on_digest
        handlers[ConfigPull] = self.on_pull
        handlers[ConfigSnapshot] = self.on_received
        self.app.scheduler.every(DIGEST_INTERVAL_SECONDS, lambda: self.spread(1))

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    @property
    def confirmed_age(self) -> float:
        """Longest time in seconds since the rows were known to be the newest; infinite if unknown."""
        return self.stamp_age(self.stamp, self.position)

    def stamp_age(self, stamp: float, position: int) -> float:
        """Return the longest time in seconds since a stamp in the era of a version; infinite if unknown."""
        latest, era = self.shared_clock.stamp()
        if not stamp or not latest or era != era_of(position):
            return float("inf")
        return max(0.0, latest - stamp)

    def operator_conditions(self) -> PollConditions:
        """Return what decides on the polls of the operator's rows."""
        return PollConditions(
            len(self.members.nodes),
            self.confirmed_age,
            self.stamp_age(self.peer_stamp, self.position),
            self.members.store_reachable,
        )

    def members_conditions(self) -> PollConditions:
        """Return what decides on the polls of the members' rows."""
        known, position = self.members.known_rows, self.members.last_seq
        return PollConditions(
            len(self.members.nodes),
            self.stamp_age(known.stamp, position),
            self.stamp_age(known.peer_stamp, position),
            self.members.store_reachable,
            self.table.answers.age(self.now),
            self.table.other_answers.duration(self.now),
        )

    def record(
        self, position: int, changed: list[ConfigRow], deleted: list[str], complete: bool, stamp: float
    ) -> None:
        """Take what the store has answered, and tell peers of changes.

        Parameters
        ----------
        position : int
            Version of the store up to which the rows are known now.
        changed : list of ConfigRow
            Rows that were written.
        deleted : list of str
            Keys of the rows that were deleted.
        complete : bool
            Whether ``changed`` are all rows.
        stamp : float
            Time in seconds on the store's clock in the answer.
        """
        self.store_answered = True
        rows = {} if complete else self.rows
        rows.update((row.key, row) for row in changed)
        for key in deleted:
            rows.pop(key, None)
        former = self.fingerprint
        self.replace_rows(rows, position, stamp)
        if self.fingerprint != former:
            self.spread(FANOUT)

    def replace_rows(self, rows: dict[str, ConfigRow], position: int, stamp: float) -> None:
        """Set the known rows."""
        if era_of(position) != era_of(self.position):
            # The clock of a restored store may be behind that of the former one.
            self.stamp = self.peer_stamp = 0.0
        self.rows, self.position, self.fingerprint = rows, position, hash_rows(rows)
        self.confirm(stamp)

    def confirm(self, stamp: float) -> None:
        """Record that the rows were the newest at a time in seconds on the store's clock."""
        self.stamp = max(self.stamp, stamp)

    def spread(self, count: int) -> None:
        """Send a digest to some random peers of this region, and seldom to one of another region."""
        if not self.position:
            return
        region = self.settings.region
        rows = [row for row in self.members.nodes.values() if row.node != self.settings.node]
        if not rows:
            return
        digest = self.digest()
        near = [row.node for row in rows if row.region == region]
        for node in self.rng.sample(near, min(count, len(near))):
            self.forwarder.send_message(node, digest)
        far = [row.node for row in rows if row.region != region]
        if far and self.rng.random() * (len(near) + 1) < REGION_CROSSINGS:
            self.forwarder.send_message(self.rng.choice(far), digest)

    def tell_refreshed(self) -> None:
        """Tell some peers of this region of a stamp of the store, on which polls that are held depend."""
        region, own = self.settings.region, self.settings.node
        near = [row.node for row in self.members.nodes.values() if row.region == region and row.node != own]
        for node in self.rng.sample(near, min(FANOUT, len(near))):
            self.forwarder.send_message(node, self.digest())

    def digest(self) -> ConfigDigest:
        """Return what this node knows now."""
        known = self.members.known_rows
        return ConfigDigest(
            self.settings.node,
            self.position,
            self.fingerprint,
            self.stamp,
            self.members.last_seq,
            known.fingerprint,
            known.stamp,
        )

    def is_comparable(self, position: int) -> bool:
        """Return whether a peer's versions are of the same era as this node's store.

        Of a store that names no era, nobody can tell whether it was restored meanwhile.
        """
        if self.table.era:
            return era_of(position) == self.table.era
        return not self.store_answered

    def on_digest(self, digest: ConfigDigest) -> None:
        """Take the confirmation of a peer with the same rows; else the one that knows less pulls the rows."""
        self.compare_members(digest)
        if not self.is_comparable(digest.position):
            if self.table.era and era_of(digest.position) > self.table.era:
                self.on_newer()
            return
        if digest.fingerprint == self.fingerprint:
            if era_of(digest.position) == era_of(self.position) and self.is_past(digest.stamp):
                self.peer_stamp = max(self.peer_stamp, digest.stamp)
                self.confirm(digest.stamp)
            self.reply_if_older(digest)
        elif digest.position > self.position:
            self.on_newer()
            if self.now >= self.pulling_until:
                self.pulling_until = self.now + PULL_TIMEOUT_SECONDS
                self.forwarder.send_message(digest.node, ConfigPull(self.settings.node, self.position))
        else:
            self.forwarder.send_message(digest.node, self.digest())

    def compare_members(self, digest: ConfigDigest) -> None:
        """Take a peer's confirmation of the rows in the members' table, or note that it has newer ones."""
        position, known = self.members.last_seq, self.members.known_rows
        if not (digest.members_position and position and self.table.era):
            return
        same_era = era_of(digest.members_position) == era_of(position) == self.table.era
        if same_era and digest.members_fingerprint == known.fingerprint:
            if self.is_past(digest.members_stamp):
                known.confirm_by_peer(digest.members_stamp)
        elif digest.members_position > position:
            self.members.hold.record_newer(self.now)

    def is_past(self, stamp: float) -> bool:
        """Return whether a peer's stamp is not in the future; one that is would confirm the rows for ever."""
        latest, era = self.shared_clock.stamp()
        return era == self.table.era and stamp <= latest

    def reply_if_older(self, digest: ConfigDigest) -> None:
        """Send this node's digest to a peer of this region with the same rows and an older stamp."""
        nodes = self.members.nodes
        if len(nodes) < LARGE_FLEET_NODES or self.members.region_of(digest.node) != self.settings.region:
            return
        members_stamp = self.members.known_rows.stamp if digest.members_position else 0.0
        ahead = max(self.stamp - digest.stamp, members_stamp - digest.members_stamp)
        if ahead > REPLY_STAMP_SECONDS:
            self.forwarder.send_message(digest.node, self.digest())

    def on_pull(self, pull: ConfigPull) -> None:
        """Send the rows to a peer that knows them up to an earlier version."""
        if self.position > pull.position:
            rows = tuple(self.rows.values())
            snapshot = ConfigSnapshot(self.settings.node, self.position, self.stamp, rows)
            self.forwarder.send_message(pull.node, snapshot)

    def on_received(self, snapshot: ConfigSnapshot) -> None:
        """Replace the rows by those of a peer that knows more, and tell other peers."""
        if snapshot.position <= self.position or not self.is_comparable(snapshot.position):
            return
        self.pulling_until = float("-inf")
        log_events.emit(
            events.ConfigPulled(
                peer=snapshot.node,
                version=number_of(snapshot.position),
                former=number_of(self.position),
                rows=len(snapshot.rows),
                unconfirmed_s=round(min(self.confirmed_age, self.now), 3),
            )
        )
        self.pull_count += 1
        self.on_snapshot(snapshot)
        stamp = snapshot.stamp if self.is_past(snapshot.stamp) else 0.0
        self.replace_rows({row.key: row for row in snapshot.rows}, snapshot.position, stamp)
        self.spread(FANOUT)
