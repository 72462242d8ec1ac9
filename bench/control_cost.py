"""Cost of the control plane per daemon without request load, and its slope against nodes and slices.

Run as ``python -m bench.control_cost``. Starts the platform stand-in, and a daemon and a target for each
node, as separate processes on loopback; waits until they have settled, and reads processor time, memory,
descriptors, control bytes and store requests over a bounded window. Then it measures configuration changes
and one takeover.
"""

from __future__ import annotations

import argparse
import os
import re
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec
from tools.processes import Process, request, wait_until

from bench.control_sizes import report_sizes
from hibiscusdrum.internal.ownership.ring_edit import row_to_json
from hibiscusdrum.internal.ownership.rows import LeaseRow, OwnerRow, lease_key, owner_key

HOST = "127.0.0.1"
SHARED_KEY = "bench-shared-key-0123456789"
SERVICE = "wappensuche"
REGIONS = ("ost", "west")
DOMAINS_PER_REGION = 4
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
START_SECONDS = 90.0
SETTLED_POLL_SECONDS = 0.5
# Reviews of guards and rebalancing run for some seconds after the last node has joined.
QUIET_SECONDS = 5.0
ACCEPTED_SECONDS = 7.0
TAKEOVER_SECONDS = 10.0
TARGET_NODES = 490
# Ports below the range from which the kernel takes those of outgoing connections, which would collide.
FIRST_PORT, LAST_PORT = 12_000, 32_000
DURATION = re.compile(r'"config_accepted".*?"duration_ms":([0-9.]+)')


class Sample(msgspec.Struct):
    """Steady state of one run; rates are per second and per daemon unless a name says otherwise."""

    nodes: int
    slices: int
    cpu_percent: float
    cpu_percent_max: float
    rss_mb: float
    rss_mb_max: float
    descriptors: float
    sent: float
    received: float
    store_reads_all: float
    store_writes_all: float
    load: float


def ports(count: int) -> list[int]:
    """Return free ports outside the range of outgoing connections."""
    found = []
    port = FIRST_PORT + os.getpid() * 397 % (LAST_PORT - FIRST_PORT - 2_000)
    while len(found) < count:
        port += 1
        try:
            socket.create_server((HOST, port)).close()
        except OSError:
            continue
        found.append(port)
    return found


class Node:
    """Addresses and processes of one VM."""

    __slots__ = ("daemon", "domain", "http", "name", "peer", "region", "target", "target_address")

    def __init__(self, index: int, numbers: list[int]) -> None:
        self.name = f"n{index:03d}"
        self.region = REGIONS[index % len(REGIONS)]
        self.domain = f"{self.region}-{index // len(REGIONS) % DOMAINS_PER_REGION}"
        self.peer, self.http, self.target_address = (f"{HOST}:{number}" for number in numbers)


