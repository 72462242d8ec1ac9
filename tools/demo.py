"""Demonstrates the daemons end to end against stand-ins: ``make demo``.

Starts a stand-in platform, stand-in targets of a heraldry registry in two regions and a daemon for each
target, as separate processes on loopback, and a caller in this process. Then serves requests, kills the
processes of a VM, drains a failure domain and stops the daemons.
"""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Result, Success

from hibiscusdrum import Answer, Caller, Request
from hibiscusdrum.errors import HibiscusdrumError
from tools.processes import Process, free_ports, request, wait_until

SHARED_KEY = "demo-shared-key-0123456789"
TENANT = "amt"
SERVICE = "wappensuche"
START_LIMIT_SECONDS = 15.0
# Guaranteed limits that the demo checks.
FAILOVER_LIMIT_SECONDS = 5.0
DRAIN_LIMIT_SECONDS = 7.0
REBALANCE_LIMIT_SECONDS = 15.0


class VM(msgspec.Struct, frozen=True):
    """Name, location and service of a VM, which runs one target and one daemon."""

    name: str
    region: str
    failure_domain: str
    service: str


VMS = (
    VM("wien-1", "ost", "ost-wien", "wappensuche"),
    VM("graz-1", "ost", "ost-graz", "wappensuche"),
    VM("wien-2", "ost", "ost-wien", "wappensuche"),
    VM("innsbruck-1", "west", "west-innsbruck", "wappensuche"),
    VM("salzburg-1", "west", "west-salzburg", "wappensuche"),
    VM("graz-2", "ost", "ost-graz", "verleihung"),
    VM("wien-3", "ost", "ost-wien", "verleihung"),
)


class Node:
    """Processes and addresses on one VM."""

    __slots__ = ("daemon", "http", "peer", "target", "target_address", "vm")

    def __init__(self, vm: VM, ports: list[int]) -> None:
        self.vm = vm
        self.peer, self.http, self.target_address = (f"127.0.0.1:{port}" for port in ports)
        self.daemon: Process | None = None
        self.target: Process | None = None


