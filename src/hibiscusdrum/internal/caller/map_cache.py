"""The caller's copy of the ownership map and of the configuration."""

from __future__ import annotations

import random

from hibiscusdrum.internal.config.document import Document, decode_config_row, empty_document
from hibiscusdrum.internal.messages import MapReply, MapRequest
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.rows import CONFIG_KEY

REFRESH_SECONDS = 1.0
# Least time between two refreshes after stale answers, so that a burst of redirects causes one request.
MIN_REFRESH_SECONDS = 0.02
ANSWER_TIMEOUT_SECONDS = 0.25


class MapCache:
    """Keeps the map fresh by asking one daemon at a time for changes.

    Parameters
    ----------
    seeds : tuple of str
        Addresses to ask before any node is known.
    rng : random.Random
        Chooses which daemon to ask.
    """

    def __init__(self, seeds: tuple[str, ...], rng: random.Random) -> None:
        self.seeds = seeds
        self.rng = rng
        self.map = OwnershipMap()
        self.document: Document = empty_document()
        self.document_version = 0
        self.next_refresh = 0.0
        self.last_sent = 0.0
        self.nonce = 0
        self.failed_addresses: set[str] = set()

    def due(self, now: float, active: bool) -> bool:
        """Return whether to ask for changes now."""
        return now >= self.next_refresh and (active or self.map.seq == 0)

    def invalidate(self, now: float) -> None:
        """Ask for changes soon, because an answer showed the map to be stale."""
        self.next_refresh = min(self.next_refresh, max(now, self.last_sent + MIN_REFRESH_SECONDS))

    def next_request(self, now: float) -> tuple[str, MapRequest]:
        """Return the address to ask and the question."""
        self.nonce += 1
        self.last_sent = now
        self.next_refresh = now + ANSWER_TIMEOUT_SECONDS
        return self.choose_address(), MapRequest(nonce=self.nonce, since=self.map.seq)

    def choose_address(self) -> str:
        """Return a random known daemon, avoiding those that could not be reached of late."""
        known = {row.peer_address for row in self.map.owners.values()} | set(self.seeds)
        usable = known - self.failed_addresses
        if not usable:
            self.failed_addresses.clear()
            usable = known
        return self.rng.choice(sorted(usable))

    def failed(self, address: str, now: float) -> None:
        """Note that no connection to an address was up."""
        self.failed_addresses.add(address)
        self.next_refresh = now + MIN_REFRESH_SECONDS

    def apply(self, reply: MapReply, now: float) -> None:
        """Take over changed rows; rows older than the known ones are ignored by the map."""
        self.map.apply(reply.rows, reply.seq)
        for key, version, value in reply.rows:
            if key == CONFIG_KEY and value is not None and version > self.document_version:
                self.document = decode_config_row(value)
                self.document_version = version
        self.failed_addresses.clear()
        if reply.nonce == self.nonce:
            self.next_refresh = now + REFRESH_SECONDS
