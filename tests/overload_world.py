"""Routers of two regions under more requests than their targets can run, on a manual clock.

Gateways, receivers and their decisions are the real ones. Targets, callers and the network are models: the
link between the regions has a rate and a queue, as has the link of each node.
"""

from __future__ import annotations

import heapq
import itertools
import random

from loguru import logger
from returns.result import Success

from hibiscusdrum.internal import codec
from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.kernel import Application, Service
from hibiscusdrum.internal.messages import Forward
from hibiscusdrum.internal.router.answer_sizes import LinkForecast
from hibiscusdrum.internal.router.gateway import Gateway
from hibiscusdrum.internal.router.hop import MAX_INLINE_BODY_BYTES, Forwarder
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetHeartbeat
from hibiscusdrum.internal.router.members import NodeRow
from hibiscusdrum.internal.router.quarantine import Quarantine
from hibiscusdrum.internal.router.receiver import Receiver
from hibiscusdrum.internal.router.routes import HeaderNames, RequestKind, Route, RouteTable, ServiceSpec
from hibiscusdrum.internal.router.selection import Candidate, NodeSelector
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.traffic import Traffic
from hibiscusdrum.internal.transport.http_connection import HttpResponse
from tests.router_world import Loop

STEP_SECONDS = 0.002
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.03
# Bytes of headers of a caller's request; the rest of a message is counted as encoded.
HEADER_BYTES = 400
NAMES = HeaderNames()
REPORT_SECONDS = 0.5
LEAST_LIMIT_SHARE = 0.83


class Stub(Service):
    """Stands in for a service that a test does not look at."""

    def __init__(self, name, **attributes):
        self.service_name = name
        super().__init__()
        self.__dict__.update(attributes)


class Link:
    """A link with a rate in bytes a second; messages leave in the order of their arrival."""

    def __init__(self, world, rate):
        self.world, self.rate = world, rate
        self.free_at = 0.0
        self.bytes = 0

    def pass_seconds(self, size):
        """Return the seconds until a message that is handed over now has left."""
        self.bytes += size
        self.free_at = max(self.free_at, self.world.now) + size / self.rate
        return self.free_at - self.world.now


class WorldPeers(Service):
    """Carries the messages of a node over the links of a world, in the place of ZeroMQ."""

    service_name = "peers"

    def __init__(self, world, node):
        super().__init__()
        self.world, self.node = world, node
        self.on_request = self.on_reply = None

    def peer(self, _address, heartbeats=False):
        """Connect: nothing to do."""

    def disconnect_peer(self, _address):
        """Disconnect: nothing to do."""

    def try_send_request(self, address, message, body=b""):
        """Send a message to the node that is named by an address."""
        target = self.world.nodes[address]
        size = len(codec.encode(message)) + len(body)
        if type(message) is Forward:
            self.world.far_forwards += target.region != self.node.region
            self.world.forwards += 1
        identity = self.node.name.encode()
        self.world.carry(self.node, target, size, lambda: target.peers.on_request(identity, message, body))
        return size

    def reply(self, identity, message, body=b""):
        """Answer the node that sent a message."""
        origin = self.world.nodes[identity.decode()]
        size = len(codec.encode(message)) + len(body)
        self.world.carry(self.node, origin, size, lambda: origin.peers.on_reply(message, body))
        return size


class WorldTarget(Service):
    """Runs requests for a random time around a mean, in the place of the HTTP client.

    Attributes
    ----------
    signals : dict of str to str
        Headers in which its answers state something about it.
    arrivals : list of float
        Times in seconds at which requests arrived.
    """

    service_name = "http_client"

    def __init__(self, world, node):
        super().__init__()
        self.world, self.node = world, node
        self.signals = {}
        self.arrivals = []

    def request(self, _address, _method, target, _headers, _body, _timeout, callback, *_more):
        """Run a request; its path names the model."""
        self.arrivals.append(self.world.now)
        spec = self.world.services[target.strip("/")]
        seconds = self.world.rng.gammavariate(4.0, spec.work / 4.0)

        def done():
            headers = {NAMES.signature: "s", **self.signals}
            callback(Success(HttpResponse(200, headers, b"x" * spec.answer)))

        self.world.after(seconds, done)
        return None


