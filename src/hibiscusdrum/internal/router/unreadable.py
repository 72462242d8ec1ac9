"""Entries of other writers that could not be decoded: counted, and each logged once."""

from __future__ import annotations

from collections import OrderedDict

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.router import events

# Entries that are remembered; one that is forgotten is logged again.
MAX_ENTRIES = 1000


class UnreadableEntries:
    """Unreadable entries, by name.

    Attributes
    ----------
    count : int
        Number of times that an entry could not be decoded.
    reasons : OrderedDict of str to str
        What was expected when it was last logged for each entry, the most recently recorded entry last.
    """

    __slots__ = ("count", "reasons")

    def __init__(self) -> None:
        self.count = 0
        self.reasons: OrderedDict[str, str] = OrderedDict()

    def record(self, name: str, error: InvalidArgument) -> None:
        """Count an entry, and log it unless it was last logged for the same reason.

        The reason is what was expected; the excerpt of the entry may differ each time.
        """
        self.count += 1
        known = self.reasons.pop(name, None)
        self.reasons[name] = error.expected
        if len(self.reasons) > MAX_ENTRIES:
            self.reasons.popitem(last=False)
        if known != error.expected:
            log_events.emit(events.RowUnreadable(what=name, reason=str(error)))


# Shared by the process, like the log.
unreadable_entries = UnreadableEntries()
