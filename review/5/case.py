"""A restarted router forgets that its instance has left, once a late heartbeat arrives."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import CannotRun, Deployment, run_case, trouble

CASE = Path(__file__).resolve().parent
ROUTES = [["grants", "sights.example", "/g/", "non_idempotent", 4.0, 1.0, 1, "registro", 2]]
SERVICES = [["registro", "/healthz", 74, 3.0, 8.8, None]]
GRACE_SECONDS = 6.0
RESTART_DELAY_SECONDS = 0.5
DRAIN_SECONDS = 2.5
# A machine is in touch once its processes have run for this long.
CONTACT_SECONDS = 4.0
# "It continues serving for `drainS` after the acknowledgement and a little longer (at times many seconds)."
SERVES_SECONDS = 9.0
CLIENTS = 12


async def case() -> bool:
    """Run the case; returns whether the rule was broken."""
    places = [
        ("santiago-a", "santiago", "registro"),
        ("santiago-b", "santiago", "registro"),
        ("pmontt-a", "puerto-montt", "registro"),
    ]
    deployment = Deployment(CASE, places)
    try:
        machines = deployment.machines
        first, others = machines[0], machines[1:]
        await deployment.start(machines, ROUTES, SERVICES, work_s=0.3)
        await deployment.wait_ready(machines)
        await asyncio.sleep(5.0)
        ended = False

        async def client(number: int) -> None:
            count = 0
            while not ended:
                count += 1
                machine = others[number % len(others)]
                attempt = f"{number:02x}{count:06x}"
                await deployment.request(machine, "POST", "sights.example", "/g/x", attempt, b"sighting")
                await asyncio.sleep(0.05)

        clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(1.0)
        instance = first.instance
        # This heartbeat is on its way for seconds; those that follow it find no router.
        late_heartbeat = instance.next_heartbeat()
        first.router.send_signal(signal.SIGTERM)
        deployment.note("sigterm", machine=first.name)
        await deployment.wait_for(lambda: first.router.poll() is not None, GRACE_SECONDS, "the router ends")
        instance.tasks[0].cancel()
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        deployment.start_router(first)
        started_at = time.monotonic()
        while not await instance.leave():
            if time.monotonic() > started_at + 5.0:
                raise CannotRun("the notice is not acknowledged")
            await asyncio.sleep(0.05)
        left_at = time.monotonic()
        deployment.note("leave_acknowledged", instance=instance.name)
        await asyncio.sleep(0.3)
        if trouble():
            answer = await instance.call("PUT", late_heartbeat)
            deployment.note("late_heartbeat", status=answer.status if answer is not None else 0)
        await asyncio.sleep(left_at + SERVES_SECONDS - time.monotonic())
        instance.crash()
        deployment.note("instance_ends", instance=instance.name, running=instance.running)
        await asyncio.sleep(3.0)
        ended = True
        await asyncio.gather(*clients)
        bound = max(left_at + DRAIN_SECONDS, started_at + CONTACT_SECONDS) - deployment.started_at
        return judge(deployment, instance.name, bound)
    finally:
        await deployment.close()


def judge(deployment: Deployment, name: str, bound: float) -> bool:
    """Return whether requests reached an instance too long after its leaving was acknowledged."""
    runs = [entry for entry in deployment.events if entry["event"] == "run" and entry["instance"] == name]
    late = [entry for entry in runs if entry["at"] > bound]
    done = {entry["attempt"] for entry in deployment.events if entry["event"] == "ran"}
    answers = {
        entry["attempt"]: entry["status"] for entry in deployment.events if entry["event"] == "answered"
    }
    cut = [entry["attempt"] for entry in runs if entry["attempt"] not in done]
    deployment.say(f"{len(runs)} requests reached {name}, {len(late)} of them later than {bound:.3f} s")
    deployment.say(
        f"{len(cut)} requests of a non_idempotent route were cut off as it ended; their answers: "
        f"{[answers.get(attempt) for attempt in cut]}"
    )
    if not runs:
        raise CannotRun("no request reached the instance")
    return bool(late)


if __name__ == "__main__":
    run_case(case)
