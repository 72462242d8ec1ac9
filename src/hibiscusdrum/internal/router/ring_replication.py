"""Distribution of rings: one copy from the store for each tree of nodes in a region.

A row of a few bytes, the notice, is written with each ring and is polled by all nodes. A node that learns of
a newer ring reads it once for all writes that have gathered. The nodes of a region form two trees: the roots
read from the store, each other node asks its parent, then another peer of its region, then the store.

A copy serves to route requests and to derive writes, which are conditional on the version of the stored row.
Where the ring must be as new as a write of this node, ``Rings.read_ring`` reads the store itself.
"""

from __future__ import annotations

import random
import zlib

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import RingReply, RingRequest
from hibiscusdrum.internal.platform.table import Row, era_of, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router import ring as ring_edits
from hibiscusdrum.internal.router.hop import Forwarder
from hibiscusdrum.internal.router.lease_keeper import LeaseKeeper
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.ring_row import decode_ring
from hibiscusdrum.internal.router.rings import NOTICE_PREFIX, RING_PREFIX, Rings
from hibiscusdrum.internal.router.settings import RouterSettings

ROOT_COUNT = 2
FAN_OUT = 4
# Shortest time between the begins of two fetches of a ring.
LOCAL_FETCH_INTERVAL_SECONDS = 0.5
FETCH_INTERVAL_SECONDS = 1.0
# Connections to peers are opened when their rows are read, together with the first notice.
FIRST_FETCH_DELAY_SECONDS = 0.1
# How long a peer keeps a request for a row that it does not have yet, and how long its answer is waited for.
REQUEST_HOLD_SECONDS = 0.4
PEER_TIMEOUT_SECONDS = 0.5
# How long a node waits for a peer that is itself waiting, and longer by its place in the order of its region:
# nodes that have waited in vain read from the store one after the other.
PENDING_SECONDS = 1.0
PENDING_SECONDS_PER_RANK = 0.12
# Peers that are asked before the store is, and at most.
PEERS_BEFORE_STORE = 2
MAX_ASKED_PEERS = 5
# A ring without its notice was written by an earlier release. The first node of each service reads its ring
# at this interval to find it. It is written again after a delay in which a notice arrives, and a further one
# by rank, so that few nodes do so.
AUDIT_INTERVAL_SECONDS = 5.0
NOTICE_CHECK_INTERVAL_SECONDS = 1.0
NOTICE_DELAY_SECONDS = 3.0
NOTICE_DELAY_PER_RANK_SECONDS = 0.5
STORE = "store"


def tree_order(domains: dict[str, str]) -> list[str]:
    """Return nodes in a fixed order by hash that alternates between failure domains.

    Parameters
    ----------
    domains : dict of str to str
        Failure domain of each node.
    """
    counts: dict[str, int] = {}
    places: list[tuple[int, int, str]] = []
    for digest, name in sorted((zlib.crc32(name.encode()), name) for name in domains):
        turn = counts.get(domains[name], 0)
        counts[domains[name]] = turn + 1
        places.append((turn, digest, name))
    return [name for _turn, _digest, name in sorted(places)]


class Fetch:
    """A fetch of a ring that is due or in progress.

    Attributes
    ----------
    wanted : int
        Version that the store is known to have.
    asked : list of str
        Peers that were asked, and ``STORE`` for each read.
    begun_at : float
        Monotonic time in seconds; 0 while it is not begun.
    step : int
        Rises with each source that is asked and with each sign of life of a peer.
    """

    __slots__ = ("asked", "begun_at", "step", "wanted")

    def __init__(self) -> None:
        self.wanted = 0
        self.asked: list[str] = []
        self.begun_at = 0.0
        self.step = 0


