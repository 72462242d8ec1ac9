"""Steps on routers that are killed while something that they sent or acknowledged has yet to take effect."""

import msgspec
from behave import then, when
from tests.router_world import PROBED_KEYS, World

from hibiscusdrum.platform.reports import ReportEndpoint

RESTART_SECONDS = 0.5
LATE_SECONDS = [1.0 + 0.5 * step for step in range(11)]
RECOVERY_SECONDS = 20.0


def join(world):
    world.add("n9", "d1")


def evacuate(world):
    for node in world.nodes.values():
        node.members.set_evacuated_domains(frozenset(("d1",)))


def silence(world):
    world.targets["n1"].reporting = False


def lose_vm(world):
    world.kill_daemon("n3")
    world.targets["n3"].up = False


def restart_target(world):
    world.restart_target("n1")


def lose_answer_of_evacuation(world):
    world.store.late_for = {"n1"}
    evacuate(world)


# Reason that the log gives for the write, how many such writes precede it, and what leads to them. Owners
# hand over to a new node one after the other; after the last of them, no other write changes the ring.
WRITES = {
    "the handover of stripes to a new node": ("rebalanced", 2, join),
    "the handover by a node of an evacuated domain": ("left", 0, evacuate),
    "the transfer of the stripes of a silent target": ("left", 0, silence),
    "the takeover of the stripes of a lost node": ("taken_over", 0, lose_vm),
    "the reassignment of the stripes of a new target": ("restarted", 0, restart_target),
    "the settling of an earlier write that was not answered": ("settled", 0, lose_answer_of_evacuation),
}


class KilledSender:
    """Keeps back one ring write with a reason, and kills and restarts the router that sent it.

    Attributes
    ----------
    preceding : int
        Writes with this reason that still take effect at once.
    reasons : dict of str to str
        Reason of the newest ring write of each node.
    sender : str
        Node whose write was kept back; empty as long as there is none.
    """

    def __init__(self, world, reason, preceding, late):
        self.world, self.reason, self.preceding, self.late = world, reason, preceding, late
        self.reasons = {}
        self.sender = ""
        world.store.seconds_late = self.seconds_late
        for node in world.nodes.values():
            self.watch(node)

    def watch(self, node):
        """Record the reasons of the ring writes of a node."""
        commit_ring = node.owner.rings.commit_ring

        def recorded(ring, checks, deletes, reason, count):
            self.reasons[node.name] = reason
            commit_ring(ring, checks, deletes, reason, count)

        node.owner.rings.commit_ring = recorded

    def seconds_late(self, name, transaction):
        """Keep the write back, and end the faults that led to it."""
        if self.sender or "ring/keys" not in transaction.puts or self.reasons.get(name) != self.reason:
            return None
        if self.preceding:
            self.preceding -= 1
            return None
        self.sender = name
        self.world.store.late_for = set()
        self.world.after(0.0, self.kill)
        self.world.after(RESTART_SECONDS, lambda: self.world.start_daemon(name))
        return self.late

    def kill(self):
        """Kill the sender; evacuations end, and its target reports again."""
        self.world.kill_daemon(self.sender)
        for node in self.world.nodes.values():
            node.members.set_evacuated_domains(frozenset())
        self.world.targets[self.sender].reporting = True


@then("{write}, late by 1 to 6 s, gives no key two holders when its sender is killed and restarted")
def killed_sender(_context, write):
    reason, preceding, begin = WRITES[write]
    for late in LATE_SECONDS:
        world = World(seed=int(late * 10))
        try:
            world.run(8.0)
            killed = KilledSender(world, reason, preceding, late)
            begin(world)
            end = world.now + RECOVERY_SECONDS
            while not killed.sender:
                assert world.now < end, f"no write with the reason {reason}"
                world.run(0.05)
            # ``World.run`` checks the holders after each step.
            world.run(late + RECOVERY_SECONDS)
            assert world.held() == len(PROBED_KEYS), (late, world.held())
        except AssertionError as error:
            raise AssertionError(f"late by {late} s: {error}") from error
        finally:
            world.close()


