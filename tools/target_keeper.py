"""Starts targets again that have ended by themselves, as the platform does."""

from __future__ import annotations

import threading
import time

from tools.router_system import TARGET_SECONDS, RouterSystem, Vm

CHECK_INTERVAL_SECONDS = 0.02
RESTART_SECONDS = 3.0


class TargetKeeper(threading.Thread):
    """Watches the targets of a system until it is told to stop.

    Parameters
    ----------
    target_seconds : float
        Seconds that a request takes at a target.
    """

    def __init__(self, system: RouterSystem, target_seconds: float = TARGET_SECONDS) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.target_seconds = target_seconds
        self.stopped = threading.Event()
        self.ended_at: dict[str, float] = {}

    def run(self) -> None:
        """Start each target that has ended again after a delay."""
        while not self.stopped.wait(CHECK_INTERVAL_SECONDS):
            for vm in self.system.vms.values():
                if vm.target is not None and not vm.target.running:
                    self.restart_when_due(vm)

    def restart_when_due(self, vm: Vm) -> None:
        """Start a target again if it has ended long enough ago."""
        now = time.monotonic()
        if vm.name not in self.ended_at:
            self.ended_at[vm.name] = now
        elif now - self.ended_at[vm.name] >= RESTART_SECONDS:
            del self.ended_at[vm.name]
            self.system.start_target(vm, self.target_seconds)

    def stop(self) -> None:
        """End the watch."""
        self.stopped.set()
        self.join()
