"""Counters of the bytes that this node sends and of the delay of received messages, by region and kind.

Requests, bodies, replies and store calls share the link between two regions and the link of a VM. A saturated
link shows as delay in both cases; these counters show what saturates it.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.settings import RouterSettings

# Interval of the log summary: short compared to the minutes of an incident, and few lines in a large fleet.
SUMMARY_INTERVAL_SECONDS = 5.0
OWN_REGION = "own"
OTHER_REGIONS = "other"
STORE = "store"
DROPPED_SUFFIX = "_dropped"
# Upper bounds of the histogram of transit delays, measured relative to the fastest message of each sender.
DELAY_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5)


class Traffic(Service):
    """Counts the traffic with other nodes and with the store.

    Attributes
    ----------
    sent_bytes : dict of (str, str) to int
        Bytes by place and kind of message; the place is this region, other regions or the store.
    received_bytes : dict of (str, str) to int
        Bytes received from the store, by place and operation. Those of answers that were not received to
        their end are counted under the operation with ``DROPPED_SUFFIX``.
    store_calls : dict of str to int
        Answered calls to the store, by operation.
    delay_counts : dict of str to list of int
        Number of messages in each histogram bucket of their transit delay, by place of the sender.
    summarized_calls, summarized_bytes : dict
        Totals at the time of the last summary.
    on_store_sent : callable
        Called with the bytes that a call to the store has sent.
    """

    service_name = "traffic"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.sent_bytes: dict[tuple[str, str], int] = {}
        self.received_bytes: dict[tuple[str, str], int] = {}
        self.store_calls: dict[str, int] = {}
        self.summarized_calls: dict[str, int] = {}
        self.delay_counts: dict[str, list[int]] = {
            place: [0] * (len(DELAY_BOUNDS_SECONDS) + 1) for place in (OWN_REGION, OTHER_REGIONS)
        }
        self.longest_delays: dict[str, float] = {OWN_REGION: 0.0, OTHER_REGIONS: 0.0}
        self.summarized_bytes: dict[tuple[str, str], int] = {}
        self.on_store_sent: Callable[[int], None] = lambda _size: None

    def on_start(self) -> None:
        """Register for the store's calls, and schedule the summaries."""
        table = self.app.find("table")
        table.on_bytes_transferred = self.count_store_call
        table.on_answer_dropped = self.count_dropped_answer
        self.app.scheduler.every(SUMMARY_INTERVAL_SECONDS, self.log_summary)

    def place_of(self, region: str) -> str:
        """Return the place of a region: this node's region or other regions."""
        return OWN_REGION if region == self.settings.region else OTHER_REGIONS

    def count_sent(self, region: str, kind: str, size: int) -> None:
        """Count the bytes of a message to a node in a region."""
        key = (self.place_of(region), kind)
        self.sent_bytes[key] = self.sent_bytes.get(key, 0) + size

    def count_store_call(self, operation: str, sent: int, received: int) -> None:
        """Count a call to the store and its bytes."""
        key = (STORE, operation)
        self.store_calls[operation] = self.store_calls.get(operation, 0) + 1
        self.sent_bytes[key] = self.sent_bytes.get(key, 0) + sent
        self.received_bytes[key] = self.received_bytes.get(key, 0) + received
        self.on_store_sent(sent)

    def count_dropped_answer(self, operation: str, received: int) -> None:
        """Count the bytes of an answer of the store that was not received to its end."""
        key = (STORE, operation + DROPPED_SUFFIX)
        self.received_bytes[key] = self.received_bytes.get(key, 0) + received

    def count_delay(self, region: str, seconds: float) -> None:
        """Count a message from a region by its delay relative to the fastest message of the same sender."""
        place = self.place_of(region)
        self.delay_counts[place][bisect_left(DELAY_BOUNDS_SECONDS, seconds)] += 1
        self.longest_delays[place] = max(self.longest_delays[place], seconds)

    def log_summary(self) -> None:
        """Log the traffic since the last summary."""
        totals = {(f"sent_{place}", kind): size for (place, kind), size in self.sent_bytes.items()}
        totals |= {(f"received_{place}", kind): size for (place, kind), size in self.received_bytes.items()}
        changes = {
            f"{name}.{kind}": size - self.summarized_bytes.get((name, kind), 0)
            for (name, kind), size in totals.items()
        }
        self.summarized_bytes = totals
        calls = {
            operation: count - self.summarized_calls.get(operation, 0)
            for operation, count in self.store_calls.items()
        }
        self.summarized_calls = dict(self.store_calls)
        longest, self.longest_delays = self.longest_delays, {OWN_REGION: 0.0, OTHER_REGIONS: 0.0}
        log_events.emit(
            events.TrafficSummary(
                seconds=SUMMARY_INTERVAL_SECONDS,
                bytes={name: size for name, size in sorted(changes.items()) if size},
                calls={name: count for name, count in sorted(calls.items()) if count},
                longest_delay_own_s=round(longest[OWN_REGION], 3),
                longest_delay_other_s=round(longest[OTHER_REGIONS], 3),
            )
        )