class Call:
    """A call of the address to which a target reports.

    Attributes
    ----------
    status : int
        Status of the answer; 0 as long as there is none.
    """

    def __init__(self, method, target, body):
        self.method, self.target = method.encode(), f"/instances/{target.name}"
        self.body = msgspec.json.encode(body) if body else b""
        self.status = 0

    def respond(self, status, _headers, _body):
        """Take the answer."""
        self.status = status


def call(world, method, target, body):
    """Call the router of a target; returns the call, whose answer may come later."""
    request = Call(method, target, body)
    node = world.nodes[target.node]
    endpoint = ReportEndpoint(node.owner.settings)
    endpoint.target = node.target
    endpoint.on_request(request)
    return request


def heartbeat(target, sequence, state="ready"):
    """Return the body of a heartbeat of a target."""
    return {
        "addr": "127.0.0.1:1",
        "born": target.started_ms,
        "info": {"service": "keys", "version": "v1", "zone": "d1", "slots": 9},
        "status": {"state": state, "seq": sequence, "warmupS_time": 0},
    }


def report_departure(world, report, target):
    """Send a report of a target that it leaves; returns the call."""
    if report == "a heartbeat that reports draining":
        return call(world, "PUT", target, heartbeat(target, target.sequence + 1, "draining"))
    return call(world, "DELETE", target, {"born": target.started_ms} if "with the" in report else None)


@when("{report} is acknowledged, and its router is killed and restarted {moment}")
def leaves(context, report, moment):
    world = context.world
    target = context.leaving = world.targets["n1"]
    target.reporting = False

    def restart():
        world.kill_daemon("n1")
        world.run(RESTART_SECONDS)
        world.start_daemon("n1")

    if moment == "before that":
        restart()
    end = world.now + 5.0
    request = report_departure(world, report, target)
    while request.status != 200:
        assert world.now < end, request.status
        world.run(0.05)
        if request.status not in (0, 200):
            request = report_departure(world, report, target)
    if moment != "before that":
        world.run(float(moment.split()[0]) if moment != "at once" else 0.0)
        restart()


@when("a heartbeat arrives that the target had sent before")
def late_heartbeat(context):
    context.world.run(0.5)
    call(context.world, "PUT", context.leaving, heartbeat(context.leaving, context.leaving.sequence))


@then("that target gets no more requests within {seconds:d} s")
def stays_out(context, seconds):
    world, node = context.world, context.world.nodes["n1"]
    for _ in range(seconds * 10):
        assert not node.target.ready, world.now
        for other in world.nodes.values():
            row = other.members.nodes.get("n1")
            assert row is None or not row.accepting, (other.name, row)
        world.run(0.1)


@then("a new start of the target under its former name is in use within {seconds:d} s")
def new_start(context, seconds):
    context.world.restart_target("n1")
    context.world.run(seconds)
    node = context.world.nodes["n1"]
    assert node.target.ready
    assert context.world.nodes["n0"].members.nodes["n1"].accepting


@when("the store turns all away while a target sends its notice again and again")
def notice_without_store(context):
    world = context.world
    target = context.leaving = world.targets["n1"]
    target.reporting = False
    world.store.down_for[""] = world.now + 5.0
    context.calls = []
    while world.now < world.store.down_for[""] + 2.0:
        context.calls.append((world.now, call(world, "DELETE", target, {"born": target.started_ms})))
        world.run(1.0)


@then("the notice is acknowledged within {seconds:d} s of the store's return, and not before")
def acknowledged_late(context, seconds):
    back = context.world.store.down_for[""]
    for sent_at, request in context.calls:
        assert request.status in (200, 503), (sent_at, request.status)
        assert request.status != 200 or sent_at > back - 1.0, (sent_at, back)
    assert context.calls[-1][1].status == 200
