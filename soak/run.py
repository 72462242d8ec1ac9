"""Runs seeds of the soak: ``python -m soak.run 1 2 3`` or ``python -m soak.run --fresh 10``."""

from __future__ import annotations

import argparse
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

from tools.processes import NotReached, wait_until
from tools.router_system import HOST, ROUTES, RouterSystem, Vm, block_of_ports

from soak.callers import Asked, Caller
from soak.checks import Pauses, broken_promises
from soak.links import MODES, PASS, Links

PLACES = [
    ("east", "east-1", "keyed"),
    ("west", "west-1", "keyed"),
    ("east", "east-2", "keyed"),
    ("east", "east-1", "shared"),
    ("west", "west-1", "shared"),
]
EVENTS = 12
RESTART_SECONDS = 0.4
# The platform's bound for recovery after all machines are back.
RECOVERY_SECONDS = 15.0
CONFIGURATION_SECONDS = 6.5
STORE_FAULTS = ({"silent": True}, {"down": True}, {"slow": 0.4}, {"late": 0.5}, {"lost": 0.5})
KEYS = range(0, 65_536, 4_099)


class ProxiedSystem(RouterSystem):
    """A system whose routers reach store and targets, and whose targets reach routers, through proxies."""

    def __init__(self, folder: Path, links: Links) -> None:
        ports = iter(block_of_ports(3 * len(PLACES)))
        self.links = links
        self.ports = {f"vm{index}": [next(ports) for _ in range(3)] for index in range(len(PLACES))}
        super().__init__(folder, PLACES, lambda vm, _address: f"{HOST}:{self.ports[vm.name][0]}")
        for vm in self.vms.values():
            store, target, reports = self.ports[vm.name]
            links.add(f"{vm.name} store", store, self.store_base)
            links.add(f"{vm.name} target", target, vm.address(0))
            links.add(f"{vm.name} reports", reports, vm.address(3))
            lines = vm.boot_lines
            vm.boot_lines = lambda address, lines=lines, target=target: [
                f"appAddr={HOST}:{target}" if line.startswith("appAddr=") else line for line in lines(address)
            ]
            vm.control_address = f"{HOST}:{reports}"


