"""What a node knows of a polled table: a fingerprint of its rows, and when these were the newest ones."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 8


def hash_row(key: str, version: int) -> int:
    """Return a hash of the key and the version of a row."""
    text = f"{key}\t{version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=FINGERPRINT_BYTES).digest(), "big")


class KnownRows:
    """Fingerprint of the rows of a table, kept up to date row by row, and the stamps of its confirmations.

    A stamp is a time in seconds on the store's clock. No change before it is missing among the rows, so that
    it stays true when newer rows follow.

    Attributes
    ----------
    versions : dict of str to int
        Versions of the rows by key, without deleted ones.
    fingerprint : int
        Exclusive or of the hashes of all rows.
    stamp : float
        Newest stamp by the store or a peer; 0 if there is none.
    peer_stamp : float
        Newest stamp by a peer; 0 if there is none.
    """

    __slots__ = ("fingerprint", "peer_stamp", "stamp", "versions")

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.fingerprint = 0
        self.stamp = self.peer_stamp = 0.0

    def put(self, key: str, version: int) -> None:
        """Record a row that was written."""
        self.remove(key)
        self.versions[key] = version
        self.fingerprint ^= hash_row(key, version)

    def remove(self, key: str) -> None:
        """Record that a row was deleted."""
        former = self.versions.pop(key, None)
        if former is not None:
            self.fingerprint ^= hash_row(key, former)

    def confirm(self, stamp: float) -> None:
        """Record that the store has answered that no changes are missing."""
        self.stamp = max(self.stamp, stamp)

    def confirm_by_peer(self, stamp: float) -> None:
        """Record that a peer with the same fingerprint has this stamp."""
        self.peer_stamp = max(self.peer_stamp, stamp)
        self.confirm(stamp)

    def forget_stamps(self) -> None:
        """Forget the stamps, because the clock of a restored store may be behind that of the former one."""
        self.stamp = self.peer_stamp = 0.0
