"""Cache of the ownership map and the configuration in the caller library."""

from __future__ import annotations

import random

from hibiscusdrum.internal.config.document import Document, decode_config_row, empty_document
from hibiscusdrum.internal.messages import MapReply, MapRequest
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.rows import CONFIG_KEY

REFRESH_INTERVAL_SECONDS = 1.0
# Minimum time between two refreshes after stale answers, so that a burst of redirects causes one request.
MIN_REFRESH_INTERVAL_SECONDS = 0.02
# A refresh without a reply is requested again after this time, perhaps from another daemon.
REPLY_TIMEOUT_SECONDS = 0.25


class MapCache:
    """Keeps the map up to date by requesting changes from one daemon at a time.

    Parameters
    ----------
    seeds : tuple of str
        Addresses of daemons to use in addition to those in the map.
    rng : random.Random
        Source of randomness for the choice of the daemon.

    Attributes
    ----------
    next_refresh_at : float
        Monotonic time at which the next refresh is due.
    last_request_at : float
        Monotonic time of the last request.
    nonce : int
        Number of the last request; a reply to an earlier one does not postpone the next refresh.
    failed_addresses : set of str
        Addresses without a connection at the last attempt to send, since the last reply.
    """

    def __init__(self, seeds: tuple[str, ...], rng: random.Random) -> None:
        self.seeds = seeds
        self.rng = rng
        self.map = OwnershipMap()
        self.document: Document = empty_document()
        self.document_version = 0
        self.next_refresh_at = 0.0
        self.last_request_at = 0.0
        self.nonce = 0
        self.failed_addresses: set[str] = set()

    def refresh_due(self, now: float, active: bool) -> bool:
        """Return whether a refresh is due; without open calls, only the first map is requested."""
        return now >= self.next_refresh_at and (active or self.map.seq == 0)

    def invalidate(self, now: float) -> None:
        """Schedule an early refresh, because an answer showed the map to be stale."""
        self.next_refresh_at = min(
            self.next_refresh_at, max(now, self.last_request_at + MIN_REFRESH_INTERVAL_SECONDS)
        )

    def prepare_request(self, now: float) -> tuple[str, MapRequest]:
        """Return the address and the message of the next refresh, and record it as sent."""
        self.nonce += 1
        self.last_request_at = now
        self.next_refresh_at = now + REPLY_TIMEOUT_SECONDS
        return self.choose_address(), MapRequest(nonce=self.nonce, since=self.map.seq)

    def choose_address(self) -> str:
        """Return the address of a random known daemon, avoiding recently unreachable ones if possible."""
        known = {row.peer_address for row in self.map.owners.values()} | set(self.seeds)
        usable = known - self.failed_addresses
        if not usable:
            self.failed_addresses.clear()
            usable = known
        return self.rng.choice(sorted(usable))

    def on_send_failed(self, address: str, now: float) -> None:
        """Mark an address as unreachable and schedule an early refresh."""
        self.failed_addresses.add(address)
        self.next_refresh_at = now + MIN_REFRESH_INTERVAL_SECONDS

    def apply(self, reply: MapReply, now: float) -> None:
        """Apply changed rows; the map ignores rows that are older than its own."""
        self.map.apply(reply.rows, reply.seq)
        for key, version, value in reply.rows:
            if key == CONFIG_KEY and value is not None and version > self.document_version:
                self.document = decode_config_row(value)
                self.document_version = version
        self.failed_addresses.clear()
        if reply.nonce == self.nonce:
            self.next_refresh_at = now + REFRESH_INTERVAL_SECONDS
