"""Time until a hot key has an owner entry of its own, and until it has lost it again, with real processes.

Run as ``python -m bench.hot_key_move``. One key gets half of the requests for some seconds, then none.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

from returns.result import Success
from tools.demo import Demo, crest_request

from hibiscusdrum import Caller

IN_FLIGHT = 8
HOT_SECONDS = 20.0
COOL_SECONDS = 60.0
HOT_KEY = "gift-of-the-day"
OTHER_KEYS = 500
CHECK_SECONDS = 0.5


class Load:
    """Keeps some calls open and counts their outcomes.

    Parameters
    ----------
    caller : Caller
        Sends the calls.
    """

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.open = 0
        self.count = 0
        self.failed = 0

    def done(self, result) -> None:
        """Count an outcome."""
        self.open -= 1
        if not isinstance(result, Success):
            self.failed += 1
            print(f"failed: {result.failure()}")

    def run_until(self, condition, seconds: float, hot: bool) -> float | None:
        """Load until a condition holds; returns the seconds it took, None when it did not."""
        started = checked = time.monotonic()
        while time.monotonic() - started < seconds:
            while self.open < IN_FLIGHT:
                self.count += 1
                self.open += 1
                key = HOT_KEY if hot and self.count % 2 else f"key-{self.count % OTHER_KEYS}"
                self.caller.submit(crest_request(key), self.done)
            self.caller.poll(0.05)
            if time.monotonic() - checked > CHECK_SECONDS:
                checked = time.monotonic()
                if condition():
                    return checked - started
        return None

    def drain(self) -> None:
        """Wait for the calls that are still open; closing the caller would end them as unknown."""
        while self.open:
            self.caller.poll(0.1)


def main() -> int:
    """Run the measurement."""
    print("command: python -m bench.hot_key_move")
    with tempfile.TemporaryDirectory(prefix="hibiscusdrum-bench-") as folder:
        demo = Demo(Path(folder))
        try:
            demo.start()
            demo.configure()
            with Caller([node.peer for node in demo.nodes.values()], region="ost", seed=1) as caller:
                load = Load(caller)
                before = demo.owner_of(HOT_KEY)
                isolated = load.run_until(
                    lambda: any(r["hot_keys"] for r in demo.owners()), HOT_SECONDS, True
                )
                after = demo.owner_of(HOT_KEY)
                merged = load.run_until(
                    lambda: not any(r["hot_keys"] for r in demo.owners()), COOL_SECONDS, False
                )
                load.drain()
        finally:
            demo.stop()
    print(f"isolated after {isolated} s, owner {before} before and {after} after")
    print(f"merged again {merged} s after the load moved away, owner {before}")
    print(f"{load.count} requests, {load.failed} failed")
    return 0 if isolated and merged and not load.failed else 1


if __name__ == "__main__":
    sys.exit(main())
