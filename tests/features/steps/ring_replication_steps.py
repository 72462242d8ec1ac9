"""Steps on the notices and copies of rings, with real services on a manual clock."""

from behave import given, then, when
from tests.router_world import PROBED_KEYS, STEP_SECONDS, World

from hibiscusdrum.internal.messages import RingReply, RingRequest
from hibiscusdrum.internal.platform.table import Transaction, make_version, number_of
from hibiscusdrum.internal.router.ring import Owner
from hibiscusdrum.internal.router.ring_row import decode_ring, encode_ring

RING = "ring/keys"
NOTICE = "ring-version/keys"
SETTLING_SECONDS = 10.0


def ring_version(world, name):
    return number_of(world.nodes[name].app.find("rings").row_versions.get(RING, 0))


def stored_version(world):
    return world.store.rows[RING].version


def write_ring(world, notice=True):
    """Write the ring with the next fencing token, as any node could."""
    ring = decode_ring(world.store.rows[RING].value)
    value = encode_ring(type(ring)(ring.owners, ring.stripes, ring.next_fencing_token + 1, ring.era))
    puts = {RING: value, NOTICE: 1} if notice else {RING: value}
    assert world.store.write(Transaction("test", {RING: stored_version(world)}, puts))


def know_ring(world):
    return all(ring_version(world, name) == stored_version(world) for name in world.nodes)


def run_until(world, condition, seconds):
    end = world.now + seconds
    while not condition() and world.now < end:
        world.run(STEP_SECONDS)
    assert condition(), f"not within {seconds} s"


@given("{count:d} nodes in two regions whose targets hold keys")
def nodes_in_two_regions(context, count):
    world = context.world = World(nodes=count, regions=("east", "west"))
    context.add_cleanup(world.close)
    world.run(SETTLING_SECONDS)
    assert world.held() == len(PROBED_KEYS), world.held()
    assert know_ring(world)
    world.store.ring_reads.clear()
    world.store.feed_bytes.clear()
    context.first_version = stored_version(world)


@when("{count:d} targets restart")
def targets_restart(context, count):
    for index in range(count):
        context.world.restart_target(f"n{index}")
        context.world.run(2.0)


@then("polls have returned at most {most:d} bytes for each write of the ring and node")
def few_bytes(context, most):
    store = context.world.store
    writes = sum(key == RING and version > context.first_version for version, key, _size in store.written)
    assert writes, "the ring was not written"
    size = sum(count for kind, count in store.feed_bytes.items() if kind.startswith("ring"))
    each = size / writes / len(context.world.nodes)
    assert each <= most, f"{each:.0f} bytes for each of {writes} writes and node"


@when("the ring is written once")
def ring_written(context):
    write_ring(context.world)


@then("all nodes know the ring within {seconds:g} s")
def all_know(context, seconds):
    run_until(context.world, lambda: know_ring(context.world), seconds)


@then("no region has read the ring from the store more than {most:d} times")
def few_copies(context, most):
    world = context.world
    reads = [world.regions[name] for name, _key in world.store.ring_reads]
    counts = {region: reads.count(region) for region in set(world.regions.values())}
    assert max(counts.values()) <= most, counts


@when("each node has begun to hand {count:d} stripes over")
def hand_over(context, count):
    world = context.world
    names = sorted(world.nodes)
    context.moves = []
    world.store.conflicts, world.store.ring_writes = 0, 0
    for name, receiver in zip(names, [*names[1:], names[0]], strict=True):
        owner = world.nodes[name].owner
        target = world.nodes[receiver].target
        stripes = owner.local_stripes()[:count]
        owner.outgoing_stripes = dict.fromkeys(stripes, Owner(receiver, target.incarnation))
        context.moves += [(stripe, receiver) for stripe in stripes]


@then("all stripes are handed over within {seconds:g} s")
def handed_over(context, seconds):
    world = context.world
    context.begun_at = world.now

    def moved():
        ring = decode_ring(world.store.rows[RING].value)
        return all(
            ring.owners[ring.stripes[stripe].owner_index].node == node for stripe, node in context.moves
        )

    run_until(world, moved, seconds)