class Cluster:
    """Platform, daemons and targets.

    Parameters
    ----------
    folder : Path
        Receives the logs.
    count, slices : int
        Nodes, and slices of each of the two rings.
    """

    def __init__(self, folder: Path, count: int, slices: int) -> None:
        self.folder = folder
        self.slices = slices
        numbers = ports(3 * count + 1)
        self.store = f"{HOST}:{numbers.pop()}"
        self.nodes = [Node(i, numbers[3 * i : 3 * i + 3]) for i in range(count)]
        self.processes: list[Process] = []

    def launch(self, name: str, arguments: list[str]) -> Process:
        """Start one process."""
        environment = {"HIBISCUSDRUM_SHARED_KEY": SHARED_KEY}
        process = Process(arguments, self.folder / f"{name}.log", environment)
        self.processes.append(process)
        return process

    def start(self) -> None:
        """Start all processes, create the route, and wait until every node has its share."""
        self.launch("platform", ["-m", "tools.standins.platform", "--address", self.store])
        wait_until(lambda: request(self.store, "GET", "/counters")[0] == 200, START_SECONDS, "platform")
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            wait_until(lambda n=node: self.status(n), START_SECONDS, f"{node.name} answers")
        route = {"kind": "create_route", "name": SERVICE, "regions": list(REGIONS), "divided": True}
        self.confirm({**route, "slices": self.slices})
        end = time.monotonic() + START_SECONDS
        while not self.settled():
            if time.monotonic() > end:
                raise TimeoutError(f"{len(self.nodes)} nodes did not settle within {START_SECONDS} s")
            time.sleep(SETTLED_POLL_SECONDS)
        time.sleep(QUIET_SECONDS)

    def start_node(self, node: Node) -> None:
        """Start the daemon and the target of a node."""
        flags = {
            "node": node.name,
            "region": node.region,
            "failure-domain": node.domain,
            "service": SERVICE,
            "peer-address": node.peer,
            "http-address": node.http,
            "target-address": node.target_address,
            "store-address": self.store,
        }
        arguments = [part for name, value in flags.items() for part in (f"--{name}", value)]
        daemon = ["-m", "hibiscusdrum.internal.cli.daemon", "run", *arguments]
        node.daemon = self.launch(f"{node.name}-daemon", daemon)
        target = ["-m", "tools.standins.fast_target", "--address", node.target_address]
        target += ["--daemon-address", node.http, "--service", SERVICE]
        node.target = self.launch(f"{node.name}-target", target)

    def status(self, node: Node) -> dict[str, Any]:
        """Return a daemon's status, empty when it does not answer."""
        code, value = request(node.http, "GET", "/v1/status", timeout=5.0)
        return value if code == 200 else {}

    def settled(self) -> bool:
        """Return whether all leases are valid, no node guards itself, and the slices are spread."""
        statuses = [self.status(node) for node in self.nodes]
        owners = statuses[0].get("owners", [])
        if len(owners) != len(self.nodes) or any(row["guard"] in ("", row["node"]) for row in owners):
            return False
        rings = {region: [r["slices"] for r in owners if r["region"] == region] for region in REGIONS}
        even = all(sum(c) == self.slices and max(c) * len(c) <= 1.1 * sum(c) + len(c) for c in rings.values())
        return even and all(status.get("lease_valid") for status in statuses)

    def confirm(self, intent: dict[str, Any]) -> float:
        """Plan and confirm an intent; returns the seconds from the confirm until it is accepted."""
        headers = {"x-hibiscusdrum-key": SHARED_KEY}
        http = self.nodes[0].http
        code, answer = request(http, "POST", "/v1/operator/plan", intent, headers)
        if code != 201:
            raise RuntimeError(f"plan refused: {answer}")
        plan = answer["plan"]["id"]
        started = time.monotonic()
        request(http, "POST", f"/v1/operator/confirm/{plan}", None, headers)

        def accepted() -> bool:
            value = request(http, "GET", f"/v1/operator/plan/{plan}", None, headers)[1]
            return bool(value) and value.get("state") == "accepted"

        wait_until(accepted, ACCEPTED_SECONDS, f"plan {plan} is accepted")
        return time.monotonic() - started

    def add_rows(self, count: int) -> None:
        """Write rows of nodes that do not run, to measure what each row costs a daemon.

        They are leaving, so that none is chosen as guard or receiver, and give the address of a node that
        runs, so that no connection is tried in vain.
        """
        puts: dict[str, Any] = {}
        for i in range(count):
            name, region = f"x{i:03d}", REGIONS[i % len(REGIONS)]
            owner = OwnerRow(name, SERVICE, region, f"{region}-0", self.nodes[0].peer, self.nodes[0].http)
            puts[owner_key(name)] = row_to_json(owner)
            puts[lease_key(name)] = row_to_json(
                LeaseRow(name, "0" * 32, f"x{(i + 2) % count:03d}", "leaving")
            )
        body = {"operation_id": "extra-rows", "checks": {}, "puts": puts, "deletes": []}
        code, answer = request(self.store, "POST", "/v1/transact", body)
        if code != 200:
            raise RuntimeError(f"rows refused: {answer}")
        time.sleep(QUIET_SECONDS)

    # Readings

    def control_bytes(self, nodes: list[Node]) -> tuple[int, int]:
        """Return the control bytes that nodes have sent and received."""
        sent = received = 0
        for node in nodes:
            text = request(node.http, "GET", "/metrics", timeout=5.0)[1]
            sent += metric(text, "hibiscusdrum_control_bytes_sent")
            received += metric(text, "hibiscusdrum_control_bytes_received")
        return sent, received

    def store_counters(self) -> dict[str, int]:
        """Return the requests that the store has served."""
        return request(self.store, "GET", "/counters")[1]

    def stop(self) -> None:
        """End every process by its id."""
        for process in reversed(self.processes):
            process.kill()


