"""Base of the numbered log events."""

from __future__ import annotations

import re
from typing import Any, ClassVar

import msgspec


class LogEvent(msgspec.Struct, frozen=True):
    """Base of all events.

    Attributes
    ----------
    number : int
        Stable number; numbers of removed events are not used again.
    level : str
        ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    fields : tuple of str
        Names of the values that an event carries.
    cause : str
        What leads to the event.
    operator_action : str
        What an operator should do.
    limited : bool
        Whether at most ``lines`` lines are written for each ``LIMITED_INTERVAL_SECONDS``; the next line
        states how many were left out.
    lines : int
        Lines of a limited class that are written in that time.
    """

    number: ClassVar[int] = 0
    limited: ClassVar[bool] = False
    lines: ClassVar[int] = 1
    level: ClassVar[str] = "INFO"
    fields: ClassVar[tuple[str, ...]] = ()
    cause: ClassVar[str] = ""
    operator_action: ClassVar[str] = "None."

    @classmethod
    def event_name(cls) -> str:
        """Return the class name in snake case, as written to the log."""
        return re.sub(r"(?<=[a-z])(?=[A-Z])", "_", cls.__name__).lower()

    def limit_key(self) -> Any:
        """Return what events of a limited class share their limit by."""
        return type(self)
