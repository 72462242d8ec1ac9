"""Steps on the ownership of ranges, with real services for members and ranges on a manual clock.

They guard against two holders of a key, and keys that stay without one.
"""

import base64
import itertools
import random
import zlib

import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure
from tests.router_world import PROBED_KEYS, STORE_SECONDS, World

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.platform.table import Row
from hibiscusdrum.internal.router import ring as ring_edits
from hibiscusdrum.internal.router.grant_contents import grant_contents
from hibiscusdrum.internal.router.local_target import Grant
from hibiscusdrum.internal.router.range_lease import LeaseRow, RangeLease, is_expired
from hibiscusdrum.internal.router.range_owner import KeyState
from hibiscusdrum.internal.router.ring import Owner, Range, Ring, Stripe
from hibiscusdrum.internal.router.ring_row import RingColumns, decode_ring, encode_ring
from hibiscusdrum.platform.reports import encode_grant

LARGEST_ANSWER_BYTES = 4096


@given("{count:d} nodes whose targets hold keys")
def nodes_with_keys(context, count):
    context.world = World(nodes=count)
    context.add_cleanup(context.world.close)
    context.world.run(8.0)
    assert context.world.held() == len(PROBED_KEYS), context.world.held()


@then("every key has a holder and each node has between {least:d} and {most:d} in 100 of them")
def even_shares(context, least, most):
    for name in context.world.nodes:
        owner = context.world.nodes[name].owner
        share = 100 * len(owner.granted_stripes) / len(owner.local_ring.stripes)
        assert least <= share <= most, (name, share)


@when("the daemon of one node is killed and restarted")
def daemon_restarted(context):
    context.world.kill_daemon("n1")
    context.world.run(1.0)
    context.world.start_daemon("n1")


@when("the daemon of one node is killed and restarted after 1 s")
def daemon_restarted_watched(context):
    context.fewest = len(PROBED_KEYS)
    world = context.world
    world.kill_daemon("n1")
    for step in range(100):
        if step == 20:
            world.start_daemon("n1")
        world.run(0.05)
        context.fewest = min(context.fewest, world.held())


@then("no key was without a holder meanwhile")
def no_gap(context):
    assert context.fewest == len(PROBED_KEYS), context.fewest


@when("the target of one node is restarted")
def target_restarted(context):
    context.world.restart_target("n1")


@then("it holds its keys within {seconds:g} s of its first report")
def held_by_first_answer(context, seconds):
    world = context.world
    target = world.targets["n1"]
    world.run(target.offset + seconds)
    assert target.sequence == 1, target.sequence
    assert world.held() == len(PROBED_KEYS), world.held()


@when("the target of one node ends")
def target_ends(context):
    context.world.targets["n1"].up = False
    context.world.nodes["n1"].target.on_connection_refused()


@when("a target that is at work on a request refuses connections")
def refuses_at_work(context):
    context.world.targets["n1"].reporting = False
    target = context.world.nodes["n1"].target
    target.is_serving = lambda: True
    target.on_connection_refused()


@when("the target ends, and so does the request")
def ends_at_work(context):
    context.world.targets["n1"].up = False
    context.world.nodes["n1"].target.is_serving = lambda: False


@when("the target of one node stops reporting")
def target_silent(context):
    context.world.targets["n1"].reporting = False


@when("one VM is lost")
def vm_lost(context):
    context.world.kill_daemon("n1")
    context.world.targets["n1"].up = False


@when("all daemons are killed and restarted")
def all_daemons(context):
    world = context.world
    for name in list(world.nodes):
        world.kill_daemon(name)
    world.run(0.8)
    for name in world.domains:
        world.start_daemon(name)


@when("all VMs lose power and come back")
def all_power(context):
    world = context.world
    context.fence_before = world.nodes["n1"].owner.local_ring.next_fencing_token
    for name in list(world.nodes):
        world.kill_daemon(name)
        world.targets[name].up = False
    world.run(1.2)
    for name in world.domains:
        world.add(name, world.domains[name])


@when("the store turns all away for {seconds:d} s")
def store_down(context, seconds):
    world = context.world
    world.store.down_for[""] = world.now + seconds
    world.run(seconds)


@when("a target drains")
def target_drains(context):
    context.world.targets["n1"].draining = True


@when("a failure domain is evacuated")
def evacuated(context):
    for node in context.world.nodes.values():
        node.members.set_evacuated_domains(frozenset(("d1",)))


@when("{count:d} VMs are lost")
def vms_lost(context, count):
    for index in range(count):
        context.world.kill_daemon(f"n{index}")
        context.world.targets[f"n{index}"].up = False


