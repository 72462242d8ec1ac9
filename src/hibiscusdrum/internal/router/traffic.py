"""Bytes that this node sends and the delay of what reaches it, by kind and by own or other region.

The link between two regions and the link of a VM are shared by requests, bodies, answers and the store. A
full one shows as delay in both cases; what fills it shows in these counters.
"""

from __future__ import annotations

from bisect import bisect_left

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.settings import RouterSettings

# Interval of the summary in the log: short against the minutes of an incident, and few lines in a fleet.
SUMMARY_SECONDS = 5.0
OWN = "own"
OTHER = "other"
STORE = "store"
# Upper bounds in seconds of delays beyond the fastest message of a sender.
DELAY_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5)


class Traffic(Service):
    """Counts what is exchanged with other nodes and with the store.

    Attributes
    ----------
    sent : dict of (str, str) to int
        Bytes by place and kind of message; the place is the own region, another region or the store.
    received : dict of (str, str) to int
        Bytes by the store's operation.
    calls : dict of str to int
        Answered calls to the store by operation.
    delays : dict of str to list of int
        Messages by the bucket of their delay, for each place of their sender.
    """

    service_name = "traffic"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.sent: dict[tuple[str, str], int] = {}
        self.received: dict[tuple[str, str], int] = {}
        self.calls: dict[str, int] = {}
        self.reported_calls: dict[str, int] = {}
        self.delays: dict[str, list[int]] = {place: [0] * (len(DELAY_BOUNDS) + 1) for place in (OWN, OTHER)}
        self.longest: dict[str, float] = {OWN: 0.0, OTHER: 0.0}
        self.reported: dict[tuple[str, str], int] = {}

    def on_start(self) -> None:
        """Count the store's calls, and write a summary at intervals."""
        self.app.find("table").on_bytes = self.note_store
        self.app.scheduler.every(SUMMARY_SECONDS, self.summarize)

    def place(self, region: str) -> str:
        """Return whether a region is this node's."""
        return OWN if region == self.settings.region else OTHER

    def note_sent(self, region: str, kind: str, size: int) -> None:
        """Count a message to a node in a region."""
        key = (self.place(region), kind)
        self.sent[key] = self.sent.get(key, 0) + size

    def note_store(self, operation: str, sent: int, received: int) -> None:
        """Count a call to the store."""
        key = (STORE, operation)
        self.calls[operation] = self.calls.get(operation, 0) + 1
        self.sent[key] = self.sent.get(key, 0) + sent
        self.received[key] = self.received.get(key, 0) + received

    def note_delay(self, region: str, seconds: float) -> None:
        """Count a message from a node in a region by its delay beyond that sender's fastest one."""
        place = self.place(region)
        self.delays[place][bisect_left(DELAY_BOUNDS, seconds)] += 1
        self.longest[place] = max(self.longest[place], seconds)

    def summarize(self) -> None:
        """Log what was exchanged since the last summary."""
        totals = {(f"sent_{place}", kind): size for (place, kind), size in self.sent.items()}
        totals |= {(f"received_{place}", kind): size for (place, kind), size in self.received.items()}
        changes = {
            f"{name}.{kind}": size - self.reported.get((name, kind), 0)
            for (name, kind), size in totals.items()
        }
        self.reported = totals
        calls = {
            operation: count - self.reported_calls.get(operation, 0)
            for operation, count in self.calls.items()
        }
        self.reported_calls = dict(self.calls)
        longest, self.longest = self.longest, {OWN: 0.0, OTHER: 0.0}
        log_events.emit(
            events.TrafficSummary(
                seconds=SUMMARY_SECONDS,
                bytes={name: size for name, size in sorted(changes.items()) if size},
                calls={name: count for name, count in sorted(calls.items()) if count},
                longest_delay_own_s=round(longest[OWN], 3),
                longest_delay_other_s=round(longest[OTHER], 3),
            )
        )
