"""Nodes in one process that share quotas of client accounts, on a manual clock and links that can be cut."""

from __future__ import annotations

import random
from bisect import bisect_left

from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.kernel import Application, Service
from hibiscusdrum.internal.router.accounts import Account, AccountTable
from hibiscusdrum.internal.router.members import NodeRow
from hibiscusdrum.internal.router.quota_service import QuotaService
from hibiscusdrum.internal.router.routes import RouteTable
from hibiscusdrum.internal.router.settings import RouterSettings
from tests.router_stubs import Stub

STEP_SECONDS = 0.005
NEAR_SECONDS, FAR_SECONDS = 0.003, 0.03
REGIONS = ("east", "west")
# The stated tolerance.
WINDOW, OVER, SLACK = 5.0, 0.1, 20.0


class Loop:
    """Stands in for the event that the poller hands to the scheduler."""

    def reduce_time_left(self, _seconds):
        """Ignore the wait: the world decides when time passes."""


class Links(Service):
    """Delivers messages between nodes; those on a path that is cut are lost."""

    service_name = "hop"

    def __init__(self, world, node):
        super().__init__()
        self.world, self.node = world, node
        self.message_handlers = {}
        self.before_end, self.on_peer_closing = [], []

    def send_message(self, name, message):
        """Deliver a message later to the process that runs now; returns whether there is a connection."""
        world = self.world
        receiver = world.nodes.get(name)
        if receiver is None or name in world.stopped:
            return False
        far = world.regions[name] != world.regions[self.node]
        world.messages += 1
        world.far_messages += far
        if world.reaches(self.node, name):
            world.later(
                FAR_SECONDS if far else NEAR_SECONDS,
                receiver,
                lambda: receiver.links.message_handlers[type(message)](message),
            )
        return True


class Node:
    """The quota service of one process."""

    def __init__(self, world, name):
        self.name = name
        self.app = Application(world.clock)
        region = world.regions[name]
        addresses = (f"127.0.0.1:{port}" for port in range(1, 7))
        settings = RouterSettings(name, region, f"{region}-1", "s", *addresses)
        self.links = self.app.add(Links(world, name))
        self.app.add(Stub("members", nodes=world.rows(), on_change=[]))
        self.app.add(Stub("gateway", route_table=world.table, quota=None))
        self.quota = self.app.add(QuotaService(settings))
        self.quota.on_start()


