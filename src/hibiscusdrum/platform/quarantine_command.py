"""Commands for operators that list the requests in quarantine, or release one, through the store."""

from __future__ import annotations

import sys
from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.decoding import refusing_malformed
from hibiscusdrum.internal.kernel import Application
from hibiscusdrum.internal.platform.table import Row, Transaction
from hibiscusdrum.internal.router.quarantine_rows import (
    ROW_KIND,
    QuarantineRow,
    decode_identity,
    row_key,
)
from hibiscusdrum.platform.store import MEMBERS_TABLE, StoreClient, WireRows, decode_row

EXIT_FAILED = 1
# First text after those that begin with the kind of row and a slash.
END_OF_ROWS = f"{ROW_KIND}0"
OPERATOR_NAME = "operator"


class QuarantineCommand:
    """Runs one command on the rows of held requests, and ends the application.

    Parameters
    ----------
    app : Application
        Has the services ``http_client`` and ``table``.
    """

    def __init__(self, app: Application, store: StoreClient) -> None:
        self.app = app
        self.store = store

    def list_rows(self) -> None:
        """Print a line for each row: identity, node of the last crash, number of holds, whether released."""
        self.read_rows(self.print_rows)

    def release(self, identity: bytes) -> None:
        """Write that a request is released, whether or not the store has a row of it."""
        key = row_key(identity)

        def on_rows(rows: dict[str, Row]) -> None:
            current = rows.get(key)
            version = current.version if current is not None else 0
            row = self.decode(current) if current is not None and current.value is not None else None
            released = msgspec.structs.replace(row or QuarantineRow(OPERATOR_NAME), released=True)
            transaction = Transaction(
                new_operation_id(), {key: version}, {key: msgspec.to_builtins(released)}
            )
            self.store.commit(transaction, on_committed)

        def on_committed(result: Result[int, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                print(f"released {identity.hex()}")
                self.app.shutdown(0)
            else:
                self.fail(result.failure())

        self.read_rows(on_rows)

    def read_rows(self, callback: Callable[[dict[str, Row]], None]) -> None:
        """Read all rows of held requests."""

        def on_response(result: Result[WireRows, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                callback({row.key: decode_row(row) for row in result.unwrap().records})
            else:
                self.fail(result.failure())

        self.store.read_range(MEMBERS_TABLE, f"{ROW_KIND}/", END_OF_ROWS, on_response)

    def print_rows(self, rows: dict[str, Row]) -> None:
        """Print the rows; those that cannot be decoded are named on standard error."""
        for key, row in rows.items():
            value = self.decode(row)
            if value is not None:
                state = "released" if value.released else f"held for {value.hold_seconds:.0f} s"
                print(f"{key.partition('/')[2]}  {value.node}  holds={value.holds}  {state}")
        self.app.shutdown(0)

    def decode(self, row: Row) -> QuarantineRow | None:
        """Return the value of a row; None, and a line on standard error, if it cannot be decoded."""
        try:
            decode_identity(row.key)
            with refusing_malformed("quarantine row", row.value):
                return msgspec.convert(row.value, QuarantineRow)
        except InvalidArgument as error:
            print(f"hibiscusdrum: {error}", file=sys.stderr)
            return None

    def fail(self, error: HibiscusdrumError) -> None:
        """Print an error, and end with an exit code that shows it."""
        print(f"hibiscusdrum: {error}", file=sys.stderr)
        self.app.shutdown(EXIT_FAILED)
