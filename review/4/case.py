"""A router is killed while its handover of keys is on its way to the store, which does it seconds later."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import CannotRun, Deployment, Machine, run_case, trouble

CASE = Path(__file__).resolve().parent
ROUTES = [["lists", "lists.example", "/l/", "idempotent", 4.0, 0.8, 2, "lista", 2]]
SERVICES = [["lista", "/healthz", 74, 3.0, 8.8, True]]
# `platform_lost` with `late`: a call without an answer may be done 1 to 6 s later.
LATE_SECONDS = (1.0, 6.0)
# The site's largest share of lost writes, and for how long.
LOST_SHARE = 0.35
LOST_SECONDS = 4.5
RESTART_DELAY_SECONDS = 0.5
# "Two instances that are up hold the same keys for over half a second."
OVERLAP_BOUND_SECONDS = 0.5


class LateHandover:
    """Does the last handover to the new instance late, and kills the router that has sent it."""

    def __init__(self, deployment: Deployment, newcomer: Machine) -> None:
        self.deployment = deployment
        self.newcomer = newcomer
        self.handovers = 0
        self.killed: Machine | None = None
        self.sent_at = 0.0
        self.transaction: dict[str, Any] | None = None
        self.writes: list[float] = []
        self.outcome = 0
        self.held_before = {
            machine.name: deployment.held_count(machine) for machine in deployment.machines[:4]
        }
        deployment.store.delay_rule = self.delay
        deployment.store.on_transaction = self.on_transaction

    def delay(self, name: str, transaction: dict[str, Any]) -> float | None:
        """Keep back the handover after which the new instance has its share."""
        self.writes.append(time.monotonic())
        ring = any(row["key"].startswith("ring/") for row in transaction["write"])
        if not (ring and self.handovers == 2 and self.killed is None and trouble()):
            return None
        self.killed = next(machine for machine in self.deployment.machines if machine.name == name)
        self.sent_at, self.transaction = time.monotonic(), transaction
        self.deployment.note(
            "write_kept_back", machine=name, keys=[row["key"] for row in transaction["write"]]
        )
        # Applied by ``apply_late``; the caller gets no answer.
        return 3600.0

    def on_transaction(self, name: str, transaction: dict[str, Any], status: int, late: bool) -> None:
        """Count the handovers to the new instance."""
        if any(row["key"].startswith("ring/") for row in transaction["write"]):
            self.deployment.note("ring_write", machine=name, status=status, late=late)
            self.handovers += status == 200 and self.newcomer.instance is not None
        if late:
            self.outcome = status

    async def apply_late(self) -> None:
        """Do the write within the time that the pages name, once the instance holds its former keys again."""
        old = self.killed
        while time.monotonic() < self.sent_at + LATE_SECONDS[1] - 0.1:
            recent = time.monotonic() - old.instance.beat_answered_at < 0.1
            held_again = self.deployment.held_count(old) >= self.held_before[old.name]
            if recent and held_again and time.monotonic() > self.sent_at + LATE_SECONDS[0]:
                break
            await asyncio.sleep(0.01)
        late = time.monotonic() - self.sent_at
        self.deployment.store.apply(self.killed.name, self.transaction, True)
        self.deployment.note("write_done", after_s=round(late, 3), status=self.outcome)


async def case() -> bool:
    """Run the case; returns whether the rule was broken."""
    places = [("santiago-a", "santiago", "lista"), ("santiago-b", "santiago", "lista"),
              ("pmontt-a", "puerto-montt", "lista"), ("pmontt-a", "puerto-montt", "lista"),
              ("santiago-a", "santiago", "lista")]  # fmt: skip
    deployment = Deployment(CASE, places)
    try:
        first, newcomer = deployment.machines[:4], deployment.machines[4]
        await deployment.start(first, ROUTES, SERVICES, partitioned=True)
        await deployment.wait_ready(first)
        await deployment.wait_for(lambda: deployment.all_keys_held("lista"), 20.0, "all keys are held")
        deployment.say("all keys are held; an empty instance is added")
        # The heartbeats of the new instance follow those of the others by 0.3 s.
        await deployment.wait_for(
            lambda: 0.25 < time.monotonic() - first[0].instance.beat_answered_at < 0.35, 5.0, "a heartbeat"
        )
        handover = LateHandover(deployment, newcomer)
        deployment.start_machine(newcomer, partitioned=True)
        await deployment.wait_ready([newcomer])
        if trouble():
            await deployment.wait_for(lambda: handover.killed is not None, 40.0, "a third handover is sent")
            await asyncio.sleep(0.05)
            deployment.kill_router(handover.killed)
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            deployment.start_router(handover.killed)
            await handover.apply_late()
            await asyncio.sleep(8.0)
            window = [at for at in handover.writes if 0.0 <= at - handover.sent_at < LOST_SECONDS]
            deployment.say(
                f"1 of {len(window)} writes of {LOST_SECONDS} s done late; its outcome: {handover.outcome}"
            )
            if LOST_SHARE * len(window) < 1 or handover.outcome != 200:
                raise CannotRun("the late write was one of too few, or its condition no longer held")
        else:
            await deployment.wait_for(lambda: handover.handovers >= 3, 40.0, "three handovers are done")
            await asyncio.sleep(8.0)
        await deployment.wait_for(
            lambda: deployment.all_keys_held("lista"), 15.0, "all keys are held by one each"
        )
        seconds, one, other, key = deployment.longest_overlap
        deployment.say(
            f"longest time that two instances held one key: {seconds:.3f} s, {one} and {other}, key {key}"
        )
        return seconds > OVERLAP_BOUND_SECONDS
    finally:
        await deployment.close()


if __name__ == "__main__":
    run_case(case)
