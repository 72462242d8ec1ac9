"""Runs a complete system on loopback: stand-in store, stand-in targets and real routers, a process each."""

from __future__ import annotations

import http.client
import itertools
import random
import signal
import socket
import time
from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec

from tools.processes import Process, request, wait_until

HOST = "127.0.0.1"
PORTS_PER_VM = 7
START_LIMIT_SECONDS = 15.0
START_LIMIT_SECONDS_PER_VM = 0.5
LOWEST_PORT = 11_000
HIGHEST_PORT = 30_000
# A multiple of the ports of a VM, and one more that stays reserved.
PORT_BLOCK_SIZE = 64
# Sockets bound to the first port of each block, which reserve the block until this process ends.
RESERVATIONS: list[socket.socket] = []
HEADER_PREFIX = "x-hibiscusdrum-"
ATTEMPT_NUMBERS = itertools.count(1)
ROUTE_COLUMNS = [
    "name", "host", "prefix", "kind", "timeoutS", "goalS", "priority", "service", "attempts",
    "allowedRegions", "backends", "public",
]  # fmt: skip
TENANT_COLUMNS = ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"]
SERVICE_COLUMNS = ["name", "healthPath", "maxConns", "warmupS", "warmupPerS", "partitioned"]
# The least memory of a VM that the users' sites name.
MEMORY_MB = 200
# Time that a request takes at a target by default.
TARGET_SECONDS = 0.01
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
    """The processes and ports of a VM, which runs a router and a target."""

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
        """Return an address of the VM by index: target, callers, readiness, reports, peers, metrics."""
        return f"{HOST}:{self.ports[index]}"

    def boot_lines(self, store: str) -> list[str]:
        """Return the lines of the settings file that the platform writes for the router."""
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
            f"limits.memoryMb={MEMORY_MB}",
            "bounds=holdMaxS=10,graceS=6,drainS=2.5,budgetRatio=0.2,budgetSlack=60,budgetWindowS=10",
        ]


