"""A full instance resets new connections; its router takes that for its end and gives its keys away."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import PROBE_KEYS, Deployment, run_case, trouble

CASE = Path(__file__).resolve().parent
ROUTES = [["lists", "lists.example", "/l/", "idempotent", 4.0, 0.8, 2, "lista", 2]]
SERVICES = [["lista", "/healthz", 74, 3.0, 8.8, True]]
# The largest dose of `give_up` within half the objective: a share of 0.3 of the clients for 4 s.
LEAVING_SHARE = 0.3
LEAVE_WITHIN_SECONDS = 0.4
TROUBLE_SECONDS = 4.0
PAUSE_SECONDS = 8.0
ROUNDS = 6
CLIENTS = 30
# "Two instances that are up hold the same keys for over half a second."
OVERLAP_BOUND_SECONDS = 0.5
# Delay of the first heartbeat of each instance.
OFFSETS = (0.0, 0.6, 0.95)


async def case() -> bool:
    """Run the case; returns whether the rule was broken."""
    places = [("santiago-a", "santiago", "lista"), ("santiago-b", "santiago", "lista"),
              ("pmontt-a", "puerto-montt", "lista")]  # fmt: skip
    deployment = Deployment(CASE, places)
    try:
        machines = deployment.machines
        await deployment.start([], ROUTES, SERVICES)
        begin = time.monotonic()
        for machine, offset in zip(machines, OFFSETS, strict=True):
            await asyncio.sleep(max(0.0, begin + offset - time.monotonic()))
            deployment.start_machine(machine, partitioned=True, work_s=0.22, drops=False)
        await deployment.wait_ready(machines)
        await deployment.wait_for(lambda: deployment.all_keys_held("lista"), 20.0, "all keys are held")
        busy = machines[0].instance
        # Busy keys lie close to one another: those of one instance.
        keys = [key for key in PROBE_KEYS if busy.holds(key)][:20]
        deployment.say(f"{CLIENTS} clients ask for {len(keys)} keys that {busy.name} holds")
        rng = random.Random()
        leaving = False
        ended = False

        async def client(number: int) -> None:
            count = 0
            while not ended:
                count += 1
                gives_up = leaving and number < LEAVING_SHARE * CLIENTS
                await deployment.request(
                    machines[number % len(machines)], "GET", "lists.example", "/l/x",
                    f"{number:02x}{count:06x}",
                    key=keys[rng.randrange(len(keys))],
                    leave_after_s=rng.uniform(0.0, LEAVE_WITHIN_SECONDS) if gives_up else None,
                )  # fmt: skip
                await asyncio.sleep(0.05)

        clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(3.0)
        for _ in range(ROUNDS):
            leaving = trouble()
            deployment.note("give_up_begins", active=leaving)
            await asyncio.sleep(TROUBLE_SECONDS)
            leaving = False
            deployment.note("give_up_ends")
            await asyncio.sleep(PAUSE_SECONDS)
        ended = True
        await asyncio.gather(*clients)
        return judge(deployment)
    finally:
        await deployment.close()


def judge(deployment: Deployment) -> bool:
    """Return whether two instances held one key for too long, or one was given a key too early."""
    for machine in deployment.machines:
        refused = [
            entry
            for entry in deployment.router_events(machine, "target_gone")
            if entry["fields"]["reason"] == "refused"
        ]
        deployment.say(
            f"{machine.instance.name} was up all the time and reset {machine.instance.resets} connections; "
            f"its router took it for ended {len(refused)} times"
        )
    statuses: dict[int, int] = {}
    for entry in deployment.events:
        if entry["event"] == "answered":
            statuses[entry["status"]] = statuses.get(entry["status"], 0) + 1
    deployment.say(f"answers by status: {statuses}")
    seconds, one, other, key = deployment.longest_overlap
    deployment.say(
        f"longest time that two instances held one key: {seconds:.3f} s, {one} and {other}, key {key}"
    )
    deployment.say(
        f"instances that were given keys on which another was at work: {len(deployment.given_at_work)}"
    )
    return seconds > OVERLAP_BOUND_SECONDS or bool(deployment.given_at_work)


if __name__ == "__main__":
    run_case(case)
