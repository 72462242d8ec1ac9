"""Spread of the operator's rows between nodes, so that one that cannot read the store is not left behind.

Each node follows the store itself. Besides, it tells a few random peers which rows it knows: at once when
they have changed, and at intervals. A node that learns of a newer row pulls all rows from the sender. Digests
also carry how old the sender's knowledge is, so a node knows until when its configuration was the newest one.

Rows are not exchanged between eras of the store: after a restore, only the store tells what counts.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import ConfigDigest, ConfigPull, ConfigRow, ConfigSnapshot
from hibiscusdrum.internal.platform.table import era_of, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.hop import Forwarder
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.settings import RouterSettings

DIGEST_INTERVAL_SECONDS = 0.5
# Peers of the own region that are told of a change; each of them tells as many.
FANOUT = 3
# Expected number of nodes of a region that tell a peer of another region of the same change, or in the same
# interval, whatever the size of the region: digests between regions share one link.
REGION_CROSSINGS = 2.0
# Another peer is asked for the rows when one has not sent them within this time.
PULL_TIMEOUT_SECONDS = 0.3

RowsListener = Callable[[ConfigSnapshot], None]


class ConfigGossip(Service):
    """Tells peers which rows of the operator this node knows, and gets newer ones from them.

    Attributes
    ----------
    rows : dict of str to ConfigRow
        The operator's rows by key.
    position : int
        Version of the store up to which all rows are known; 0 if none are.
    content : int
        Version of the newest known row or deletion.
    confirmed_at : float
        Monotonic time in seconds as of which ``content`` was known to be the newest.
    pull_count : int
        Number of times at which the rows of a peer replaced those of this node.
    on_confirmed : callable
        Called with the time when ``confirmed_at`` has changed.
    on_snapshot : callable
        Called with newer rows of a peer, to apply them.
    """

    service_name = "config_gossip"

    def __init__(self, settings: RouterSettings, rng: random.Random) -> None:
        super().__init__()
        self.settings = settings
        self.rng = rng
        self.rows: dict[str, ConfigRow] = {}
        self.position = 0
        self.content = 0
        self.confirmed_at = float("-inf")
        self.pull_count = 0
        self.pulling_until = float("-inf")
        self.on_confirmed: Callable[[float], None] = lambda _at: None
        self.on_snapshot: RowsListener = lambda _snapshot: None

    def on_start(self) -> None:
        """Register for the messages of peers, and send digests at intervals."""
        self.table = self.app.find("table")
        self.members: Members = self.app.find("members")
        self.forwarder: Forwarder = self.app.find("hop")
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
        """Seconds since ``content`` was last known to be the newest; infinite if it never was."""
        return self.now - self.confirmed_at

    def record(
        self, position: int, changed: list[ConfigRow], deleted: dict[str, int], complete: bool
    ) -> None:
        """Take what the store has answered, and tell peers of changes.

        Parameters
        ----------
        position : int
            Version of the store up to which the rows are known now.
        changed : list of ConfigRow
            Rows that were written.
        deleted : dict of str to int
            Version of the deletion of each deleted row.
        complete : bool
            Whether ``changed`` are all rows.
        """
        former = self.content
        versions = [row.version for row in changed] + list(deleted.values())
        if complete:
            self.rows = {}
            if era_of(self.position) != era_of(position) or self.content > position:
                self.content = 0
        self.rows.update((row.key, row) for row in changed)
        for key in deleted:
            self.rows.pop(key, None)
        self.content = max([self.content, *versions])
        self.position = position
        self.confirm(self.now)
        if self.content != former:
            self.spread(FANOUT)

    def confirm(self, at: float) -> None:
        """Record that ``content`` was the newest at a monotonic time in seconds."""
        if at > self.confirmed_at:
            self.confirmed_at = at
            self.on_confirmed(at)

    def spread(self, count: int) -> None:
        """Send a digest to some random peers of this region, and seldom to one of another region."""
        if not self.position:
            return
        digest = self.digest()
        region = self.settings.region
        rows = [row for row in self.members.nodes.values() if row.node != self.settings.node]
        near = [row.node for row in rows if row.region == region]
        for node in self.rng.sample(near, min(count, len(near))):
            self.forwarder.send_message(node, digest)
        far = [row.node for row in rows if row.region != region]
        if far and self.rng.random() * (len(near) + 1) < REGION_CROSSINGS:
            self.forwarder.send_message(self.rng.choice(far), digest)

    def digest(self) -> ConfigDigest:
        """Return what this node knows now."""
        return ConfigDigest(
            self.settings.node,
            self.forwarder.process_id,
            self.now,
            self.position,
            self.content,
            max(0.0, self.confirmed_age),
        )

    def is_comparable(self, position: int) -> bool:
        """Return whether a peer's versions are of the same era as this node's store."""
        return not self.table.era or era_of(position) == self.table.era

    def on_digest(self, digest: ConfigDigest) -> None:
        """Pull newer rows from the sender, tell it of newer ones, or take its confirmation."""
        delay = self.forwarder.transit_delay(digest.node, digest.process, digest.sent_at)
        if not self.is_comparable(digest.position):
            return
        if digest.content > self.position:
            if self.now >= self.pulling_until:
                self.pulling_until = self.now + PULL_TIMEOUT_SECONDS
                self.forwarder.send_message(digest.node, ConfigPull(self.settings.node, self.position))
        elif self.content > digest.position:
            self.forwarder.send_message(digest.node, self.digest())
        else:
            self.confirm(self.now - digest.confirmed_age - delay)

    def on_pull(self, pull: ConfigPull) -> None:
        """Send the rows to a peer that lacks some of them."""
        if self.content > pull.position:
            snapshot = ConfigSnapshot(
                self.settings.node,
                self.position,
                self.content,
                max(0.0, self.confirmed_age),
                tuple(self.rows.values()),
            )
            self.forwarder.send_message(pull.node, snapshot)

    def on_received(self, snapshot: ConfigSnapshot) -> None:
        """Replace the rows by those of a peer if they are newer, and tell other peers."""
        if snapshot.content <= self.position or not self.is_comparable(snapshot.position):
            return
        self.pulling_until = float("-inf")
        log_events.emit(
            events.ConfigPulled(
                peer=snapshot.node,
                version=number_of(snapshot.content),
                former=number_of(self.content),
                rows=len(snapshot.rows),
                unconfirmed_s=round(min(self.confirmed_age, self.now), 3),
            )
        )
        self.pull_count += 1
        self.rows = {row.key: row for row in snapshot.rows}
        self.position, self.content = snapshot.position, snapshot.content
        self.on_snapshot(snapshot)
        self.confirm(self.now - snapshot.confirmed_age)
        self.spread(FANOUT)
