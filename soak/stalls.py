"""Log of the times at which the soak's own process stood still, which make answers look late."""

from __future__ import annotations

import time
from collections.abc import Callable

from soak.callers import Caller

INTERVAL_SECONDS = 0.02
MIN_STALL_SECONDS = 0.2


class StallLog(Caller):
    """Logs each sleep of this process that lasts much longer than asked for; sends no requests."""

    def __init__(self, log_event: Callable[[str], None]) -> None:
        super().__init__(None, 0.0)
        self.log_event = log_event

    def run(self) -> None:
        """Sleep until stopped, and log the sleeps that were too long."""
        while not self.stopping:
            began_at = time.monotonic()
            time.sleep(INTERVAL_SECONDS)
            stalled = time.monotonic() - began_at - INTERVAL_SECONDS
            if stalled > MIN_STALL_SECONDS:
                self.log_event(f"the soak itself stood still for {stalled:.2f} s")