def metric(text: str, name: str) -> int:
    """Return the value of a metric without labels of interest."""
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return sum(int(float(line.rsplit(" ", 1)[1])) for line in lines)


def cpu_seconds(process: Process) -> float:
    """Return the processor time of a process, all threads."""
    fields = Path(f"/proc/{process.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def rss_mb(process: Process) -> float:
    """Return the resident memory of a process in MB (2**20 bytes)."""
    text = Path(f"/proc/{process.process.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", text)[1]) / 1024.0


def descriptors(process: Process) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{process.process.pid}/fd"))


def steady_state(cluster: Cluster, seconds: float) -> Sample:
    """Read the counters at both ends of a window without any other request to the daemons."""
    nodes, count = cluster.nodes, len(cluster.nodes)
    bytes_before, bytes_at = cluster.control_bytes(nodes), time.monotonic()
    time.sleep(1.0)
    store_before, store_at = cluster.store_counters(), time.monotonic()
    cpu_before = [(cpu_seconds(node.daemon), time.monotonic()) for node in nodes]
    time.sleep(seconds)
    cpu_after = [(cpu_seconds(node.daemon), time.monotonic()) for node in nodes]
    store_after, store_end = cluster.store_counters(), time.monotonic()
    bytes_after, bytes_end = cluster.control_bytes(nodes), time.monotonic()
    shares = [
        100.0 * (after - before) / (end - start)
        for (before, start), (after, end) in zip(cpu_before, cpu_after, strict=True)
    ]
    memory = [rss_mb(node.daemon) for node in nodes]
    window = store_end - store_at
    sent, received = (
        (after - before) / (bytes_end - bytes_at) / count
        for before, after in zip(bytes_before, bytes_after, strict=True)
    )
    return Sample(
        nodes=count,
        slices=cluster.slices,
        cpu_percent=statistics.fmean(shares),
        cpu_percent_max=max(shares),
        rss_mb=statistics.fmean(memory),
        rss_mb_max=max(memory),
        descriptors=statistics.fmean(descriptors(node.daemon) for node in nodes),
        sent=sent,
        received=received,
        store_reads_all=(store_after["reads"] - store_before["reads"]) / window,
        store_writes_all=(store_after["writes"] - store_before["writes"]) / window,
        load=os.getloadavg()[0],
    )


def measure_changes(cluster: Cluster, sample: Sample, changes: int) -> None:
    """Print time, bytes and store writes of one configuration change, averaged over several."""
    nodes, count = cluster.nodes, len(cluster.nodes)
    before, store, started = cluster.control_bytes(nodes), cluster.store_counters(), time.monotonic()
    times = [cluster.confirm({"kind": "create_tenant", "name": f"tenant-{i}"}) for i in range(changes)]
    time.sleep(2.0)
    after, store_after, elapsed = cluster.control_bytes(nodes), cluster.store_counters(), time.monotonic()
    extra = (after[0] - before[0] - sample.sent * count * (elapsed - started)) / changes
    writes = (store_after["writes"] - store["writes"]) / changes
    log = (cluster.folder / f"{nodes[0].name}-daemon.log").read_text()
    logged = [float(text) for text in DURATION.findall(log)][-changes:]
    print(
        f"  change: confirm to accepted median {statistics.median(times) * 1000:.0f} ms, "
        f"max {max(times) * 1000:.0f} ms; logged {[round(value) for value in logged]} ms; "
        f"{extra:.0f} control bytes over all nodes, {extra / count:.0f} per node; {writes:.1f} writes",
        flush=True,
    )


