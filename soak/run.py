"""Runs the soak test: ``python -m soak.run 1 2 3``, or ``--fresh 10`` for ten random seeds."""

from __future__ import annotations

import argparse
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from tools.processes import ConditionTimeout, request, wait_until
from tools.router_system import Vm

from soak.accounts import ACCOUNT_ROUTE, PUBLIC_ROUTES, TENANTS, AccountCaller, account_violations
from soak.callers import Caller, PipeliningCaller, RequestRecord, SequentialCaller
from soak.checks import Intervals, disturbed, find_violations
from soak.links import MODES, PASS, LinkProxy
from soak.loss_checks import lost_violations, replaced_violations, silent_violations
from soak.manners import manner_callers
from soak.poison import poison_caller, poison_violations, runs_of
from soak.proxied_system import VM_PLACEMENTS, ProxiedSystem
from soak.stalls import StallLog
from soak.stop_checks import CONTACT_SECONDS, STORE, cut_requests, cut_violations, read_ids_by_vm

EVENTS_PER_SEED = 12
ROUTER_RESTART_DELAY_SECONDS = 0.4
# Limit that the platform sets for recovery once all machines are back.
RECOVERY_LIMIT_SECONDS = 15.0
CONFIGURATION_LIMIT_SECONDS = 6.5
# The store turns a share of the connections away, or its answers share a narrow link. These faults replace
# others, and are drawn separately so that the rest of a seed stays as it is.
PARTIAL_STORE_FAULTS = ({"turned_away": 0.35}, {"link_bytes_per_second": 40_000.0})
PARTIAL_FAULT_SHARE = 0.4
STORE_FAULTS = ({"silent": True}, {"down": True}, {"slow": 0.4}, {"late": 0.5}, {"lost": 0.5})
# Limits that a target states, in requests per second, and the share of steps in which a target makes a
# statement.
STATED_LIMITS = (1.5, 4.0, 10.0)
STATEMENT_SHARE = 0.4
# Share of steps in which the store is restored from a copy, and share of these in which it is restored again
# within REPEATED_RESTORE_SECONDS of its return.
RESTORE_SHARE = 0.12
REPEATED_RESTORE_SHARE = 0.3
REPEATED_RESTORE_SECONDS = 2.0
MIN_COPY_AGE_SECONDS, MAX_COPY_AGE_SECONDS = 1.0, 10.0
MAX_STORE_OUTAGE_SECONDS = 3.0
MAX_REWRITE_DELAY_SECONDS = 1.0
# Share of steps in which a router stops as planned on a VM that no fault has disturbed shortly before.
STOP_SHARE = 0.15
# Signals that a router may get besides while it stops, the most of them, and the grace period of a stop.
REPEATED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
MAX_REPEATED_SIGNALS = 6
GRACE_SECONDS = 6.0
# Share of steps in which a router is told to reload its settings, and the most times in a row.
RELOAD_SHARE = 0.3
MAX_RELOADS = 3
# Exit codes of routers that the soak stopped as planned, also before they handled the signal, or killed.
EXPECTED_EXIT_CODES = (0, -signal.SIGTERM, -signal.SIGKILL)
# Time from the statement that a target leaves to its end.
LEAVING_SECONDS = 4.0
# Time for which the end of a router or a target disturbs its VM.
RESTART_SECONDS = 3.0
PROBED_KEYS = range(0, 65_536, 4_099)