@when("the failure domain is taken back, and {seconds:d} s pass")
def taken_back(context, seconds):
    for node in context.world.nodes.values():
        node.members.set_evacuated_domains(frozenset())
    context.world.run(seconds)


@then("every key is held, by one target, and each node owns some")
def each_owns(context):
    all_held(context)
    ring = context.world.nodes["n0"].owner.local_ring
    assert set(context.world.nodes) == ring.owner_nodes(), ring.stripe_counts()


@when("the targets of {count:d} nodes drain, and {seconds:d} s pass")
def drain_together(context, count, seconds):
    context.conflicts, context.ring_reads = 0, 0

    def watch(table, rings):
        commit, read = table.commit, rings.read_ring

        def counted_commit(transaction, callback):
            def counted(result):
                context.conflicts += isinstance(result, Failure)
                callback(result)

            commit(transaction, counted)

        def counted_read(done, service=""):
            # Reads for a notice of another node's write do not follow a conflict.
            context.ring_reads += done == rings.on_reread_done
            read(done, service)

        table.commit, rings.read_ring = counted_commit, counted_read

    for node in context.world.nodes.values():
        watch(node.app.find("table"), node.app.find("rings"))
    for index in range(count):
        context.world.targets[f"n{index}"].draining = True
    context.world.run(seconds)


@then("writes of the ring have conflicted, and none was followed by a read of the ring")
def conflicts_without_reads(context):
    assert context.conflicts >= 3 and context.ring_reads == 0, (context.conflicts, context.ring_reads)


@then("every key is held, by one target")
def all_held(context):
    assert context.world.held() == len(PROBED_KEYS), context.world.held()


@when("a failure domain is evacuated while a daemon of it is down for {seconds:d} s")
def evacuated_while_down(context, seconds):
    world = context.world
    world.kill_daemon("n1")
    world.run(seconds)
    world.start_daemon("n1")
    evacuated(context)


@when("a silent target reports again while its node {action}, which takes {seconds:g} s")
def reports_again(context, action, seconds):
    world = context.world
    node, target = world.nodes["n1"], world.targets["n1"]
    target.reporting = False
    world.run(3.0)
    world.store.seconds = seconds
    for _ in range(200):
        reading = node.owner.reading_leases
        writing = node.owner.rings.write_in_progress
        lapsed = not node.target.ready and world.now > node.owner.granted_until + 0.2
        if lapsed and (reading if action.startswith("reads") else writing):
            break
        world.run(0.05)
    else:
        raise AssertionError("the keys of a silent target are moved")
    # Only that answer is slow.
    world.store.seconds = STORE_SECONDS
    target.reporting = True


@then("no key gets two holders within {seconds:d} s")
def no_two_holders(context, seconds):
    # ``World.run`` checks the holders after each step.
    context.world.run(float(seconds))


@then("every key has a holder within {seconds:d} s")
def held_again(context, seconds):
    world = context.world
    end = world.now + seconds
    while world.held() < len(PROBED_KEYS):
        assert world.now < end, f"{world.held()} of {len(PROBED_KEYS)} keys have a holder"
        world.run(0.1)


@then("no write was too large for the store")
def writes_fit(context):
    assert not context.world.store.refused_entries, context.world.store.refused_entries


@when("a fifth node joins")
def joins(context):
    context.world.add("n9", "d1")


@then("it holds at least {share:d} in 100 of the keys within {seconds:d} s")
def has_share(context, share, seconds):
    context.world.run(seconds)
    owner = context.world.nodes["n9"].owner
    assert len(owner.granted_stripes) >= share / 100 * len(owner.local_ring.stripes), len(
        owner.granted_stripes
    )


@when("the daemon of one node is frozen for {seconds:d} s and wakes")
def frozen(context, seconds):
    context.world.frozen.add("n1")
    context.world.targets["n1"].reporting = False
    context.world.run(seconds)
    context.world.frozen.clear()
    context.world.targets["n1"].reporting = True


@when("targets drain and come back while half of the writes take effect seconds late")
def late_writes(context):
    world = context.world
    world.store.late_writes = 0.5
    for _ in range(6):
        name = world.rng.choice(sorted(world.nodes))
        world.targets[name].draining = True
        world.run(4.0)
        world.restart_target(name)
        world.run(3.0)
    world.store.late_writes = 0.0