def measure_takeover(cluster: Cluster, sample: Sample) -> None:
    """Kill one node, and print time, bytes and store writes of its takeover."""
    lost, rest = cluster.nodes[-1], cluster.nodes[:-1]
    before, store = cluster.control_bytes(rest), cluster.store_counters()
    started = time.monotonic()
    lost.daemon.kill()
    lost.target.kill()

    def gone() -> bool:
        owners = cluster.status(cluster.nodes[0]).get("owners", ())
        return bool(owners) and lost.name not in {row["node"] for row in owners}

    wait_until(gone, TAKEOVER_SECONDS, f"{lost.name} is taken over")
    seconds = time.monotonic() - started
    at_takeover = cluster.store_counters()
    time.sleep(5.0)
    after, store_after, end = cluster.control_bytes(rest), cluster.store_counters(), time.monotonic()
    extra = after[0] - before[0] - sample.sent * len(rest) * (end - started)
    print(
        f"  takeover: {seconds:.2f} s; writes until then {at_takeover['writes'] - store['writes']}, "
        f"with rebalancing {store_after['writes'] - store['writes']} in {end - started:.1f} s; "
        f"{extra:.0f} control bytes over all nodes",
        flush=True,
    )


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least squares line."""
    if len(points) < 2:
        return points[0][1], 0.0
    result = statistics.linear_regression(*zip(*points, strict=True))
    return result.intercept, result.slope


def report_slopes(samples: list[Sample]) -> None:
    """Print the lines against the number of nodes, and their value at the target scale."""
    for name in ("cpu_percent", "rss_mb", "descriptors", "sent", "received", "store_reads_all"):
        intercept, factor = slope([(s.nodes, getattr(s, name)) for s in samples])
        print(
            f"  {name:<16} {intercept:10.4f} + {factor:9.5f} N; "
            f"at {TARGET_NODES}: {intercept + factor * TARGET_NODES:.2f}"
        )


def measure(count: int, slices: int, seconds: float, events: bool, extra_rows: int = 0) -> Sample:
    """Run one cluster."""
    with tempfile.TemporaryDirectory(prefix="hibiscusdrum-bench-") as folder:
        cluster = Cluster(Path(folder), count, slices)
        try:
            cluster.start()
            if extra_rows:
                cluster.add_rows(extra_rows)
            sample = steady_state(cluster, seconds)
            print(
                " ", " ".join(f"{k}={v:.4g}" for k, v in msgspec.structs.asdict(sample).items()), flush=True
            )
            if events:
                measure_changes(cluster, sample, 10)
                measure_takeover(cluster, sample)
        finally:
            cluster.stop()
    return sample


def main() -> int:
    """Measure each number of nodes, then each number of slices, then sizes at the target scale."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[8, 16, 32, 48])
    parser.add_argument("--slices", type=int, nargs="*", default=[1024, 16_384])
    parser.add_argument("--seconds", type=float, default=10.0, help="window of each measurement")
    parser.add_argument("--slice-nodes", type=int, default=16, help="nodes of the runs with other slices")
    parser.add_argument("--extra-rows", type=int, default=474, help="nodes in the table that do not run")
    options = parser.parse_args()
    print("command: python -m bench.control_cost " + " ".join(sys.argv[1:]))
    default = max(options.slices, default=16_384)
    print(f"load average {os.getloadavg()[0]:.1f}; by nodes, {default} slices for each of 2 rings")
    samples = [measure(count, default, options.seconds, True) for count in options.nodes]
    if samples:
        report_slopes(samples)
    for slices in options.slices:
        if slices != default:
            print(f"by slices, {options.slice_nodes} nodes")
            measure(options.slice_nodes, slices, options.seconds, False)
    if options.extra_rows:
        print(f"by rows, {options.slice_nodes} nodes and the rows of {options.extra_rows} that do not run")
        measure(options.slice_nodes, default, options.seconds, False, options.extra_rows)
    report_sizes()
    return 0


if __name__ == "__main__":
    sys.exit(main())