class Soak:
    """One seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.links = Links()
        self.system = ProxiedSystem(self.folder, self.links)
        self.log: list[str] = []
        self.undo: list[threading.Timer] = []
        self.ended: dict[str, float] = {}
        self.pauses: Pauses = {}

    def note(self, text: str) -> None:
        """Note what was done."""
        self.log.append(f"{time.monotonic():.3f} {text}")

    def later(self, seconds: float, action) -> None:
        """Undo a fault after a while."""
        timer = threading.Timer(seconds, action)
        timer.start()
        self.undo.append(timer)

    def run(self) -> list[str]:
        """Play the seed; returns the broken promises."""
        callers: list[Caller] = []
        lines: list[str] = []
        try:
            self.system.start()
            callers = [Caller(vm, self.rng.random()) for vm in self.system.vms.values() for _ in range(2)]
            for caller in callers:
                caller.start()
            for _ in range(EVENTS):
                self.event()
                self.sleep(self.rng.uniform(0.1, 2.5))
            lines += self.recover()
        except NotReached as error:
            lines.append(f"not reached: {error}")
        finally:
            for caller in callers:
                caller.end()
            asked: list[Asked] = [entry for caller in callers for entry in caller.asked]
            lines += broken_promises(asked, self.system.records(), self.pauses)
            self.system.stop()
        served = sum(entry.status == 200 for entry in asked)
        self.note(f"{len(asked)} requests, {served} served")
        (self.folder / "events.log").write_text("\n".join([*self.log, *lines]) + "\n")
        print(f"seed {self.seed}: {len(asked)} requests, {served} served, {len(lines)} broken", flush=True)
        if lines:
            print("\n".join(f"  {line}" for line in lines[:6]), f"\n  logs: {self.folder}", flush=True)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        return lines

    def event(self) -> None:
        """Do one thing at random; faults overlap with those before."""
        vm = self.rng.choice(list(self.system.vms.values()))
        seconds = self.rng.uniform(0.3, 5.0)
        kind = self.rng.randrange(10)
        if kind <= 1:
            self.end_router(vm, signal.SIGKILL if kind else signal.SIGTERM)
        elif kind <= 3:
            process = vm.router if kind == 2 else vm.target
            self.note(f"pause {'router' if kind == 2 else 'target'} of {vm.name} for {seconds:.2f} s")
            process.send(signal.SIGSTOP)
            if process is vm.router:
                now = time.monotonic()
                self.pauses.setdefault(vm.name, []).append((now, now + seconds))
            self.later(seconds, lambda: process.send(signal.SIGCONT))
        elif kind == 4:
            self.restart_target(vm)
        elif kind == 5:
            fault = self.rng.choice(STORE_FAULTS)
            self.note(f"store {fault} for {seconds:.2f} s")
            self.system.faults(fault)
            self.later(seconds, lambda: self.system.faults({}))
        elif kind <= 7:
            name = f"{vm.name} {self.rng.choice(['store', 'target', 'reports'])}"
            mode, delay = self.rng.choice(MODES), self.rng.uniform(0.02, 0.8)
            self.note(f"link {name} {mode} {delay:.2f} s for {seconds:.2f} s")
            self.links.set(name, mode, delay)
            self.later(seconds, lambda: self.links.set(name, PASS))
        elif kind == 8:
            self.note("configuration")
            self.system.configure(ROUTES)
        else:
            domain = vm.failure_domain
            self.note(f"evacuate {domain} for {seconds:.2f} s")
            self.system.evacuate(domain, True)
            self.later(seconds, lambda: self.system.evacuate(domain, False))

    def end_router(self, vm: Vm, number: signal.Signals) -> None:
        """End a router, and start it again when it has ended."""
        self.note(f"signal {number.name} to router of {vm.name}")
        vm.router.send(number)

    def restart_ended(self) -> None:
        """Start routers that have ended, as the platform does.

        Only the main thread starts processes, since they end with the thread that started them.
        """
        for vm in self.system.vms.values():
            if vm.router.running:
                self.ended.pop(vm.name, None)
            elif time.monotonic() - self.ended.setdefault(vm.name, time.monotonic()) > RESTART_SECONDS:
                self.system.start_router(vm)

    def sleep(self, seconds: float) -> None:
        """Wait, and restart what has ended meanwhile."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.restart_ended()
            time.sleep(0.05)

    def restart_target(self, vm: Vm) -> None:
        """Kill a target and start it anew."""
        self.note(f"restart target of {vm.name}")
        born = [record["born"] for record in self.system.records() if record["target"] == f"i-{vm.name}"]
        vm.target.kill()
        with (self.folder / f"target-{vm.name}.log").open("a") as log:
            at = round(time.monotonic(), 4)
            for value in set(born[-1:]):
                log.write(f'{{"at":{at},"target":"i-{vm.name}","born":{value},"event":"killed"}}\n')
        self.system.start_target(vm)

    def recover(self) -> list[str]:
        """End all faults; everything must be served again, and a new configuration be in force."""
        for timer in self.undo:
            timer.cancel()
        self.system.faults({})
        for name in self.links.links:
            self.links.set(name, PASS)
        for domain in {vm.failure_domain for vm in self.system.vms.values()}:
            self.system.evacuate(domain, False)
        for vm in self.system.vms.values():
            vm.router.send(signal.SIGCONT)
            vm.target.send(signal.SIGCONT)
        self.note("all faults end")
        self.until(self.served, RECOVERY_SECONDS, "all keys and services are served again")
        route = ["last", "grants.example", "/last/", "idempotent", 2.0, 0.5, 1, "shared", 2, [], None]
        self.system.configure([*ROUTES, route])
        self.until(
            lambda: self.everywhere("grants.example", "/last/x"),
            CONFIGURATION_SECONDS,
            "the last configuration",
        )
        return []

    def until(self, condition, seconds: float, what: str) -> None:
        """Wait for a condition."""

        def restarted() -> bool:
            self.restart_ended()
            return condition()

        wait_until(restarted, seconds, what)
        self.note(what)

    def everywhere(self, host: str, path: str) -> bool:
        """Return whether each router answers a request."""
        return all(self.system.ask(vm, host, path)[0] == 200 for vm in self.system.vms.values())

    def served(self) -> bool:
        """Return whether all keys are served, and the shared service everywhere."""
        vms = list(self.system.vms.values())
        keys = all(
            self.system.ask(vms[key % len(vms)], "keys.example", "/k/x", key=key)[0] == 200 for key in KEYS
        )
        return keys and self.everywhere("grants.example", "/r/x")


def main() -> int:
    """Run seeds; returns 1 when one fails."""
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds", type=int, nargs="*")
    parser.add_argument("--fresh", type=int, default=0, help="number of seeds that were not used before")
    options = parser.parse_args()
    seeds = options.seeds + [random.SystemRandom().randrange(1_000_000) for _ in range(options.fresh)]
    failed = [seed for seed in seeds if Soak(seed).run()]
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds kept the promises; failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