class Demo:
    """The processes of the demo, and its steps.

    Parameters
    ----------
    folder : Path
        Receives the log of each process.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        ports = free_ports(3 * len(VMS) + 1, "127.0.0.1")
        self.store = f"127.0.0.1:{ports.pop()}"
        self.nodes = {vm.name: Node(vm, ports[3 * i : 3 * i + 3]) for i, vm in enumerate(VMS)}
        self.processes: list[Process] = []
        self.results: list[tuple[str, str]] = []

    def launch(self, name: str, arguments: list[str]) -> Process:
        """Start a process that logs to a file of its own in the folder."""
        environment = {"HIBISCUSDRUM_SHARED_KEY": SHARED_KEY}
        process = Process(arguments, self.folder / f"{name}.log", environment)
        self.processes.append(process)
        return process

    def start(self) -> None:
        """Start the platform, then a daemon and a target on each VM, and wait until they answer."""
        self.launch("platform", ["-m", "tools.standins.platform", "--address", self.store])
        wait_until(
            lambda: request(self.store, "GET", "/counters")[0] == 200, START_LIMIT_SECONDS, "platform answers"
        )
        for node in self.nodes.values():
            self.start_node(node)
        for node in self.nodes.values():
            wait_until(lambda node=node: self.status(node), START_LIMIT_SECONDS, f"{node.vm.name} answers")

    def start_node(self, node: Node) -> None:
        """Start the daemon and the target of a VM."""
        vm = node.vm
        daemon_arguments = [
            "-m",
            "hibiscusdrum.internal.cli.daemon",
            "run",
            "--node",
            vm.name,
            "--region",
            vm.region,
        ]
        daemon_arguments += [
            "--failure-domain",
            vm.failure_domain,
            "--service",
            vm.service,
            "--peer-address",
            node.peer,
        ]
        daemon_arguments += ["--http-address", node.http, "--target-address", node.target_address]
        node.daemon = self.launch(f"{vm.name}-daemon", [*daemon_arguments, "--store-address", self.store])
        target_arguments = [
            "-m",
            "tools.standins.target",
            "--address",
            node.target_address,
            "--service",
            vm.service,
        ]
        node.target = self.launch(f"{vm.name}-target", [*target_arguments, "--daemon-address", node.http])

    def stop(self) -> None:
        """Kill every process, in reverse order of their start."""
        for process in reversed(self.processes):
            process.kill()

    def status(self, node: Node) -> dict[str, Any]:
        """Return the status of a node's daemon, or an empty dict if it does not answer."""
        status, answer = request(node.http, "GET", "/v1/status", timeout=1.0)
        return answer if status == 200 else {}

    def node_with_running_daemon(self) -> Node:
        """Return the first node whose daemon is running."""
        return next(node for node in self.nodes.values() if node.daemon.running)

    def owners(self) -> list[dict[str, Any]]:
        """Return the owner rows that one running daemon reports."""
        return self.status(self.node_with_running_daemon()).get("owners", [])

    def balanced(self) -> bool:
        """Return whether every node has joined, holds a lease and owns at most 1.1 times its share."""
        owners = self.owners()
        rings: dict[tuple[str, str], list[int]] = {}
        for row in owners:
            rings.setdefault((row["service"], row["region"]), []).append(row["slices"])
        balanced_rings = all(max(counts) <= 1.1 * sum(counts) / len(counts) for counts in rings.values())
        leases_valid = all(self.status(node).get("lease_valid") for node in self.nodes.values())
        return len(owners) == len(VMS) and balanced_rings and leases_valid

    def owner_of(self, key: str) -> str:
        """Return the name of the node that owns a key, or an empty string if none does."""
        path = f"/v1/owner?service={SERVICE}&tenant={TENANT}&key={key}"
        return request(self.node_with_running_daemon().http, "GET", path)[1].get("owner") or ""

    def report(self, what: str, value: str) -> None:
        """Print a result and keep it for the table at the end."""
        print(f"  {what}: {value}", flush=True)
        self.results.append((what, value))

    def confirm(self, intent: dict[str, Any]) -> dict[str, Any]:
        """Plan an intent, confirm the plan, wait until it is accepted, and return it."""
        headers = {"x-hibiscusdrum-key": SHARED_KEY}
        http = self.node_with_running_daemon().http
        status, answer = request(http, "POST", "/v1/operator/plan", intent, headers)
        assert status == 201, answer
        plan = answer["plan"]["id"]
        status, answer = request(http, "POST", f"/v1/operator/confirm/{plan}", None, headers)
        assert status == 200, answer

        def accepted() -> bool:
            return request(http, "GET", f"/v1/operator/plan/{plan}", None, headers)[1]["state"] == "accepted"

        wait_until(accepted, DRAIN_LIMIT_SECONDS, f"plan {plan} is accepted")
        return answer["plan"]

    def configure(self) -> None:
        """Create the routes and the tenant, and wait until the slices are spread."""
        self.confirm({"kind": "create_route", "name": SERVICE, "regions": ["ost", "west"], "divided": True})
        self.confirm({"kind": "create_route", "name": "verleihung", "regions": ["ost"], "divided": False})
        self.confirm({"kind": "create_tenant", "name": TENANT, "home_regions": ["ost"]})
        started = time.monotonic()
        wait_until(self.balanced, REBALANCE_LIMIT_SECONDS, "every node has its share of the slices")
        self.report("slices spread after the first route", f"{time.monotonic() - started:.1f} s")

    def serve(self, caller: Caller) -> None:
        """Send an idempotent request for a crest and a non-idempotent request that grants one."""
        answer = answer_or_raise(caller.call(crest_request("adler")))
        self.report("request served", f"{answer.body.decode()} by {answer.target}, epoch {answer.epoch}")
        grant = Request(
            tenant=TENANT,
            service="verleihung",
            key=b"adler",
            method="POST",
            path="/grants",
            idempotent=False,
            request_class="grant",
        )
        self.report("grant run once", answer_or_raise(caller.call(grant)).body.decode())

    def lose_vm(self, caller: Caller) -> None:
        """Kill the daemon and target that own a key, and wait until the key is answered again."""
        owner = self.nodes[self.owner_of("adler")]
        lost_at = time.monotonic()
        owner.daemon.kill()
        owner.target.kill()
        answer = answer_or_raise(caller.call(crest_request("adler", timeout=FAILOVER_LIMIT_SECONDS)))
        elapsed = time.monotonic() - lost_at
        self.report(f"{owner.vm.name} lost, key answered again", f"after {elapsed:.2f} s by {answer.target}")

    def drain(self, caller: Caller) -> None:
        """Drain a failure domain by plan and confirmation, and send requests for the time of the limit."""
        domain = (
            "ost-wien" if self.nodes[self.owner_of("adler")].vm.failure_domain == "ost-wien" else "ost-graz"
        )
        nodes_in_domain = {name for name, node in self.nodes.items() if node.vm.failure_domain == domain}
        started = time.monotonic()
        plan = self.confirm({"kind": "drain_failure_domain", "failure_domain": domain})
        self.report(
            "drain in force everywhere", f"{time.monotonic() - started:.2f} s after the plan was asked for"
        )
        self.report(f"plan to drain {domain}", f"moves {plan['cost']['slices']} slices")
        last_answer_from_domain, count = started, 0
        while time.monotonic() - started < DRAIN_LIMIT_SECONDS:
            answer = answer_or_raise(caller.call(crest_request(f"crest-{count}")))
            count += 1
            if answer.target in nodes_in_domain:
                last_answer_from_domain = time.monotonic()
        self.report(
            f"last new request in {domain}",
            f"{last_answer_from_domain - started:.2f} s after the plan was asked for",
        )
        self.report("requests meanwhile", f"{count} answered, 0 failed")
        assert last_answer_from_domain - started < DRAIN_LIMIT_SECONDS - 1.0, (
            "the failure domain still receives new requests shortly before the drain limit"
        )

    def stop_daemons(self) -> None:
        """Stop the running daemons with SIGTERM and check their exit codes."""
        running = [node.daemon for node in self.nodes.values() if node.daemon.running]
        codes = [process.stop(30.0) for process in running]
        self.report("daemons stopped", f"{codes.count(0)} of {len(codes)} with exit code 0")
        assert not any(codes), codes


