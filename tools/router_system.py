"""A whole system on loopback: stand-in store and targets, and real routers, each a process of its own."""

from __future__ import annotations

import http.client
import itertools
import random
import signal
import socket
from pathlib import Path
from typing import Any

import msgspec

from tools.processes import Process, request, wait_until

HOST = "127.0.0.1"
PORTS_PER_NODE = 7
START_SECONDS = 15.0
LOWEST_PORT = 11_000
HIGHEST_PORT = 30_000
BLOCK_PORTS = 64
# Keep the blocks of this process from others until it ends.
GUARDS: list[socket.socket] = []
PREFIX = "x-hibiscusdrum-"
ATTEMPTS = itertools.count(1)
ROUTE_COLUMNS = [
    "name", "host", "prefix", "kind", "timeoutS", "goalS", "priority", "service", "attempts",
    "allowedRegions", "backends",
]  # fmt: skip
SERVICE_COLUMNS = ["name", "healthPath", "maxConns", "warmupS", "warmupPerS", "partitioned"]
ROUTES = [
    ["keys", "keys.example", "/k/", "idempotent", 1.5, 0.8, 2, "keyed", 2, [], None],
    ["grants", "grants.example", "/g/", "non_idempotent", 2.0, 1.0, 1, "shared", 2, [], None],
    ["reads", "grants.example", "/r/", "idempotent", 2.0, 0.5, 1, "shared", 2, [], None],
    ["home", "home.example", "/h/", "idempotent", 2.0, 0.5, 1, "shared", 2, ["east"], None],
]
SERVICES = [
    ["keyed", "/healthz", 64, 3.0, 50.0, True],
    ["shared", "/healthz", 64, 3.0, 50.0, None],
]
LIMITS = {"maxHeaderBytes": 8192, "maxBodyBytes": 200_000, "headerTimeoutS": 2, "idleTimeoutS": 10}


class Vm:
    """One VM: a router and the target beside it."""

    def __init__(self, name: str, region: str, failure_domain: str, service: str, ports: list[int]) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.service = service
        self.ports = ports
        self.control_address = self.address(3)
        self.router: Process | None = None
        self.target: Process | None = None

    def address(self, index: int) -> str:
        """Return one of the VM's addresses: target, callers, readiness, reports, peers, metrics."""
        return f"{HOST}:{self.ports[index]}"

    def boot_lines(self, store: str) -> list[str]:
        """Return the settings file as the platform writes it."""
        return [
            f"node={self.name}",
            f"zone={self.failure_domain}",
            f"region={self.region}",
            f"ip={HOST}",
            f"service={self.service}",
            f"appAddr={self.address(0)}",
            f"listen.outbound={self.address(1)}",
            f"listen.ready={self.address(2)}",
            f"listen.control={self.address(3)}",
            f"portRange={self.ports[4]},{self.ports[4] + 1}",
            f"provider.addr={store}",
            "heartbeatS=0.5",
            "bounds=holdMaxS=10,graceS=6,drainS=2.5,budgetRatio=0.2,budgetSlack=60,budgetWindowS=10",
        ]


