"""Service while a failure domain leaves and returns, by plan and confirm and without notice.

Run as ``python -m bench.domain_cycle``. Real processes on loopback, one caller with a few calls in flight.
"""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from returns.result import Success
from tools.demo import Demo, crest_request

from hibiscusdrum import Caller

DOMAIN = "ost-graz"
IN_FLIGHT = 4
PHASE_SECONDS = 6.0
KEYS = 500
TIMEOUT_SECONDS = 6.0


class Load:
    """Keeps some calls open and records their latencies.

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
        self.latencies: list[float] = []

    def submit(self) -> None:
        """Start one call."""
        self.count += 1
        self.open += 1
        sent = time.monotonic()

        def done(result) -> None:
            self.open -= 1
            self.latencies.append(time.monotonic() - sent)
            self.failed += not isinstance(result, Success)

        self.caller.submit(crest_request(f"key-{self.count % KEYS}", TIMEOUT_SECONDS), done)

    def run(self, seconds: float) -> None:
        """Load for some seconds, then wait for the open calls."""
        end = time.monotonic() + seconds
        while time.monotonic() < end or self.open:
            while self.open < IN_FLIGHT and time.monotonic() < end:
                self.submit()
            self.caller.poll(0.05)


def measure(name: str, leave: Callable[[Demo], None], back: Callable[[Demo], None]) -> float:
    """Load a system while the domain leaves and returns; prints and returns the longest wait."""
    with tempfile.TemporaryDirectory(prefix="hibiscusdrum-bench-") as folder:
        demo = Demo(Path(folder))
        try:
            demo.start()
            demo.configure()
            before = {row["node"]: row["slices"] for row in demo.owners()}
            with Caller([node.peer for node in demo.nodes.values()], region="ost", seed=1) as caller:
                load = Load(caller)
                load.run(1.0)
                leave(demo)
                load.run(PHASE_SECONDS)
                back(demo)
                load.run(PHASE_SECONDS)
            after = {row["node"]: row["slices"] for row in demo.owners()}
        finally:
            demo.stop()
    waits = sorted(load.latencies)
    p99 = waits[int(0.99 * len(waits))]
    print(f"{name:<10} {load.count} requests, {load.failed} failed, p99 {p99 * 1000:.1f} ms", end=", ")
    print(f"longest wait {waits[-1] * 1000:.0f} ms\n  slices before {before}\n  after         {after}")
    return waits[-1]


def drain(demo: Demo) -> None:
    """Drain the domain by plan and confirm."""
    demo.confirm({"kind": "drain_failure_domain", "failure_domain": DOMAIN})


def undrain(demo: Demo) -> None:
    """Return the domain by plan and confirm."""
    demo.confirm({"kind": "return_failure_domain", "failure_domain": DOMAIN})


def lose(demo: Demo) -> None:
    """Kill every process of the domain."""
    for node in demo.nodes.values():
        if node.vm.failure_domain == DOMAIN:
            node.daemon.kill()
            node.target.kill()


def restart(demo: Demo) -> None:
    """Start the processes of the domain again."""
    for node in demo.nodes.values():
        if node.vm.failure_domain == DOMAIN:
            demo.start_node(node)


def main() -> int:
    """Measure both ways."""
    print("command: python -m bench.domain_cycle")
    planned = measure("planned", drain, undrain)
    lost = measure("lost", lose, restart)
    print(f"longest wait, planned to lost: {planned / lost:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