def crest_request(key: str, timeout: float = 2.0) -> Request:
    """Return an idempotent request for a crest."""
    return Request(tenant=TENANT, service=SERVICE, key=key.encode(), path=f"/crests/{key}", timeout=timeout)


def answer_or_raise(result: Result[Answer, HibiscusdrumError]) -> Answer:
    """Return the answer of a call, or raise its error."""
    if not isinstance(result, Success):
        raise result.failure()
    return result.unwrap()


def run_step(title: str, action: Callable[..., None], *arguments: Any) -> None:
    """Print the title of a step and run it."""
    print(title, flush=True)
    action(*arguments)


def run(demo: Demo) -> None:
    """Run all steps of the demo in order."""
    run_step("1. Start the platform, daemons and targets", demo.start)
    run_step("2. Create routes and a tenant by plan and confirm", demo.configure)
    with Caller([node.peer for node in demo.nodes.values()], region="ost") as caller:
        run_step("3. Serve requests", demo.serve, caller)
        run_step("4. Lose the VM that owns a key", demo.lose_vm, caller)
        run_step("5. Drain a failure domain", demo.drain, caller)
    run_step("6. Stop", demo.stop_daemons)


def main() -> int:
    """Run the demo and return the exit code, 1 if a step failed."""
    with tempfile.TemporaryDirectory(prefix="hibiscusdrum-demo-") as folder:
        demo = Demo(Path(folder))
        try:
            run(demo)
        except (AssertionError, TimeoutError, HibiscusdrumError) as error:
            print(f"FAILED: {error}", file=sys.stderr)
            for log in sorted(demo.folder.glob("*-daemon.log")):
                print(f"--- {log.name}\n" + "\n".join(log.read_text().splitlines()[-8:]), file=sys.stderr)
            return 1
        finally:
            demo.stop()
    width = max(len(what) for what, _value in demo.results)
    print()
    for what, value in demo.results:
        print(f"{what:<{width}}  {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
