"""Steps on the notices of rings in the polled table and their copies, with real services on a manual clock."""

from behave import given, then, when
from tests.router_world import PROBED_KEYS, STEP_SECONDS, World

from hibiscusdrum.internal.platform.table import Transaction, number_of
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