class RingReplication(Service):
    """Follows the notices of rings, fetches newer rings, and hands them to peers of the own region.

    Attributes
    ----------
    wanted : dict of str to Row
        Newest notice of each service whose ring is not known in that version.
    fetches : dict of str to Fetch
        Fetch that is due or in progress, by service.
    begun_at : dict of str to float
        Monotonic time in seconds at which the last fetch of each service began.
    held_requests : dict of (str, str) to RingRequest
        Requests of peers for rows that this node does not have yet, by service and node.
    unannounced_since : float or None
        Monotonic time in seconds since when the ring of this node's service has no notice of its version.
    """

    service_name = "ring_replication"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.wanted: dict[str, Row] = {}
        self.fetches: dict[str, Fetch] = {}
        self.begun_at: dict[str, float] = {}
        self.held_requests: dict[tuple[str, str], RingRequest] = {}
        self.unannounced_since: float | None = None
        self.rng = random.Random(settings.node)

    def on_start(self) -> None:
        """Subscribe to notices, rings and the requests of peers."""
        self.table = self.app.find("table")
        self.members: Members = self.app.find("members")
        self.rings: Rings = self.app.find("rings")
        self.keeper: LeaseKeeper = self.app.find("lease_keeper")
        self.hop: Forwarder = self.app.find("hop")
        self.members.row_listeners[NOTICE_PREFIX.rstrip("/")] = self.on_notice
        self.rings.on_row.append(self.on_row)
        self.app.find("range_owner").on_moved.append(self.notify_owners)
        self.hop.message_handlers[RingRequest] = self.on_request
        self.hop.message_handlers[RingReply] = self.on_reply
        self.app.scheduler.every(NOTICE_CHECK_INTERVAL_SECONDS, self.announce_if_due)
        self.app.scheduler.every(AUDIT_INTERVAL_SECONDS, self.audit)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def known_version(self, service: str) -> int:
        """Return the version of the newest known row of a ring; 0 if none is known."""
        return self.rings.row_versions.get(RING_PREFIX + service, 0)

    def region_order(self) -> list[str]:
        """Return the nodes of this region in the order of its trees."""
        region = self.settings.region
        domains = {
            row.node: row.failure_domain for row in self.members.nodes.values() if row.region == region
        }
        return tree_order(domains)

    def tree_rank(self) -> int:
        """Return the position of this node in the order of its region."""
        order = self.region_order()
        return order.index(self.settings.node) if self.settings.node in order else len(order)

    def longest_wait(self) -> float:
        """Return for how many seconds this node waits for a peer that is itself waiting."""
        return PENDING_SECONDS + PENDING_SECONDS_PER_RANK * self.tree_rank()

    def parent_node(self) -> str:
        """Return the node that this one asks first; empty for a root, which reads from the store."""
        order = self.region_order()
        rank = self.tree_rank()
        return order[(rank - ROOT_COUNT) // FAN_OUT] if rank >= ROOT_COUNT else ""

    def other_peer(self, asked: list[str]) -> str:
        """Return a random connected node of this region that has not been asked; empty if there is none."""
        names = [
            name
            for name in self.region_order()
            if name != self.settings.node and name not in asked and self.hop.is_connected(name)
        ]
        return self.rng.choice(names) if names else ""

    def on_notice(self, notice: Row) -> None:
        """Fetch the ring whose notice has been read, if it is newer than the known one."""
        self.want(notice.key[len(NOTICE_PREFIX) :], notice)

    def want(self, service: str, notice: Row) -> None:
        """Fetch a ring soon, if a notice is newer than the known row and the newest notice."""
        former = self.wanted.get(service)
        if notice.version <= max(self.known_version(service), former.version if former else 0):
            return
        self.wanted[service] = notice
        self.schedule_fetch(service)

    def is_behind(self, service: str) -> bool:
        """Return whether the known row of a ring is older than its newest notice of this era."""
        notice = self.wanted.get(service)
        if notice is None:
            return False
        if notice.version <= self.known_version(service) or era_of(notice.version) != self.table.era:
            del self.wanted[service]
            return False
        return True

    def schedule_fetch(self, service: str) -> None:
        """Begin a fetch when the last one is long enough ago, unless one is due or in progress."""
        if service in self.fetches:
            return
        fetch = self.fetches[service] = Fetch()
        interval = (
            LOCAL_FETCH_INTERVAL_SECONDS if service == self.settings.service else FETCH_INTERVAL_SECONDS
        )
        begun_at = self.begun_at.get(service)
        wait = FIRST_FETCH_DELAY_SECONDS if begun_at is None else max(0.0, begun_at + interval - self.now)
        self.app.scheduler.call_later(wait, lambda: self.begin_fetch(service, fetch))

    def begin_fetch(self, service: str, fetch: Fetch) -> None:
        """Ask the first source for the newest ring, unless it is known by now."""
        if not self.is_behind(service):
            del self.fetches[service]
            return
        self.begun_at[service] = fetch.begun_at = self.now
        fetch.wanted = self.wanted[service].version
        parent = self.parent_node()
        if not parent:
            self.read_store(service, fetch)
        elif not self.ask(service, fetch, parent):
            self.ask_next(service, fetch)

    def ask(self, service: str, fetch: Fetch, peer: str) -> bool:
        """Ask a peer for a ring; returns False if there is no connection to it."""
        request = RingRequest(self.settings.node, service, self.known_version(service), fetch.wanted)
        if not self.hop.is_connected(peer) or not self.hop.send_message(peer, request):
            return False
        fetch.asked.append(peer)
        self.await_peer(service, fetch)
        return True

    def await_peer(self, service: str, fetch: Fetch) -> None:
        """Ask the next source if the asked peer gives no sign of life."""
        fetch.step += 1
        step = fetch.step

        def on_timeout() -> None:
            if self.fetches.get(service) is fetch and fetch.step == step:
                self.ask_next(service, fetch)

        self.app.scheduler.call_later(PEER_TIMEOUT_SECONDS, on_timeout)

    def ask_next(self, service: str, fetch: Fetch) -> None:
        """Ask the next source: another peer, the store once, and then further peers."""
        peer_count = len(fetch.asked) - fetch.asked.count(STORE)
        if STORE not in fetch.asked and peer_count >= PEERS_BEFORE_STORE:
            self.read_store(service, fetch)
            return
        peer = self.other_peer(fetch.asked) if peer_count < MAX_ASKED_PEERS else ""
        if peer and self.ask(service, fetch, peer):
            return
        if STORE in fetch.asked:
            self.end_fetch(service, fetch, "")
        else:
            self.read_store(service, fetch)

    def read_store(self, service: str, fetch: Fetch) -> None:
        """Read a ring from the store; a root that the store turns away asks a peer."""
        fetch.asked.append(STORE)
        fetch.step += 1
        count, notice = len(fetch.asked), self.wanted.get(service)

        def on_read(succeeded: bool) -> None:
            if succeeded:
                self.on_store_read(service, notice)
            if self.fetches.get(service) is not fetch or len(fetch.asked) != count:
                return
            if succeeded:
                self.end_fetch(service, fetch, STORE)
                return
            self.ask_next(service, fetch)

        self.rings.read_ring(on_read, service)

    def on_store_read(self, service: str, notice: Row | None) -> None:
        """Drop the notice that a read of the store has answered, although it had no row of that version."""
        if notice is None or self.wanted.get(service) is not notice:
            return
        del self.wanted[service]
        is_deletion = notice.value is None and not notice.unreadable
        if is_deletion and RING_PREFIX + service in self.rings.missing_rows:
            self.rings.apply_row(Row(RING_PREFIX + service, notice.version))

    def end_fetch(self, service: str, fetch: Fetch, source: str) -> None:
        """End a fetch, and schedule the next one if there is a newer ring by now."""
        del self.fetches[service]
        log_events.emit(
            events.RingFetched(
                service=service,
                source=source,
                version=number_of(self.known_version(service)),
                wanted=number_of(fetch.wanted),
                asked=len(fetch.asked),
                took_ms=round((self.now - fetch.begun_at) * 1000),
            )
        )
        if self.is_behind(service):
            self.schedule_fetch(service)

    def on_reply(self, reply: RingReply) -> None:
        """Apply a copy that a peer has sent, or ask the next source."""
        fetch = self.fetches.get(reply.service)
        if fetch is None or reply.node not in fetch.asked:
            return
        if reply.pending:
            if fetch.asked[-1] == reply.node:
                self.on_pending(reply.service, fetch)
        elif self.apply_copy(reply):
            self.end_fetch(reply.service, fetch, reply.node)
        elif fetch.asked[-1] == reply.node:
            self.ask_next(reply.service, fetch)

    def on_pending(self, service: str, fetch: Fetch) -> None:
        """Go on waiting for the parent while it waits itself, but not too long; else ask the next source."""
        is_parent = fetch.asked[-1] == self.parent_node()
        if is_parent and self.now - fetch.begun_at < self.longest_wait():
            self.await_peer(service, fetch)
        elif STORE not in fetch.asked:
            self.read_store(service, fetch)
        else:
            self.ask_next(service, fetch)

    def apply_copy(self, reply: RingReply) -> bool:
        """Apply the copy of a row like one that was read; returns False if it is not used."""
        if reply.version and era_of(reply.version) != self.table.era:
            self.log_refused(reply, "other_era")
            return False
        if reply.version <= self.known_version(reply.service):
            return False
        try:
            decode_ring(reply.value)
        except InvalidArgument:
            self.log_refused(reply, "undecodable")
            return False
        self.rings.apply_row(Row(RING_PREFIX + reply.service, reply.version, reply.value))
        return True

    def log_refused(self, reply: RingReply, reason: str) -> None:
        """Log that a copy is not used."""
        version = number_of(reply.version)
        log_events.emit(
            events.RingCopyRefused(peer=reply.node, service=reply.service, version=version, reason=reason)
        )

    def on_request(self, request: RingRequest) -> None:
        """Answer a peer of this region, or keep its request until the ring is known.

        A peer that has the version which it names only tells of it.
        """
        if request.service not in self.members.by_service:
            return
        only_notice = request.known >= request.wanted
        if not only_notice and self.members.region_of(request.node) != self.settings.region:
            return
        if era_of(request.wanted) == self.table.era:
            self.want(request.service, Row(NOTICE_PREFIX + request.service, request.wanted, unreadable=True))
        if only_notice:
            return
        if self.known_version(request.service) >= request.wanted:
            self.answer(request)
            return
        self.held_requests[request.service, request.node] = request
        self.app.scheduler.call_later(REQUEST_HOLD_SECONDS, lambda: self.on_hold_ended(request))

    def notify_owners(self, nodes: set[str]) -> None:
        """Tell the new owners of an evacuated target's keys at once that there is a newer ring.

        The notice in the store would reach them up to 1 s later in a large system (``change_batch_seconds``).
        """
        service = self.settings.service
        version = self.known_version(service)
        for node in sorted(nodes):
            self.hop.send_message(node, RingRequest(self.settings.node, service, version, version))

    def on_hold_ended(self, request: RingRequest) -> None:
        """Tell a peer that this node is still waiting for the row it asks for, or has no newer one."""
        held = request.service, request.node
        if self.held_requests.get(held) is not request:
            return
        if self.is_pending(request.service):
            self.hop.send_message(
                request.node, RingReply(self.settings.node, request.service, 0, pending=True)
            )
            self.app.scheduler.call_later(REQUEST_HOLD_SECONDS, lambda: self.on_hold_ended(request))
            return
        del self.held_requests[held]
        self.answer(request)

    def is_pending(self, service: str) -> bool:
        """Return whether this node is fetching a ring."""
        fetch = self.fetches.get(service)
        return fetch is not None and bool(fetch.asked)

    def answer(self, request: RingRequest) -> None:
        """Send the newest row that this node has, if the peer has an older one."""
        row = self.rings.rows.get(RING_PREFIX + request.service)
        usable = row is not None and row.version > request.known and era_of(row.version) == self.table.era
        version, value = (row.version, row.value) if usable else (0, "")
        self.hop.send_message(request.node, RingReply(self.settings.node, request.service, version, value))

    def on_row(self, service: str) -> None:
        """Answer the requests that waited for a row which has been read."""
        version = self.known_version(service)
        for held, request in list(self.held_requests.items()):
            if request.service == service and version >= request.wanted:
                del self.held_requests[held]
                self.answer(request)

    def service_rank(self) -> int:
        """Return the position of this node in a fixed order of the nodes of its service."""
        rows = self.members.by_service.get(self.settings.service, ())
        order = tree_order({row.node: row.failure_domain for row in rows})
        return order.index(self.settings.node) if self.settings.node in order else len(order)

    def audit(self) -> None:
        """Read the ring of this node's service, which may have changed without a notice."""
        if self.rings.local_ring is not None and self.service_rank() == 0:
            self.rings.read_ring(lambda _succeeded: None)

    def announce_if_due(self) -> None:
        """Write the ring of this node's service again if an earlier release wrote it without a notice."""
        notice_version = self.members.row_versions.get(NOTICE_PREFIX + self.settings.service, 0)
        store_era = self.rings.store_era
        announced = self.rings.local_version <= notice_version
        if announced or not self.rings.local_current or store_era.settling or not store_era.recorded:
            self.unannounced_since = None
            return
        if self.unannounced_since is None:
            self.unannounced_since = self.now
        delay = NOTICE_DELAY_SECONDS + NOTICE_DELAY_PER_RANK_SECONDS * self.service_rank()
        lease_usable = self.keeper.ring_synced and self.keeper.remaining_seconds > 0.0
        if self.now - self.unannounced_since < delay or not lease_usable:
            return
        if self.rings.write_in_progress or not self.members.store_reachable:
            return
        self.unannounced_since = None
        ring = ring_edits.enter_era(self.rings.local_ring, store_era.current)
        self.rings.commit_ring(ring, {}, (), "announced", 0)