class ServiceModel:
    """Requests of one route: where the targets are, how long they work, and who may be served where.

    Attributes
    ----------
    work : float
        Mean seconds of a run.
    answer, body : int
        Bytes of an answer and of a request's body.
    service : str
        Service whose targets run them, when another model has the targets.
    """

    def __init__(
        self, name, nodes, work, slots=3, regions=(), answer=400, body=0, goal=0.676, timeout=2.5, service=""
    ):
        self.service = service or name
        self.name, self.nodes, self.work, self.slots = name, nodes, work, slots
        self.regions, self.answer, self.body = regions, answer, body
        self.goal, self.timeout = goal, timeout
        kind = RequestKind.UPLOAD if body > MAX_INLINE_BODY_BYTES else RequestKind.NON_IDEMPOTENT
        self.route = Route(
            name,
            f"{name}.example",
            "/",
            kind,
            ((self.service, 1.0),),
            timeout,
            goal,
            1,
            2,
            tuple(regions),
        )

    @property
    def capacity(self):
        """Requests a second that all targets can run."""
        return sum(self.nodes.values()) * self.slots / self.work


class WorldNode:
    """One VM: gateway, receiver and target."""

    def __init__(self, world, name, region, spec):
        self.world, self.name, self.region, self.spec = world, name, region, spec
        self.link_in, self.link_out = Link(world, world.node_rate), Link(world, world.node_rate)
        settings = RouterSettings(
            name, region, f"{region}-1", spec.name, *(f"127.0.0.1:{port}" for port in range(1, 7)),
            link_bytes_per_second=world.node_rate, cost_aware=world.cost_aware,
        )  # fmt: skip
        self.app = Application(world.clock)
        selection = NodeSelector(region, f"{region}-1", random.Random(name))
        members = Stub(
            "members", nodes=world.rows, candidates=world.candidates, evacuated_domains=frozenset()
        )
        members.on_change, members.store_reachable = [], True
        members.mark_leaving = lambda *_: None
        members.leaving_seconds = lambda _: 0.0
        members.region_of = lambda node: world.rows[node].region
        self.app.add(members)
        self.app.add(Stub("table"))
        self.app.add(Traffic(settings))
        self.app.add(Stub("range_owner", set_partitioned=lambda _: None, on_granted=[]))
        self.app.add(Stub("rings"))
        quiet = dict.fromkeys(("count_ended", "count_declined", "count_run"), lambda *_: None)
        self.app.add(Stub("metrics", **quiet))
        self.app.add(Stub("entry", listen=lambda *_, **_options: None, limits=None))
        self.target = self.app.add(LocalTarget(settings))
        self.http = self.app.add(WorldTarget(world, self))
        self.peers = self.app.add(WorldPeers(world, self))
        self.hop = self.app.add(Forwarder(settings, selection))
        self.app.add(Stub("crash_detector"))
        self.app.add(Quarantine(settings))
        self.receiver = self.app.add(Receiver(settings, NAMES))
        self.receiver.link_forecast = LinkForecast(self.hop.egress)
        self.gateway = self.app.add(Gateway(settings, NAMES, selection))
        for service in ("local_target", "hop", "receiver", "gateway"):
            self.app.find(service).on_start()
        self.gateway.set_route_table(world.table)
        self.reports = 0
        self.report()

    def report(self):
        """Let the target report."""
        self.reports += 1
        report = TargetHeartbeat(
            f"i-{self.name}", self.spec.name, "127.0.0.1:1", self.spec.slots, False, self.reports
        )
        self.target.on_heartbeat(report, lambda _grant: None)
        self.world.after(REPORT_SECONDS, self.report)


class Attempt:
    """One attempt of a caller, as the entry hands it to the gateway."""

    def __init__(self, caller, left):
        self.caller = caller
        self.method, self.target, self.body = b"POST", f"/{caller.spec.name}", caller.body
        self.headers = [
            ("host", f"{caller.spec.name}.example"),
            ("x-padding", "p" * HEADER_BYTES),
            (NAMES.deadline_ms, f"{left * 1000.0:.0f}"),
            (NAMES.attempt_id, f"a{next(caller.world.counter)}"),
        ]
        self.on_closed = None
        self.began = caller.world.now

    def header(self, name):
        """Return a header's value."""
        return dict(self.headers).get(name)

    def respond(self, status, headers, body=b"", close=False):
        """Pass the answer to the caller."""
        self.caller.answered(self, status, dict(headers))