class RouterSystem:
    """Starts and stops the processes of a system; signals only those that it started, by process id.

    Parameters
    ----------
    folder : Path
        Receives logs, records of the targets, and settings files.
    store_address : callable, optional
        Takes a VM and the address of the store; returns the address at which the VM reaches the store,
        such as that of a proxy. Defaults to the address of the store.
    descriptor_limits : tuple of (int, int), optional
        Soft and hard limit of file descriptors of each router; those of this process by default.
    limits : dict, optional
        Limits on callers in the configuration; `LIMITS` by default.
    boot_settings : dict of str to str, optional
        Settings of each router that replace or extend those of `Vm.boot_lines`.
    """

    def __init__(
        self,
        folder: Path,
        placements: list[tuple[str, str, str]],
        store_address=None,
        descriptor_limits: tuple[int, int] | None = None,
        limits: dict[str, Any] | None = None,
        boot_settings: dict[str, str] | None = None,
    ) -> None:
        self.folder = folder
        self.limits = limits or LIMITS
        self.boot_settings = boot_settings or {}
        self.descriptor_limits = descriptor_limits
        count = len(placements)
        ports = reserve_port_block(count * PORTS_PER_VM + 1)
        self.store_port = ports.pop()
        self.store_address = store_address or (lambda _vm, address: address)
        self.version = 0
        self.store: Process | None = None
        self.vms: dict[str, Vm] = {}
        for index, (region, failure_domain, service) in enumerate(placements):
            name = f"vm{index}"
            vm_ports = ports[index * PORTS_PER_VM : (index + 1) * PORTS_PER_VM]
            self.vms[name] = Vm(name, region, failure_domain, service, vm_ports)

    @property
    def direct_store_address(self) -> str:
        """Address on which the store itself listens, without a proxy."""
        return f"{HOST}:{self.store_port}"

    def start(self, target_seconds: float = TARGET_SECONDS) -> None:
        """Start all processes and wait until each router serves all services.

        Parameters
        ----------
        target_seconds : float
            Seconds that a request takes at a target.
        """
        self.store = Process(
            ["-m", "tools.standins.rows_store", "--address", self.direct_store_address],
            self.folder / "store.log",
            {},
        )
        wait_until(lambda: self.set_store_faults({}), START_LIMIT_SECONDS, "the store answers")
        self.configure(ROUTES)
        for vm in self.vms.values():
            self.start_target(vm, target_seconds)
            self.start_router(vm)
        limit = max(START_LIMIT_SECONDS, START_LIMIT_SECONDS_PER_VM * len(self.vms))
        wait_until(self.all_services_answer, limit, "all routers serve all services")

    def start_target(self, vm: Vm, seconds: float = TARGET_SECONDS) -> None:
        """Start the target of a VM; each request to it takes ``seconds``."""
        arguments = [
            "-m", "tools.standins.holding_target", "--name", vm.name, "--service", vm.service,
            "--address", vm.address(0), "--control", vm.control_address, "--seconds", str(seconds),
        ]  # fmt: skip
        if vm.service == "keyed":
            arguments.append("--partitioned")
        vm.target = Process(arguments, self.folder / f"target-{vm.name}.log", {})

    def restart_target(self, vm: Vm) -> None:
        """Kill a target, record its end in its log, and start it again."""
        born = [record["born"] for record in self.target_records() if record["target"] == f"i-{vm.name}"]
        vm.target.kill()
        with (self.folder / f"target-{vm.name}.log").open("a") as log:
            at = round(time.monotonic(), 4)
            for value in set(born[-1:]):
                log.write(f'{{"at":{at},"target":"i-{vm.name}","born":{value},"event":"killed"}}\n')
        self.start_target(vm)

    def start_router(self, vm: Vm) -> None:
        """Write the settings file of a VM and start its router."""
        boot = self.folder / f"{vm.name}.conf"
        lines = vm.boot_lines(self.store_address(vm, self.direct_store_address))
        # Of two lines with the same name the last one counts.
        lines += [f"{name}={value}" for name, value in self.boot_settings.items()]
        boot.write_text("\n".join(lines) + "\n")
        vm.router = Process(
            ["-m", "hibiscusdrum.platform"],
            self.folder / f"router-{vm.name}.log",
            {"HIBISCUSDRUM_BOOT": str(boot)},
            descriptor_limits=self.descriptor_limits,
        )

    def all_services_answer(self) -> bool:
        """Return whether each router answers requests to all services with status 200."""
        for vm in self.vms.values():
            for host, path, key in (
                ("keys.example", "/k/x", 10),
                ("keys.example", "/k/x", 40_000),
                ("grants.example", "/r/x", None),
            ):
                if self.send_request(vm, host, path, key=key)[0] != 200:
                    return False
        return True

    def configure(self, routes: list[list[Any]], tenants: list[list[Any]] | None = None) -> None:
        """Write a new version of the configuration with these routes, as an operator does.

        ``tenants`` are the client accounts; without them, requests need no key.
        """
        self.version += 3
        value = {
            "version": f"r{self.version}",
            "routes": {"columns": ROUTE_COLUMNS, "records": routes},
            "services": {"columns": SERVICE_COLUMNS, "records": SERVICES},
            "limits": self.limits,
        }
        if tenants is not None:
            value["tenants"] = {"columns": TENANT_COLUMNS, "records": tenants}
        assert request(self.direct_store_address, "PUT", "/operator/config", value)[0] == 200

    def set_evacuation(self, failure_domain: str, requested: bool) -> None:
        """Request the evacuation of a failure domain, or withdraw the request."""
        method = "PUT" if requested else "DELETE"
        path = f"/operator/evacuate/{failure_domain}"
        assert request(self.direct_store_address, method, path, {})[0] == 200

    def write_row(self, table: str, key: str, body: bytes) -> None:
        """Write a row of any table as it is, as another writer does."""
        path = f"/other-writer/{table}/{quote(key)}"
        assert request(self.direct_store_address, "PUT", path, msgspec.Raw(body))[0] == 200

    def set_store_faults(self, faults: dict[str, Any]) -> bool:
        """Replace the faults that the store injects; return whether it answered."""
        return request(self.direct_store_address, "POST", "/faults", faults)[0] == 200

    def restore_store(
        self, age_s: float, away_s: float = 0.0, rewrite_after_s: float = 0.0, how: str = "silent"
    ) -> None:
        """Restore the store from a copy after an outage; see `tools.standins.rows_store.Restoration`."""
        restoration = {"age_s": age_s, "away_s": away_s, "rewrite_after_s": rewrite_after_s, "how": how}
        assert request(self.direct_store_address, "POST", "/restore", restoration)[0] == 200

    def send_request(
        self,
        vm: Vm,
        host: str,
        path: str,
        method: str = "GET",
        key: int | None = None,
        body: bytes | None = None,
        deadline_ms: int = 2000,
        attempt: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request to a VM's router; return status 0 if the connection closes without an answer."""
        headers = {
            **(headers or {}),
            "host": host,
            HEADER_PREFIX + "attempt-id": attempt or f"a{next(ATTEMPT_NUMBERS)}",
            HEADER_PREFIX + "deadline-ms": str(deadline_ms),
        }
        if key is not None:
            headers[HEADER_PREFIX + "shard-key"] = str(key)
        connection = http.client.HTTPConnection(vm.address(1), timeout=deadline_ms / 1000 + 1.0)
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            return answer.status, {name.lower(): text for name, text in answer.getheaders()}, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def target_records(self) -> list[dict[str, Any]]:
        """Return the records of all targets, ordered by time."""
        lines = []
        for vm in self.vms.values():
            log = self.folder / f"target-{vm.name}.log"
            for line in log.read_bytes().splitlines() if log.exists() else ():
                if line.startswith(b'{"at"'):
                    lines.append(msgspec.json.decode(line))
        return sorted(lines, key=lambda line: line["at"])

    def runs_of_attempt(self, attempt: str) -> list[dict[str, Any]]:
        """Return the records of the runs of one attempt on any target."""
        return [line for line in self.target_records() if line["event"] == "run" and line["id"] == attempt]

    def router_log(self, vm: Vm) -> list[dict[str, Any]]:
        """Return the decoded log lines of a VM's router."""
        text = (self.folder / f"router-{vm.name}.log").read_bytes()
        return [msgspec.json.decode(line) for line in text.splitlines() if line.startswith(b"{")]

    def stop(self) -> None:
        """Kill all processes that still run."""
        processes = [self.store]
        for vm in self.vms.values():
            processes += [vm.router, vm.target]
        for process in processes:
            if process is not None and process.running:
                process.send(signal.SIGCONT)
                process.kill()


def bound_socket(port: int) -> socket.socket:
    """Return a socket that is bound to a port.

    Raises
    ------
    OSError
        If the port is in use.
    """
    bound = socket.socket()
    try:
        bound.bind((HOST, port))
    except OSError:
        bound.close()
        raise
    return bound


def reserve_port_block(count: int) -> list[int]:
    """Return free ports below the range that the kernel uses for outgoing connections.

    They lie in aligned blocks, and this process keeps the first port of each block bound, so that systems
    that start at the same time never share a block. The ports of a VM lie in one block.
    """
    rng = random.Random()
    blocks = -(-count // (PORT_BLOCK_SIZE - 1))
    total = (HIGHEST_PORT - LOWEST_PORT) // PORT_BLOCK_SIZE
    while True:
        first = LOWEST_PORT + PORT_BLOCK_SIZE * rng.randrange(total - blocks + 1)
        reservations: list[socket.socket] = []
        ports: list[int] = []
        try:
            for port in range(first, first + blocks * PORT_BLOCK_SIZE):
                bound = bound_socket(port)
                if (port - first) % PORT_BLOCK_SIZE == 0:
                    reservations.append(bound)
                else:
                    bound.close()
                    ports.append(port)
        except OSError:
            for reservation in reservations:
                reservation.close()
            continue
        RESERVATIONS.extend(reservations)
        return ports[:count]
