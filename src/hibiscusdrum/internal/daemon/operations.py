"""Helpers for transactions on the table."""

from __future__ import annotations

import uuid

from returns.result import Result

from hibiscusdrum.errors import HibiscusdrumError


def ignore_result(_result: Result[int, HibiscusdrumError]) -> None:
    """Ignore the result of a write, for callers whose next periodic check retries a failed one."""


def new_operation_id() -> str:
    """Return a new unique operation id for a transaction."""
    return uuid.uuid4().hex