@when("a silent target reports again while {stage} for the transfer of its keys")
def reports_again(context, stage):
    world = context.world
    world.store.seconds = 0.3
    node, target = world.nodes["n1"], world.targets["n1"]
    target.reporting = False
    end = world.now + 20.0

    def reached():
        if stage == "the leases are read":
            return node.owner.must_release_all and node.owner.reading_leases
        return node.owner.must_release_all and node.owner.rings.write_in_progress

    while not reached():
        assert world.now < end, "no transfer was begun"
        world.run(0.05)
    target.reporting = True
    target.report_once()
    # Its next reports are lost, so that it holds what the answer granted for the whole time.
    target.reporting = False
    world.run(3.0)
    target.reporting = True
    world.run(3.0)


def random_schedule(seed):
    """Play faults at random; the world checks after each step that no key has two holders."""
    world = World(seed, nodes=4)
    rng = random.Random(seed)
    try:
        world.run(7.0)
        for _ in range(14):
            name = rng.choice(sorted(world.domains))
            kind = rng.randrange(9)
            if kind == 0:
                world.kill_daemon(name)
            elif kind == 1:
                world.restart_target(name)
            elif kind == 2:
                world.targets[name].up = False
            elif kind == 3:
                world.frozen.add(name)
            elif kind == 4:
                world.store.down_for[rng.choice(["", name])] = world.now + rng.uniform(1.0, 12.0)
            elif kind == 5:
                world.store.late_writes = rng.choice([0.0, 0.3])
                world.store.lose_answers = rng.choice([0.0, 0.3])
            elif kind == 6:
                world.targets[name].reporting = not world.targets[name].reporting
            elif kind == 7:
                world.targets[name].draining = True
            else:
                domains = frozenset(rng.choice([(), ("d0",), ("d1",)]))
                for node in world.nodes.values():
                    node.members.set_evacuated_domains(domains)
            world.run(rng.uniform(0.1, 5.0))
            if rng.random() < 0.5:
                for other in world.domains:
                    world.start_daemon(other)
                    world.frozen.discard(other)
                    if not world.targets[other].up:
                        world.restart_target(other)
    finally:
        world.close()


