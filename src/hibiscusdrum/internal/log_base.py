"""Base class of the numbered log events."""

from __future__ import annotations

import re
from typing import Any, ClassVar

import msgspec


class LogEvent(msgspec.Struct, frozen=True):
    """Base class of all log events.

    Attributes
    ----------
    number : int
        Stable number; numbers of removed events are not used again.
    level : str
        ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    fields : tuple of str
        Names of the fields that are written with the event.
    cause : str
        What causes the event.
    operator_action : str
        What an operator should do.
    rate_limited : bool
        Whether the lines of this class are limited to ``lines_per_interval`` for each
        ``RATE_LIMIT_INTERVAL_SECONDS``; the next line that is written states how many events were left out.
    lines_per_interval : int
        Lines of a rate-limited class that are written in one interval, at most.
    """

    number: ClassVar[int] = 0
    rate_limited: ClassVar[bool] = False
    lines_per_interval: ClassVar[int] = 1
    level: ClassVar[str] = "INFO"
    fields: ClassVar[tuple[str, ...]] = ()
    cause: ClassVar[str] = ""
    operator_action: ClassVar[str] = "None."

    @classmethod
    def event_name(cls) -> str:
        """Return the class name in snake case, as written to the log."""
        return re.sub(r"(?<=[a-z])(?=[A-Z])", "_", cls.__name__).lower()

    def rate_limit_key(self) -> Any:
        """Return the key of the rate limit; events with equal keys count against the same limit."""
        return type(self)
