"""Interface of the table service: rows, transactions and their results.

A ``Transaction`` is conditional: ``checks`` maps each key to the version that its row must have, 0 for an
absent row. All rows that a transaction writes get its sequence number as their version. If the ``epoch``
field of a value in ``puts`` is the string ``"$SEQ"``, the service replaces it by the sequence number.

Versions and sequence numbers of a table that has eras are those of ``make_version``, so that comparing them
orders by era first.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from returns.result import Result

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument

# A version consists of the era of the store and, in this many low bits, the number that the store gave out.
VERSION_NUMBER_BITS = 48
SEQUENCE_PLACEHOLDER = "$SEQ"


class Row(msgspec.Struct, frozen=True):
    """A row that was read.

    Attributes
    ----------
    version : int
        Version of the row, or of its deletion.
    value : Any
        Decoded value; None if the row was deleted or its value cannot be decoded.
    unreadable : bool
        Whether the row exists, but its value cannot be decoded.
    """

    key: str
    version: int
    value: Any = None
    unreadable: bool = False


class Changes(msgspec.Struct, frozen=True):
    """Rows written after a sequence number, and the current sequence number of the table.

    Attributes
    ----------
    seq : int
        Sequence number up to which the rows are current.
    rows : tuple of Row
        Changed rows, deleted ones included.
    complete : bool
        Whether these are all rows of the table; a row that is not among them no longer exists.
    stamp : float
        Time in seconds on the clock of the table service at which ``seq`` was current; 0 if unknown.
    """

    seq: int
    rows: tuple[Row, ...]
    complete: bool = False
    stamp: float = 0.0


class Transaction(msgspec.Struct, frozen=True):
    """A conditional write of several rows.

    Attributes
    ----------
    operation_id : str
        Unique id; a transaction that is sent again under the same id returns the first result.
    checks : dict of str to int
        Version that the row of each key must have; 0 if there must be no row.
    puts : dict of str to Any
        New value of each key, encoded as JSON.
    deletes : tuple of str
        Keys to delete.
    """

    operation_id: str
    checks: dict[str, int]
    puts: dict[str, Any]
    deletes: tuple[str, ...] = ()


def make_version(era: int, number: int) -> int:
    """Return the version of a row that was read in an era of the store.

    A store that is restored from a copy begins a new era, in which it gives out numbers of the former one
    again. Versions are ordered by era first, so that whatever is read in a newer era replaces what was known.

    Raises
    ------
    InvalidArgument
        If the number is negative or has more than ``VERSION_NUMBER_BITS`` bits.
    """
    if not 0 <= number < 1 << VERSION_NUMBER_BITS:
        raise InvalidArgument(
            name="version", value=number, expected=f"an integer of {VERSION_NUMBER_BITS} bits"
        )
    return era << VERSION_NUMBER_BITS | number


def era_of(version: int) -> int:
    """Return the era of the store in which a version was read; 0 if the store names none."""
    return version >> VERSION_NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number that the store itself uses for a version."""
    return version & ((1 << VERSION_NUMBER_BITS) - 1)


ReadCallback = Callable[[Result[dict[str, Row], HibiscusdrumError]], None]
ChangesCallback = Callable[[Result[Changes, HibiscusdrumError]], None]
CommitCallback = Callable[[Result[int, HibiscusdrumError]], None]
EraListener = Callable[[int, int], None]


class Table(Protocol):
    """Asynchronous client of the table service; callbacks run in the event loop.

    Attributes
    ----------
    era : int
        Newest era of the table that an answer named; 0 while none did.
    on_era_change : list of callable
        Called with the former and the new era when an answer names a newer one, before that answer is
        delivered. The first era that this process sees is no change.
    """

    era: int
    on_era_change: list[EraListener]

    def read(self, keys: tuple[str, ...], callback: ReadCallback) -> None:
        """Read rows by key; absent rows are left out of the result."""

    def changes(self, since: int, callback: ChangesCallback) -> None:
        """Read every row written after ``since`` (0 reads the whole table)."""

    def commit(self, transaction: Transaction, callback: CommitCallback) -> None:
        """Write conditionally; yields the sequence number, ``StoreConflict`` or ``StoreUnavailable``.

        After ``StoreUnavailable`` with reason ``"unknown"``, the write may have taken effect or still do so.
        ``TableClient`` reads the outcome back by the operation id after a lost answer, so that it reports
        ``"unknown"`` only when the outcome could not be learned within its time limit.
        """