@then("{count:d} random schedules of kills, freezes, outages and late writes give no key two holders")
def schedules(context, count):
    for seed in range(count):
        try:
            random_schedule(seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error


@then("the largest list of ranges that one target can get takes at most {most:d} bytes")
def answer_fits(context, most):
    count = ring_edits.MAX_RANGES_PER_TARGET
    ranges = [Range(60_000 + index * 2, 60_000 + index * 2 + 1, 9_999_999) for index in range(count)]
    body = encode_grant(Grant(tuple(ranges), 4.999))
    assert len(body) <= most, len(body)


@then("a ring that enters the eras {first:d} to {last:d} gives out larger tokens than the eras before could")
def tokens_of_eras(_context, first, last):
    ring = ring_edits.create_ring(OWNERS[:2], ring_edits.FIRST_ERA)
    largest = ring.next_fencing_token - 1
    for era in range(first, last + 1):
        # The ring of the era before is known, or was lost as a whole.
        ring = ring_edits.enter_era(ring if era % 2 else ring_edits.create_ring(OWNERS[:2], era), era)
        changed = ring_edits.reassign_stripes(ring, {0: OWNERS[1]})
        token = changed.stripes[0].fencing_token
        assert token > largest, (era, token)
        largest = token + ring_edits.FENCING_TOKENS_PER_ERA - 10


@then("a ring row that an earlier release wrote is read as one of no known era")
def row_of_earlier_release(_context):
    columns = [[["n0", "i@1"]], 3, [0, 0], [1, 2], {}]
    ring = decode_ring(packed(columns))
    assert (ring.era, ring.basis) == (0, 0)
    assert ring_edits.enter_era(ring, 3).next_fencing_token > 2 * ring_edits.FENCING_TOKENS_PER_ERA


@given("a ring of {count:d} stripes of one owner, each with a handover token")
def ring_with_tokens(context, count):
    stripes = tuple(Stripe(0, 9_000 + index, f"{index:016x}") for index in range(count))
    context.ring = Ring((Owner("n0", "i@1"),), stripes, 10_000)


@when("its target takes one answer after the other")
def takes_answers(context):
    context.grants, held = [], ()
    for _ in range(3):
        contents = grant_contents(context.ring, range(len(context.ring.stripes)), held)
        context.grants.append(contents)
        held = contents.ranges


@then("no answer takes more than {most:d} bytes, and none leaves out what the target holds")
def all_fit(context, most):
    for contents in context.grants:
        assert len(encode_grant(Grant(contents.ranges, 4.999))) <= most
    for former, later in itertools.pairwise(context.grants):
        assert former.stripes <= later.stripes


@then("the target holds at least {least:d} stripes after 3 answers")
def holds_most(context, least):
    assert len(context.grants[-1].stripes) >= least, len(context.grants[-1].stripes)


@then("for any delays of the store's answers an owner's lease ends before others may take over")
def lease_order(context):
    delays = st.lists(st.floats(0.0, 3.0), min_size=1, max_size=6)

    @settings(max_examples=300, deadline=None)
    @given_any(delays, delays, st.floats(-1000.0, 1000.0))
    def check(to_store, back, offset):
        lease, now = RangeLease("n", "i"), 100.0
        row = LeaseRow("n", "i", 0.0)
        for there, here in zip(to_store, back, strict=False):
            lease.store_clock.observe(now, now + there + offset)
            now += there + here
        row = lease.next_row(now)
        lease.record_written(row, 1)
        while lease.remaining_seconds(now) > 0.0:
            assert not is_expired(row, now + offset)
            now += 0.5

    check()


@then("any sequence of moves raises the tokens of moved stripes only")
def tokens_grow(context):
    owners = [Owner(f"n{index}", f"l{index}") for index in range(4)]
    moves = st.lists(
        st.tuples(st.sets(st.integers(0, 319), min_size=1, max_size=40), st.integers(0, 3)), max_size=6
    )

    @settings(max_examples=100, deadline=None)
    @given_any(moves)
    def check(steps):
        ring = ring_edits.create_ring(owners)
        for indexes, receiver in steps:
            changed = ring_edits.reassign_stripes(ring, dict.fromkeys(indexes, owners[receiver]))
            for index, (old, new) in enumerate(zip(ring.stripes, changed.stripes, strict=True)):
                if index in indexes:
                    assert new.fencing_token > max(stripe.fencing_token for stripe in ring.stripes)
                    assert changed.owners[new.owner_index] == owners[receiver]
                else:
                    assert new.fencing_token == old.fencing_token
                    assert changed.owners[new.owner_index] == ring.owners[old.owner_index]
            ring = changed

    check()


def evacuation_with_late_writes(seed):
    """Take an evacuation back while the writes of its handovers may still take effect."""
    world = World(seed, nodes=4)
    try:
        world.run(8.0)
        world.store.late_for = {"n1", "n3"}
        for domains in (frozenset(("d1",)), frozenset()):
            for node in world.nodes.values():
                node.members.set_evacuated_domains(domains)
            world.run(world.rng.uniform(2.0, 3.5))
        world.store.late_for = set()
        world.run(8.0)
    finally:
        world.close()


@then("{count:d} evacuations that end before the writes of the handovers take effect give no key two holders")
def evacuations_taken_back(_context, count):
    for seed in range(count):
        try:
            evacuation_with_late_writes(seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error


@when("{count:d} nodes start together")
def fleet_starts(context, count):
    context.world = World(nodes=count)
    context.add_cleanup(context.world.close)


@then("the nodes made at most {most:d} reads of changes each")
def bounded_reads(context, most):
    calls = context.world.store.calls["changes"]
    assert calls <= most * len(context.world.nodes), calls


@then("the ring was written at most {most:d} times meanwhile")
def bounded_writes(context, most):
    fences = {
        ring.next_fencing_token for node in context.world.nodes.values() if (ring := node.owner.local_ring)
    }
    writes = max(fences) - context.fence_before
    assert writes <= most, writes


@when("{count:d} requests on one node find the ring out of date")
def ring_out_of_date(context, count):
    world = context.world
    world.run(1.0)
    rings = world.nodes["n1"].app.find("rings")
    context.rings, context.version = rings, rings.local_version
    # A change that the node has not seen yet, because its read of changes has not been answered.
    row = world.store.rows["ring/keys"]
    world.store.version += 1
    world.store.rows["ring/keys"] = Row(row.key, world.store.version, row.value)
    world.store.ring_reads.clear()
    context.answered = []
    for number in range(count):
        rings.refresh_ring("keys", lambda number=number: context.answered.append(number))


@then("one call brings the ring to that node")
def one_call(context):
    context.world.run(0.1)
    reads = [name for name, _key in context.world.store.ring_reads if name == "n1"]
    assert len(reads) == 1, context.world.store.ring_reads
    assert len(context.answered) == 5, context.answered
    assert context.rings.local_version > context.version


OWNERS = tuple(
    Owner(f"sidecar-west-salzburg-{index}", f"i-{index:010x}@1787731697131") for index in range(48)
)


def moved_ring(stripes, seed):
    rng = random.Random(seed)
    return Ring(
        OWNERS,
        tuple(
            Stripe(rng.randrange(-1, len(OWNERS)), rng.randrange(1, 500), f"{rng.getrandbits(64):016x}")
            for _ in range(stripes)
        ),
        500,
    )


@then("any ring is read back as it was written")
def ring_round_trip(_context):
    @settings(max_examples=50, deadline=None)
    @given_any(st.integers(1, 200), st.integers(0, 99), st.integers(0, 9), st.integers(0, 9 << 48))
    def check(stripes, seed, era, basis):
        ring = ring_edits.enter_era(moved_ring(stripes, seed), era)
        ring = msgspec.structs.replace(ring, basis=basis)
        assert decode_ring(encode_ring(ring)) == ring

    check()


@then("the row of a ring with {stripes:d} stripes that have all moved takes at most {most:d} bytes")
def ring_row_size(_context, stripes, most):
    ring = moved_ring(stripes, 1)
    assert len(msgspec.json.encode(encode_ring(ring))) <= most
    newest = sorted(stripe.fencing_token for stripe in ring.stripes)[-400:]
    kept = {
        stripe.fencing_token for stripe in decode_ring(encode_ring(ring)).stripes if stripe.handover_token
    }
    assert kept and min(kept) <= newest[0], "the newest tokens are kept"


def packed(columns):
    return base64.b64encode(zlib.compress(msgspec.json.encode(columns))).decode()


UNREADABLE_RINGS = {
    "is a list": [["a"], []],
    "is no base64": "!?",
    "is cut short": encode_ring(moved_ring(50, 1))[:-40],
    "names an unknown owner": packed(RingColumns(OWNERS[:1], 3, (0, 1), (1, 1), {})),
    "lacks a fencing token": packed(RingColumns(OWNERS[:1], 3, (0, 0), (1,), {})),
}


@then('a ring row that "{fault}" cannot be read')
def ring_unreadable(_context, fault):
    try:
        decode_ring(UNREADABLE_RINGS[fault])
    except InvalidArgument as error:
        assert error.name == "ring"
        return
    raise AssertionError("the row was accepted")


@then("{keys:d} neighbouring keys of a service with {owners:d} owners have at least {least:d} owners")
def neighbours_spread(_context, keys, owners, least):
    ring = ring_edits.create_ring(OWNERS[:owners])
    for first in (0, 1000, 30_000, 65_000):
        assert len({ring.owner_of(key) for key in range(first, first + keys)}) >= least, first


def after_report(context):
    world = context.world
    node = context.node = world.nodes["n1"]
    reported_at = node.target.last_heartbeat_at
    while node.target.last_heartbeat_at == reported_at:
        world.run(0.05)
    return world, node


@when("a node's target begins to drain just after a report of its target")
def drains_after_report(context):
    world, node = after_report(context)
    context.keys = [node.owner.local_ring.key_bounds(index)[0] for index in node.owner.local_stripes()]
    node.target.on_leave(node.target.last_heartbeat.target, 0, lambda _stored: None)
    world.targets["n1"].draining = True


@when("a node begins to hand over {count:d} stripes just after a report of its target")
def begins_handover(context, count):
    world, node = after_report(context)
    node.owner.outgoing_stripes = dict.fromkeys(
        node.owner.local_stripes()[:count], Owner("n2", world.nodes["n2"].target.incarnation)
    )
    context.keys = [node.owner.local_ring.key_bounds(index)[0] for index in node.owner.outgoing_stripes]


@then("it serves them for {seconds:g} s more, and refuses them before the next report")
@then("it serves its keys for {seconds:g} s more, and refuses them before the next report")
def served_until_report(context, seconds):
    owner, world = context.node.owner, context.world
    reported_at = context.node.target.last_heartbeat_at
    for _ in range(int(seconds / 0.05)):
        assert {owner.key_state(key) for key in context.keys} == {KeyState.GRANTED}
        world.run(0.05)
    world.run(reported_at + 0.95 - world.now)
    assert context.node.target.last_heartbeat_at == reported_at
    assert {owner.key_state(key) for key in context.keys} == {KeyState.NOT_OWNED}


@when("every second one begins to hand over {count:d} stripes while the store takes {milliseconds:d} ms")
def many_handovers(context, count, milliseconds):
    world = context.world
    world.store.seconds = milliseconds / 1000.0
    names = sorted(world.nodes)
    context.givers = [world.nodes[name].owner for name in names[::2]]
    for number, owner in enumerate(context.givers):
        name = names[2 * number + 1]
        owner.outgoing_stripes = dict.fromkeys(
            owner.local_stripes()[:count], Owner(name, world.nodes[name].target.incarnation)
        )


@then("all handovers are written within {seconds:d} s")
def handovers_written(context, seconds):
    context.world.run(seconds)
    assert not [owner.node for owner in context.givers if owner.outgoing_stripes]