class SoakRun:
    """One seed of the soak: a system, its callers, and random faults."""

    def __init__(self, seed: int, vm_count: int = len(VM_PLACEMENTS)) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.partial_rng = random.Random(f"partial {seed}")
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.links = LinkProxy()
        self.system = ProxiedSystem(self.folder, self.links, vm_count)
        self.event_log: list[str] = []
        self.repair_timers: list[threading.Timer] = []
        # Other seeds would play other faults if statements were drawn from the same generator.
        self.statement_rng = random.Random(-1 - seed)
        self.restore_rng = random.Random(f"restore {seed}")
        self.store_returns_at = 0.0
        self.leaving_at: dict[str, float] = {}
        self.exited_at: dict[str, float] = {}
        self.pauses: Intervals = {}
        self.disturbances: Intervals = {}
        # Disturbances other than planned stops, including those of the store.
        self.unplanned_faults: Intervals = {}
        # From the signal to the end of the process.
        self.stops: Intervals = {}
        self.stop_rng = random.Random(f"stop {seed}")
        self.reload_rng = random.Random(f"reload {seed}")
        self.unexpected_exits: list[str] = []
        self.repeat_rng = random.Random(f"repeat {seed}")
        self.pipeline_rng = random.Random(f"pipeline {seed}")
        self.system.limit_descriptors_at_random(random.Random(f"limit {seed}"))
        self.crashed_at: dict[str, float] = {}
        self.system.narrow_links_at_random(random.Random(f"narrow {seed}"))
        self.log_event(f"settings: {self.system.boot_settings or 'usual'}")
        self.log_event(f"limits of descriptors: {self.system.descriptor_limits or 'inherited'}")

    def log_event(self, text: str) -> None:
        """Append a line to the event log, with the time."""
        self.event_log.append(f"{time.monotonic():.3f} {text}")

    def schedule_repair(self, seconds: float, action) -> None:
        """Run an action that ends or repeats a fault after a delay, unless the recovery begins earlier."""
        timer = threading.Timer(seconds, action)
        timer.start()
        self.repair_timers.append(timer)

    def run(self) -> list[str]:
        """Run the seed and return the violations of guarantees."""
        callers: list[Caller] = []
        accounts: list[AccountCaller] = []
        attempts: dict[str, bool] = {}
        poison = poison_caller(self.system, self.seed)
        violations: list[str] = []
        try:
            self.system.start()
            self.configure()
            accounts = [
                AccountCaller(self.system, vm, f"account {self.seed} {vm.name}")
                for vm in self.system.vms.values()
            ]
            callers = [StallLog(self.log_event), *manner_callers(self.system.vms.values(), self.seed)]
            callers += [
                SequentialCaller(vm, self.rng.random()) for vm in self.system.vms.values() for _ in range(2)
            ]
            callers += [PipeliningCaller(vm, self.pipeline_rng.random()) for vm in self.system.vms.values()]
            for caller in (*callers, *accounts, poison):
                caller.start()
            for _ in range(EVENTS_PER_SEED):
                self.inject_event()
                self.change_statement()
                self.restore_store_at_random()
                self.stop_router_at_random()
                self.reload_router_at_random()
                self.sleep_restarting_routers(self.rng.uniform(0.1, 2.5))
            poison.stop_and_join()
            self.recover()
        except ConditionTimeout as error:
            violations.append(f"not reached: {error}")
        finally:
            for caller in (*callers, *accounts, poison):
                caller.stop_and_join()
            requests: list[RequestRecord] = [entry for caller in callers for entry in caller.requests]
            records = self.system.target_records()
            violations += find_violations(requests, records, self.pauses, self.disturbances)
            violations += poison_violations(poison.senders, records, self.unplanned_faults)
            attempts |= {attempt: right for caller in accounts for attempt, right in caller.attempts.items()}
            violations += account_violations(attempts, records, self.disturbances)
            statuses = Counter()
            for caller in accounts:
                statuses.update(caller.statuses)
            self.log_event(f"answers to requests of accounts: {sorted(statuses.items())}")
            violations += self.unexpected_exits
            self.system.stop()
        cuts = cut_requests(requests, self.stops, self.unplanned_faults)
        read_ids = read_ids_by_vm(self.folder, self.system.vms)
        violations += cut_violations(cuts, records, read_ids)
        violations += lost_violations(requests, records, self.stops, self.unplanned_faults, read_ids)
        violations += replaced_violations(requests, records, self.stops, self.unplanned_faults)
        violations += silent_violations(requests, self.disturbances)
        served = sum(entry.status == 200 for entry in requests)
        cut = f"{len(cuts)} cut by {self.stop_count} planned stops"
        poison_runs, account_runs = len(runs_of(poison.senders, records)), len(runs_of(attempts, records))
        summary = (
            f"{len(requests)} requests, {served} served, {cut}, {poison_runs} poison runs, "
            f"{account_runs} runs for {len(attempts)} requests of accounts"
        )
        self.log_event(summary)
        self.event_log += [f"cut: {msgspec.json.encode(entry).decode()}" for entry in cuts]
        (self.folder / "events.log").write_text("\n".join([*self.event_log, *violations]) + "\n")
        print(f"seed {self.seed}: {summary}, {len(violations)} broken", flush=True)
        if violations:
            print("\n".join(f"  {line}" for line in violations[:6]), f"\n  logs: {self.folder}", flush=True)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        return violations

    def configure(self, routes: Sequence[list[Any]] = ()) -> None:
        """Write the configuration with client accounts, and further routes; most callers need no key."""
        self.system.configure([*PUBLIC_ROUTES, ACCOUNT_ROUTE, *routes], TENANTS)

    def inject_event(self) -> None:
        """Inject a random fault or change; faults may overlap with earlier ones."""
        vm = self.rng.choice(list(self.system.vms.values()))
        seconds = self.rng.uniform(0.3, 5.0)
        kind = self.rng.randrange(10)
        if kind <= 1:
            self.signal_router(vm, signal.SIGKILL if kind else signal.SIGTERM)
        elif kind <= 3:
            process = vm.router if kind == 2 else vm.target
            self.log_event(f"pause {'router' if kind == 2 else 'target'} of {vm.name} for {seconds:.2f} s")
            process.send(signal.SIGSTOP)
            self.disturb(vm, seconds)
            if process is vm.router:
                now = time.monotonic()
                self.pauses.setdefault(vm.name, []).append((now, now + seconds))
            self.schedule_repair(seconds, lambda: process.send(signal.SIGCONT))
        elif kind == 4:
            self.restart_target(vm)
        elif kind == 5:
            fault = self.rng.choice(STORE_FAULTS)
            if self.partial_rng.random() < PARTIAL_FAULT_SHARE:
                fault = self.partial_rng.choice(PARTIAL_STORE_FAULTS)
            self.log_event(f"store {fault} for {seconds:.2f} s")
            self.system.set_store_faults(fault)
            self.disturb_store(seconds)
            self.schedule_repair(seconds, lambda: self.system.set_store_faults({}))
        elif kind <= 7:
            name = f"{vm.name} {self.rng.choice(['store', 'target', 'reports'])}"
            mode, delay = self.rng.choice(MODES), self.rng.uniform(0.02, 0.8)
            self.log_event(f"link {name} {mode} {delay:.2f} s for {seconds:.2f} s")
            self.links.set_fault(name, mode, delay)
            self.disturb(vm, seconds)
            self.schedule_repair(seconds, lambda: self.links.set_fault(name, PASS))
        elif kind == 8:
            self.log_event("configuration")
            self.configure()
        else:
            domain = vm.failure_domain
            self.log_event(f"evacuate {domain} for {seconds:.2f} s")
            self.system.set_evacuation(domain, True)
            self.schedule_repair(seconds, lambda: self.system.set_evacuation(domain, False))

    def change_statement(self) -> None:
        """Make a random target state a limit for some seconds, or that it leaves, or nothing new."""
        rng = self.statement_rng
        vm = rng.choice(list(self.system.vms.values()))
        seconds, rate = rng.uniform(5.0, 9.0), rng.choice(STATED_LIMITS)
        draw = rng.random()
        if draw < STATEMENT_SHARE / 2:
            self.log_event(f"target of {vm.name} states a limit of {rate} for {seconds:.2f} s")
            request(vm.address(0), "POST", f"/limit/{rate}", timeout=0.5)
            self.schedule_repair(seconds, lambda: request(vm.address(0), "POST", "/limit/none", timeout=0.5))
        elif draw < STATEMENT_SHARE and vm.name not in self.leaving_at:
            self.log_event(f"target of {vm.name} states that it leaves")
            request(vm.address(0), "POST", "/leaving", timeout=0.5)
            self.leaving_at[vm.name] = time.monotonic() + LEAVING_SECONDS

    def restore_store_at_random(self) -> None:
        """Restore the store from a copy, restore it twice in a row, or leave it as it is."""
        rng = self.restore_rng
        draw, pause = rng.random(), rng.uniform(0.0, REPEATED_RESTORE_SECONDS)
        first, second = self.draw_restoration(), self.draw_restoration()
        if draw >= RESTORE_SHARE:
            return
        self.restore_store(first)
        if draw < RESTORE_SHARE * REPEATED_RESTORE_SHARE:
            self.schedule_repair(first["away_s"] + pause, lambda: self.restore_store(second))

    def stop_router_at_random(self) -> None:
        """Stop the router of a random VM without recent faults as planned, or leave all as they are."""
        draw = self.stop_rng.random()
        vms = self.stop_rng.sample(list(self.system.vms.values()), len(self.system.vms))
        now = time.monotonic()
        calm = [vm for vm in vms if not disturbed(self.disturbances, vm.name, now - CONTACT_SECONDS, now)]
        if draw < STOP_SHARE and calm:
            self.signal_router(calm[0], signal.SIGTERM)
            self.repeat_signals(calm[0])

    def repeat_signals(self, vm: Vm) -> None:
        """Send further signals to a router that stops as planned, at random times until it has ended."""
        router = vm.router
        for _ in range(self.repeat_rng.randint(0, MAX_REPEATED_SIGNALS)):
            number = self.repeat_rng.choice(REPEATED_SIGNALS)
            delay = self.repeat_rng.uniform(0.0, GRACE_SECONDS)
            self.log_event(f"signal {number.name} to the stopping router of {vm.name} after {delay:.2f} s")
            self.schedule_repair(delay, lambda number=number: router.send(number))

    def reload_router_at_random(self) -> None:
        """Tell a random router that runs to reload its settings, several times in a row, or tell none."""
        draw, count = self.reload_rng.random(), self.reload_rng.randint(1, MAX_RELOADS)
        vm = self.reload_rng.choice(list(self.system.vms.values()))
        if draw >= RELOAD_SHARE or request(vm.address(2), "GET", "/ready", timeout=0.5)[0] == 0:
            return
        self.log_event(f"signal SIGHUP to router of {vm.name}, {count} times")
        for _ in range(count):
            vm.router.send(signal.SIGHUP)

    def draw_restoration(self) -> dict[str, Any]:
        """Return random arguments of `RouterSystem.restore_store`."""
        rng = self.restore_rng
        return {
            "age_s": rng.uniform(MIN_COPY_AGE_SECONDS, MAX_COPY_AGE_SECONDS),
            "away_s": rng.uniform(0.0, MAX_STORE_OUTAGE_SECONDS),
            "rewrite_after_s": rng.uniform(0.0, MAX_REWRITE_DELAY_SECONDS),
            "how": rng.choice(("silent", "down")),
        }

    def restore_store(self, restoration: dict[str, Any]) -> None:
        """Restore the store from a copy."""
        self.log_event(f"restore store {restoration}")
        self.system.restore_store(**restoration)
        self.store_returns_at = time.monotonic() + restoration["away_s"]
        self.disturb_store(restoration["away_s"])

    def restart_left_targets(self) -> None:
        """Restart the targets that have announced their departure long enough ago."""
        for name, at in list(self.leaving_at.items()):
            if time.monotonic() >= at:
                del self.leaving_at[name]
                self.restart_target(self.system.vms[name])

    def disturb(self, vm: Vm, seconds: float, planned: bool = False) -> None:
        """Note that a VM is disturbed from now on for some seconds."""
        now = time.monotonic()
        self.disturbances.setdefault(vm.name, []).append((now, now + seconds))
        if not planned:
            self.unplanned_faults.setdefault(vm.name, []).append((now, now + seconds))

    def disturb_store(self, seconds: float) -> None:
        """Note that the store is disturbed from now on for some seconds."""
        now = time.monotonic()
        self.unplanned_faults.setdefault(STORE, []).append((now, now + seconds))

    def begin_stop(self, vm: Vm) -> None:
        """Note that the planned stop of a router begins, unless one has begun before."""
        stops = self.stops.setdefault(vm.name, [])
        if vm.router.running and not (stops and stops[-1][1] == float("inf")):
            stops.append((time.monotonic(), float("inf")))

    def end_stop(self, vm: Vm) -> None:
        """Note that a router has exited."""
        stops = self.stops.get(vm.name)
        if stops and stops[-1][1] == float("inf"):
            stops[-1] = (stops[-1][0], time.monotonic())

    @property
    def stop_count(self) -> int:
        """Number of planned stops."""
        return sum(len(stops) for stops in self.stops.values())

    def signal_router(self, vm: Vm, signum: signal.Signals) -> None:
        """Send a router a signal that ends it; it is restarted once it has exited."""
        self.log_event(f"signal {signum.name} to router of {vm.name}")
        planned = signum == signal.SIGTERM
        self.disturb(vm, RESTART_SECONDS, planned)
        if planned:
            self.begin_stop(vm)
        vm.router.send(signum)

    def restart_exited_routers(self) -> None:
        """Restart routers that have exited, as the platform does.

        Call it on the main thread only: processes are killed when the thread that started them ends.
        """
        for vm in self.system.vms.values():
            if vm.router.running:
                self.exited_at.pop(vm.name, None)
                continue
            self.end_stop(vm)
            code = vm.router.process.returncode
            if vm.name not in self.exited_at and code not in EXPECTED_EXIT_CODES:
                self.unexpected_exits.append(f"router of {vm.name} ended by itself with code {code}")
            if (
                time.monotonic() - self.exited_at.setdefault(vm.name, time.monotonic())
                > ROUTER_RESTART_DELAY_SECONDS
            ):
                self.system.start_router(vm)

    def sleep_restarting_routers(self, seconds: float) -> None:
        """Sleep, and restart routers that exit meanwhile."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.restart_exited_routers()
            self.restart_left_targets()
            self.restart_crashed_targets()
            time.sleep(0.05)

    def restart_target(self, vm: Vm) -> None:
        """Kill a target and start it again."""
        self.log_event(f"restart target of {vm.name}")
        self.disturb(vm, RESTART_SECONDS)
        self.crashed_at.pop(vm.name, None)
        self.system.restart_target(vm)

    def restart_crashed_targets(self) -> None:
        """Start the targets again that have ended by themselves long enough ago."""
        now = time.monotonic()
        for vm in self.system.vms.values():
            if vm.target.running:
                continue
            if vm.name not in self.crashed_at:
                self.log_event(f"target of {vm.name} has crashed")
                self.crashed_at[vm.name] = now
                # A crash costs callers what a restart costs them, but is no fault that excuses the routers.
                self.disturb(vm, 2 * RESTART_SECONDS, planned=True)
            elif now - self.crashed_at[vm.name] >= RESTART_SECONDS:
                del self.crashed_at[vm.name]
                self.system.start_target(vm)

    def recover(self) -> None:
        """End all faults, then wait until everything is served and a new configuration is in force."""
        for timer in self.repair_timers:
            timer.cancel()
        self.sleep_restarting_routers(self.store_returns_at - time.monotonic())
        self.system.set_store_faults({})
        for name in self.links.links:
            self.links.set_fault(name, PASS)
        for domain in {vm.failure_domain for vm in self.system.vms.values()}:
            self.system.set_evacuation(domain, False)
        for vm in self.system.vms.values():
            vm.router.send(signal.SIGCONT)
            vm.target.send(signal.SIGCONT)
        for vm in self.system.vms.values():
            request(vm.address(0), "POST", "/limit/none")
        for name in {*self.leaving_at, *self.crashed_at}:
            self.restart_target(self.system.vms[name])
        self.log_event("all faults end")
        self.wait_restarting_routers(
            self.all_keys_and_services_answer,
            RECOVERY_LIMIT_SECONDS,
            "all keys and services are served again",
        )
        route = ["last", "grants.example", "/last/", "idempotent", 2.0, 0.5, 1, "shared", 2, [], None, True]
        self.configure([route])
        self.wait_restarting_routers(
            lambda: self.answered_by_all_routers("grants.example", "/last/x"),
            CONFIGURATION_LIMIT_SECONDS,
            "the last configuration",
        )

    def wait_restarting_routers(self, condition, seconds: float, description: str) -> None:
        """Wait for a condition, restarting routers that exit meanwhile."""

        def restart_and_check() -> bool:
            self.restart_exited_routers()
            return condition()

        wait_until(restart_and_check, seconds, description)
        self.log_event(description)

    def answered_by_all_routers(self, host: str, path: str) -> bool:
        """Return whether each router answers a request with status 200."""
        return all(self.system.send_request(vm, host, path)[0] == 200 for vm in self.system.vms.values())

    def all_keys_and_services_answer(self) -> bool:
        """Return whether the probed keys are served, and the shared service by each router."""
        vms = list(self.system.vms.values())
        keys = all(
            self.system.send_request(vms[key % len(vms)], "keys.example", "/k/x", key=key)[0] == 200
            for key in PROBED_KEYS
        )
        return keys and self.answered_by_all_routers("grants.example", "/r/x")


def main() -> int:
    """Run the seeds and return the exit code, 1 if a seed failed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds", type=int, nargs="*")
    parser.add_argument("--fresh", type=int, default=0, help="number of random seeds to run as well")
    parser.add_argument("--vms", type=int, default=len(VM_PLACEMENTS), help="number of VMs in each system")
    options = parser.parse_args()
    seeds = options.seeds + [random.SystemRandom().randrange(1_000_000) for _ in range(options.fresh)]
    failed = [seed for seed in seeds if SoakRun(seed, options.vms).run()]
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds kept the promises; failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