class RouterSystem:
    """Starts and ends the processes; only its own are signalled, by their ids.

    Parameters
    ----------
    folder : Path
        For logs, records and settings files.
    store_address : callable, optional
        Returns the address under which a VM reaches the store, for example that of a proxy.
    """

    def __init__(self, folder: Path, places: list[tuple[str, str, str]], store_address=None) -> None:
        self.folder = folder
        count = len(places)
        ports = block_of_ports(count * PORTS_PER_NODE + 1)
        self.store_port = ports.pop()
        self.store_address = store_address or (lambda _vm, address: address)
        self.version = 0
        self.store: Process | None = None
        self.vms: dict[str, Vm] = {}
        for index, (region, failure_domain, service) in enumerate(places):
            name = f"vm{index}"
            own = ports[index * PORTS_PER_NODE : (index + 1) * PORTS_PER_NODE]
            self.vms[name] = Vm(name, region, failure_domain, service, own)

    @property
    def store_base(self) -> str:
        """Address of the store itself."""
        return f"{HOST}:{self.store_port}"

    def start(self) -> None:
        """Start everything and wait until callers are served."""
        self.store = Process(
            ["-m", "tools.standins.rows_store", "--address", self.store_base], self.folder / "store.log", {}
        )
        wait_until(lambda: self.faults({}), START_SECONDS, "the store answers")
        self.configure(ROUTES)
        for vm in self.vms.values():
            self.start_target(vm)
            self.start_router(vm)
        wait_until(self.serving, START_SECONDS, "all routers serve all services")

    def start_target(self, vm: Vm, seconds: float = 0.01) -> None:
        """Start the target of a VM."""
        arguments = [
            "-m", "tools.standins.holding_target", "--name", vm.name, "--service", vm.service,
            "--address", vm.address(0), "--control", vm.control_address, "--seconds", str(seconds),
        ]  # fmt: skip
        if vm.service == "keyed":
            arguments.append("--partitioned")
        vm.target = Process(arguments, self.folder / f"target-{vm.name}.log", {})

    def start_router(self, vm: Vm) -> None:
        """Start the router of a VM."""
        boot = self.folder / f"{vm.name}.conf"
        boot.write_text("\n".join(vm.boot_lines(self.store_address(vm, self.store_base))) + "\n")
        vm.router = Process(
            ["-m", "hibiscusdrum.platform"],
            self.folder / f"router-{vm.name}.log",
            {"HIBISCUSDRUM_BOOT": str(boot)},
        )

    def serving(self) -> bool:
        """Return whether each router answers requests to all services."""
        for vm in self.vms.values():
            for host, path, key in (
                ("keys.example", "/k/x", 10),
                ("keys.example", "/k/x", 40_000),
                ("grants.example", "/r/x", None),
            ):
                if self.ask(vm, host, path, key=key)[0] != 200:
                    return False
        return True

    def configure(self, routes: list[list[Any]]) -> None:
        """Write a configuration as the operator does."""
        self.version += 3
        value = {
            "version": f"r{self.version}",
            "routes": {"columns": ROUTE_COLUMNS, "records": routes},
            "services": {"columns": SERVICE_COLUMNS, "records": SERVICES},
            "limits": LIMITS,
        }
        assert request(self.store_base, "PUT", "/operator/config", value)[0] == 200

    def evacuate(self, failure_domain: str, wanted: bool) -> None:
        """Ask for an evacuation, or take it back."""
        method = "PUT" if wanted else "DELETE"
        path = f"/operator/evacuate/{failure_domain}"
        assert request(self.store_base, method, path, {})[0] == 200

    def faults(self, faults: dict[str, Any]) -> bool:
        """Set the store's faults."""
        return request(self.store_base, "POST", "/faults", faults)[0] == 200

    def ask(
        self,
        vm: Vm,
        host: str,
        path: str,
        method: str = "GET",
        key: int | None = None,
        body: bytes | None = None,
        deadline_ms: int = 2000,
        attempt: str | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one request as a caller on a VM; status 0 when the connection ends without an answer."""
        headers = {
            "host": host,
            PREFIX + "attempt-id": attempt or f"a{next(ATTEMPTS)}",
            PREFIX + "deadline-ms": str(deadline_ms),
        }
        if key is not None:
            headers[PREFIX + "shard-key"] = str(key)
        connection = http.client.HTTPConnection(vm.address(1), timeout=deadline_ms / 1000 + 1.0)
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            return answer.status, {name.lower(): text for name, text in answer.getheaders()}, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def records(self) -> list[dict[str, Any]]:
        """Return the records of all targets in order of time."""
        lines = []
        for vm in self.vms.values():
            log = self.folder / f"target-{vm.name}.log"
            for line in log.read_bytes().splitlines() if log.exists() else ():
                if line.startswith(b'{"at"'):
                    lines.append(msgspec.json.decode(line))
        return sorted(lines, key=lambda line: line["at"])

    def runs(self, attempt: str) -> list[dict[str, Any]]:
        """Return the runs of one attempt."""
        return [line for line in self.records() if line["event"] == "run" and line["id"] == attempt]

    def log(self, vm: Vm) -> list[dict[str, Any]]:
        """Return the log lines of a router."""
        text = (self.folder / f"router-{vm.name}.log").read_bytes()
        return [msgspec.json.decode(line) for line in text.splitlines() if line.startswith(b"{")]

    def stop(self) -> None:
        """End all processes."""
        processes = [self.store]
        for vm in self.vms.values():
            processes += [vm.router, vm.target]
        for process in processes:
            if process is not None and process.running:
                process.send(signal.SIGCONT)
                process.kill()


def block_of_ports(count: int) -> list[int]:
    """Return neighbouring free ports below those that the kernel gives to outgoing connections.

    Blocks are aligned, and the first port of each stays bound by this process, so that systems that start at
    the same moment never share one.
    """
    rng = random.Random()
    while True:
        first = LOWEST_PORT + BLOCK_PORTS * rng.randrange((HIGHEST_PORT - LOWEST_PORT) // BLOCK_PORTS)
        guard = socket.socket()
        ports = list(range(first + 1, first + 1 + count))
        try:
            guard.bind((HOST, first))
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((HOST, port))
        except OSError:
            guard.close()
            continue
        GUARDS.append(guard)
        return ports