class Caller:
    """A caller that comes back after a refusal, when it is told to, within its deadline.

    Attributes
    ----------
    status : int
        Final status; 0 while there is none.
    """

    RETRIES = 2

    def __init__(self, world, node, spec, deadline):
        self.world, self.node, self.spec = world, node, spec
        self.body = b"b" * spec.body
        self.began, self.deadline = world.now, world.now + deadline
        self.ended_at = 0.0
        self.status = 0
        self.attempts = 0
        self.refused_after = []
        self.send()

    def send(self):
        """Make an attempt."""
        self.attempts += 1
        self.node.gateway.on_request(Attempt(self, self.deadline - self.world.now))

    def answered(self, attempt, status, headers):
        """Take an answer; come back after a refusal."""
        now = self.world.now
        if status == 503:
            self.refused_after.append(now - attempt.began)
            wait = float(headers["retry-after"])
            if self.attempts <= self.RETRIES and wait <= (self.deadline - now) / 3.0:
                self.world.after(wait, self.send)
                return
        self.status, self.ended_at = status, now


class OverloadWorld:
    """Nodes of several services in two regions, and their callers.

    Attributes
    ----------
    forwards, far_forwards : int
        Messages with a request between nodes, and those of them between regions.
    """

    def __init__(self, services, region_rate, node_rate=1_250_000.0, seed=1, cost_aware=False):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.counter = itertools.count()
        self.calls = []
        self.nodes = {}
        self.rows = {}
        self.callers = []
        self.forwards = 0
        self.far_forwards = 0
        self.node_rate = node_rate
        self.cost_aware = cost_aware
        self.services = {spec.name: spec for spec in services}
        self.region_links = {region: Link(self, region_rate) for region in ("east", "west")}
        routes = [spec.route for spec in services]
        names = sorted({spec.service for spec in services})
        self.table = RouteTable.build(1, routes, [ServiceSpec(name) for name in names])
        self.clock.advance(100.0)
        # Thousands of decisions are played; the checks tell what went wrong.
        logger.disable("hibiscusdrum")
        for spec in services:
            for region, count in spec.nodes.items():
                for index in range(count):
                    name = f"{spec.name}-{region}-{index}"
                    self.rows[name] = NodeRow(name, region, f"{region}-1", spec.name, name)
                    self.nodes[name] = WorldNode(self, name, region, spec)
        for node in self.nodes.values():
            node.hop.connect_to_members()

    @property
    def now(self):
        """Time in seconds."""
        return self.clock.monotonic()

    def after(self, delay, call):
        """Call something later."""
        heapq.heappush(self.calls, (self.now + delay, next(self.counter), call))

    def candidates(self, service, regions):
        """Return the nodes of a service in some regions, all when empty."""
        return [
            Candidate(node.name, node.region, f"{node.region}-1")
            for node in self.nodes.values()
            if node.spec.name == service and (not regions or node.region in regions)
        ]

    def carry(self, source, target, size, arrived):
        """Bring a message over the links of its way, then call ``arrived``."""

        def over(links):
            if links:
                self.after(links[0].pass_seconds(size), lambda: over(links[1:]))
            else:
                self.after(FAR_SECONDS if source.region != target.region else NEAR_SECONDS, arrived)

        between = [self.region_links[source.region]] if source.region != target.region else []
        over([source.link_out, *between, target.link_in])

    def load(self, service, rate, seconds, regions=("east", "west"), deadline=5.0):
        """Let callers in some regions send requests at a rate, evenly over all nodes there."""
        nodes = [node for node in self.nodes.values() if node.region in regions]

        def arrive():
            if self.now >= end:
                return
            # Callers of one kind differ in how long they wait.
            limit = deadline * self.rng.uniform(LEAST_LIMIT_SHARE, 1.0)
            self.callers.append(Caller(self, self.rng.choice(nodes), self.services[service], limit))
            self.after(self.rng.expovariate(rate), arrive)

        end = self.now + seconds
        arrive()

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.clock.advance(STEP_SECONDS)
            while self.calls and self.calls[0][0] <= self.now:
                heapq.heappop(self.calls)[2]()
            for node in self.nodes.values():
                node.app.scheduler.run_due(Loop())

    def close(self):
        """End all nodes."""
        logger.enable("hibiscusdrum")
        for node in self.nodes.values():
            node.app.poller._poller.close()