@then("at most {share:d} of {whole:d} transactions of the ring have conflicted")
def few_conflicts(context, share, whole):
    store = context.world.store
    writes = sum(key == RING and version > context.first_version for version, key, _size in store.written)
    took = context.world.now - context.begun_at
    conflicts = store.conflicts
    print(f"{writes} writes of the ring, {conflicts} conflicts, {took:.2f} s")
    assert conflicts * whole <= share * (writes + conflicts), (writes, conflicts, took)


@when("the ring is written once while the parent of a node is {fault}")
def parent_fails(context, fault):
    world = context.world
    names = [name for name in world.nodes if world.nodes[name].app.find("ring_replication").parent_node()]
    context.child = names[-1]
    parent = world.nodes[context.child].app.find("ring_replication").parent_node()
    if fault == "restarted":
        world.kill_daemon(parent)
        world.after(0.3, lambda: world.start_daemon(parent))
    elif fault == "cut off":
        world.cut_off.add(parent)
        world.store.down_for[parent] = world.now + 30.0
    else:
        {"silent": world.silent, "paused": world.frozen}[fault].add(parent)
    write_ring(world)


@then("that node knows the ring within {seconds:g} s of the notice of it")
def child_knows(context, seconds):
    world, child = context.world, context.child
    members = world.nodes[child].members
    run_until(world, lambda: number_of(members.row_versions.get(NOTICE, 0)) >= stored_version(world), 3.0)
    run_until(world, lambda: ring_version(world, child) >= stored_version(world), seconds)


@when("the ring is written while the store turns reads of half of a region away, those of both roots too")
def reads_refused(context):
    world = context.world
    names = [name for name, region in world.regions.items() if region == "west"]
    order = world.nodes[names[0]].app.find("ring_replication").region_order()
    world.store.refuses_reads = set(order[: len(order) // 2])
    write_ring(world)


@when("a peer answers with a copy of a ring {defect}")
def defective_copy(context, defect):
    world = context.world
    context.child = next(
        name for name in world.nodes if world.nodes[name].app.find("ring_replication").parent_node()
    )
    replication = world.nodes[context.child].app.find("ring_replication")
    parent = replication.parent_node()
    rings = world.nodes[context.child].app.find("rings")
    known = rings.row_versions[RING]
    version, value = known + 1000, rings.rows[RING].value
    if defect == "that cannot be decoded":
        value = "AAAA"
    elif defect == "of an earlier era":
        version = make_version(world.store.era - 1, number_of(known) + 1000)
    elif defect == "older than the known one":
        version = known - 1
    else:
        context.known = known
        replication.on_reply(RingReply(parent, "keys", version, value))
        assert rings.row_versions[RING] == known
        write_ring(world)
        return
    # The parent answers nothing else.
    world.silent.add(parent)
    write_ring(world)
    run_until(world, lambda: any(entry[1] == parent for entry in sent_requests(world)), 2.0)
    replication.on_reply(RingReply(parent, "keys", version, value))
    assert rings.row_versions[RING] == known


def sent_requests(world):
    return [entry for entry in world.messages if type(entry[2]) is RingRequest]


@then("the node keeps the ring that it knows and has the stored one within {seconds:g} s")
def stored_one(context, seconds):
    world = context.world
    run_until(world, lambda: ring_version(world, context.child) == stored_version(world), seconds)


@when("a node asks one of the other region for the ring")
def asks_other_region(context):
    world = context.world
    asker = world.nodes["n0"].app.find("hop")
    other = next(name for name, region in world.regions.items() if region != world.regions["n0"])
    world.messages.clear()
    asker.send_message(other, RingRequest("n0", "keys", 0, 1))
    world.run(1.0)


@then("it gets no ring")
def no_ring(context):
    assert not [entry for entry in context.world.messages if entry[1] == "n0" and entry[2].version]


@when("an earlier release writes the ring without its notice")
def earlier_release(context):
    write_ring(context.world, notice=False)
    context.token = decode_ring(context.world.store.rows[RING].value).next_fencing_token


@then("no write that an earlier release made is undone")
def kept(context):
    assert decode_ring(context.world.store.rows[RING].value).next_fencing_token >= context.token