class QuotaWorld:
    """Nodes, demand and what runs.

    Attributes
    ----------
    cut : callable
        Returns whether messages from one node to another are lost.
    paused, stopped : set of str
        Nodes whose processes do not run; messages to paused ones wait.
    runs : dict of str to list of float
        Times at which the requests of each account ran.
    refusals : list of (float, str, float, bool, str)
        Time, account, Retry-After, whether the caller had come back as told, and node.
    """

    def __init__(self, count, accounts, seed=1):
        self.clock = ManualClock()
        self.clock.advance(1000.0)
        self.rng = random.Random(seed)
        self.regions = {f"n{number}": REGIONS[number % 2] for number in range(count)}
        self.accounts = {account.name: account for account in accounts}
        self.table = RouteTable(1, {}, {}, accounts=AccountTable(accounts))
        self.cut = lambda _one, _other: False
        self.paused, self.stopped = set(), set()
        self.messages = self.far_messages = 0
        self.runs = {name: [] for name in self.accounts}
        self.waits = []
        self.refusals = []
        self.sent = 0
        self.callers = []
        self.nodes = {}
        self.nodes = {name: Node(self, name) for name in self.regions}

    def rows(self):
        """Return the published rows of all nodes."""
        return {
            name: NodeRow(name, region, f"{region}-1", "s", "127.0.0.1:9", f"i-{name}@1", True)
            for name, region in self.regions.items()
        }

    def reaches(self, one, other):
        """Return whether messages arrive."""
        return not self.cut(one, other) and not self.cut(other, one)

    def later(self, delay, node, action):
        """Do something at a node later if its process is still the same."""

        def act():
            if self.nodes.get(node.name) is node:
                action()

        node.app.scheduler.call_later(delay, act)

    @property
    def now(self):
        """Monotonic time in seconds."""
        return self.clock.monotonic()

    def configure(self, accounts):
        """Put other quotas into force at all nodes."""
        self.accounts = {account.name: account for account in accounts}
        self.table = RouteTable(2, {}, {}, accounts=AccountTable(accounts))
        for node in self.nodes.values():
            node.app.find("gateway").route_table = self.table
            node.quota.set_accounts(self.table.accounts)

    def restart(self, name):
        """Replace the process of a node."""
        self.nodes[name] = Node(self, name)
        self.stopped.discard(name)

    def stop(self, name):
        """End a process after its peers were told."""
        node = self.nodes[name]
        for listener in node.links.before_end:
            listener()
        for other in self.nodes.values():
            if other is not node:
                self.later(
                    FAR_SECONDS, other, lambda other=other: [act(name) for act in other.links.on_peer_closing]
                )
        self.stopped.add(name)

    def keeper_of(self, account):
        """Return the node that most nodes ask for the tokens of an account."""
        group = self.nodes["n0"].quota.groups[account]
        chosen = [node.quota.clients[group].keeper for node in self.nodes.values()]
        return max(set(chosen), key=chosen.count)

    def send(self, name, account, come_back=0, returning=False):
        """Send a request to a node; its caller comes back as told, up to some times."""
        node, asked_at = self.nodes[name], self.now
        if name in self.paused or name in self.stopped:
            return
        self.sent += not returning

        def decide(wait):
            if not wait:
                self.runs[account].append(self.now)
                self.waits.append(self.now - asked_at)
                return
            self.refusals.append((self.now, account, wait, returning, name))
            if come_back:
                delay = wait + self.rng.uniform(0.0, 0.02)
                self.later(delay, node, lambda: self.send(name, account, come_back - 1, True))

        if node.quota.acquire(account, returning, decide):
            decide(0.0)

    def demand(self, account, rate, places, come_back=0):
        """Send requests of an account at a rate, each to a random one of some nodes; returns a stop."""
        state = {"on": True, "next": self.now + self.rng.expovariate(rate)}

        def step():
            while state["on"] and state["next"] <= self.now:
                self.send(self.rng.choice(places), account, come_back)
                state["next"] += self.rng.expovariate(rate)

        self.callers.append(step)
        return lambda: state.update(on=False)

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds - 1e-9
        loop = Loop()
        while self.now < end:
            self.clock.advance(STEP_SECONDS)
            for step in self.callers:
                step()
            for name, node in self.nodes.items():
                if name not in self.paused and name not in self.stopped:
                    node.app.scheduler.run_due(loop)

    def most_in_window(self, account, since=0.0):
        """Return the most runs of an account in any window."""
        times = [time for time in self.runs[account] if time >= since]
        return max((bisect_left(times, time + WINDOW) - index for index, time in enumerate(times)), default=0)

    def excess(self, since=0.0):
        """Return the accounts that ran more than the tolerance allows, with the numbers."""
        found = {}
        for name, account in self.accounts.items():
            allowed = (account.rate * WINDOW + account.burst) * (1.0 + OVER) + SLACK
            if (most := self.most_in_window(name, since)) > allowed:
                found[name] = most, allowed
        return found


def fleet_accounts(count=82, total=580.0):
    """Return accounts, few of them large, whose quotas are 1.6 times their demand, and the demand of each."""
    weights = [1.0 / (rank + 1) for rank in range(count)]
    demand = {f"a{rank}": total * weight / sum(weights) for rank, weight in enumerate(weights)}
    accounts = [
        Account(name, rate=round(1.6 * rate, 2), burst=round(1.6 * rate, 1) + 2.0)
        for name, rate in demand.items()
    ]
    return accounts, demand
