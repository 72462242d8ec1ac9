"""Steps on ownership while the store is restored from copies, with real services on a manual clock."""

import random

import msgspec
from behave import then, when
from tests.router_world import COPY_INTERVAL_SECONDS, PROBED_KEYS, World

from hibiscusdrum.internal.platform.table import Row
from hibiscusdrum.internal.router.ring import Owner
from hibiscusdrum.internal.router.ring_row import decode_ring, encode_ring

# All leases of the earlier era must have ended before keys change hands.
RECOVERY_SECONDS = 30.0
MAX_RESTORE_AGE_SECONDS = 15.0


def stored_ring(world):
    return decode_ring(world.store.rows["ring/keys"].value)


@when("targets restart and the store is restored from a copy of before, once")
def restarts_and_restore(context):
    world = context.world
    for name in ("n1", "n2"):
        world.restart_target(name)
        world.run(3.0)
    world.store.restore(8.0)
    world.run(0.5)
    for name in ("n3", "n1"):
        world.restart_target(name)
        world.run(2.0)


@when("targets restart and the store is restored from a copy of before, twice")
def restarts_and_restores(context):
    restarts_and_restore(context)
    context.world.run(12.0)
    context.world.restart_target("n2")
    context.world.run(3.0)
    # The copy is from before the first restore.
    context.world.store.restore(19.0)
    context.world.run(1.0)
    context.world.restart_target("n0")


@when("targets restart, and all daemons restart while the store is restored from a copy of before")
def all_memory_lost(context):
    world = context.world
    for name in ("n1", "n2", "n1"):
        world.restart_target(name)
        world.run(3.0)
    for name in sorted(world.nodes):
        world.kill_daemon(name)
    world.store.restore(11.0)
    for name in sorted(world.domains):
        world.start_daemon(name)
    world.run(11.0)
    world.restart_target("n0")


@then("no target has taken a key with a fencing token that an earlier holder had")
def tokens_rise(context):
    # ``World.check_fence`` checks each step; this covers the time after the last one.
    context.world.run(15.0)
    assert context.world.held() == len(PROBED_KEYS), context.world.held()


@when("the store is restored from a copy that {fault} the lease of a node that is cut off for {seconds:d} s")
def restored_without_lease(context, fault, seconds):
    world = context.world
    store = world.store
    context.keys = [key for key in PROBED_KEYS if world.targets["n1"].holds(key)[0]]
    if fault == "lacks":
        copy = store.copies[-1]
        copy.rows.pop("lease/keys/n1")
        store.down_for["n1"] = world.now + seconds
        store.restore(0.0)
    else:
        world.run(4.0)
        store.down_for["n1"] = world.now + seconds
        # A lease row of this age has expired.
        store.restore(9.5)


@then("the target of that node keeps its keys for {seconds:d} s, and no other gets them")
def keeps_keys(context, seconds):
    world = context.world
    for _ in range(seconds * 10):
        world.run(0.1)
        assert all(world.targets["n1"].holds(key)[0] for key in context.keys)


@when("a node hands {count:d} stripes to another, and the store is restored from a copy of before")
def moved_after_copy(context, count):
    world = context.world
    giver, taker = world.nodes["n1"].owner, world.nodes["n2"]
    world.run(COPY_INTERVAL_SECONDS)
    began = world.now
    giver.outgoing_stripes = dict.fromkeys(
        giver.local_stripes()[:count], Owner("n2", taker.target.incarnation)
    )
    stripes = sorted(giver.outgoing_stripes)
    bounds = [giver.local_ring.key_bounds(index) for index in stripes]
    context.stripes = stripes
    context.keys = [key for key in PROBED_KEYS if any(first <= key <= last for first, last in bounds)]
    assert context.keys
    world.run(4.0)
    context.tokens = {key: world.targets["n2"].holds(key) for key in context.keys}
    assert all(held for held, _token in context.tokens.values())
    world.store.down_for[""] = world.now + 1.0
    world.run(1.0)
    world.store.restore(world.now - began)
    assert not {stored_ring(world).owner_of(key).node for key in context.keys} & {"n2"}


@then("the new owner holds the stripes without interruption for {seconds:d} s, with the tokens that it had")
def new_owner_holds(context, seconds):
    world = context.world
    for _ in range(seconds * 10):
        world.run(0.1)
        assert {key: world.targets["n2"].holds(key) for key in context.keys} == context.tokens


@then("every node has the ring that gives the stripes to the new owner")
def ring_restored(context):
    for node in context.world.nodes.values():
        ring = node.owner.local_ring
        assert {ring.owners[ring.stripes[index].owner_index].node for index in context.stripes} == {"n2"}


@when("a node that no other hears of takes the keys of a restarted target, and the store is restored")
def restored_unseen(context):
    world = context.world
    world.run(1.0)
    began = world.now
    world.restart_target("n1")
    for name in ("n0", "n2", "n3"):
        world.store.down_for[name] = world.now + 3.0
    world.run(3.0)
    assert world.held_by("n1"), "the restarted target holds its keys under new tokens"
    world.store.restore(world.now - began)


@when("the store turns all away for {seconds:d} s and is restored from a copy {age:d} s old")
def away_and_restored(context, seconds, age):
    world = context.world
    world.run(age)
    world.store.down_for[""] = world.now + seconds
    world.run(seconds)
    world.store.restore(age)


@then("every key is held without interruption for {seconds:d} s")
def always_held(context, seconds):
    for _ in range(seconds * 10):
        context.world.run(0.1)
        assert context.world.held() == len(PROBED_KEYS), context.world.held()


@when("the store is restored from its first copy")
def restored_from_first(context):
    world = context.world
    context.ring = world.nodes["n0"].owner.local_ring
    world.store.restore(1000.0)
    assert "ring/keys" not in world.store.rows


@then("the stored ring assigns the stripes as before")
def same_ring(context):
    ring = stored_ring(context.world)
    for index in range(len(ring.stripes)):
        key = ring.key_bounds(index)[0]
        assert ring.owner_of(key) == context.ring.owner_of(key)


@when("{seconds:d} s later all VMs lose power and come back")
def power_lost_later(context, seconds):
    world = context.world
    world.run(seconds)
    context.execute_steps("When all VMs lose power and come back")


def clock_schedule(seed):
    world = World(seed, nodes=4)
    rng = random.Random(seed)
    try:
        world.run(8.0)
        for _ in range(3):
            world.restart_target(rng.choice(sorted(world.domains)))
            world.run(rng.uniform(0.5, 5.0))
            world.store.down_for["n1"] = world.now + rng.uniform(0.0, 12.0)
            world.store.restore(rng.uniform(0.0, 8.0), clock_jump=rng.uniform(-30.0, 30.0))
            world.run(rng.uniform(0.5, 15.0))
        await_served(world, RECOVERY_SECONDS)
    finally:
        world.close()


@then("{count:d} restores with a clock that jumps by up to 30 s give no key two holders")
def clock_jumps(_context, count):
    for seed in range(count):
        try:
            clock_schedule(seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error


@when(
    "a write of the ring is held up while the store is restored, and the version it names is given out again"
)
def held_up_write(context):
    world = context.world
    store = world.store
    world.store.late_writes = 0.0
    sent = []
    table = world.nodes["n1"].app.find("table")
    commit = table.commit

    def hold_up(transaction, callback):
        if "ring/keys" in transaction.puts:
            sent.append(transaction)
            table.failing(callback, "unknown")
        else:
            commit(transaction, callback)

    table.commit = hold_up
    world.targets["n1"].draining = True
    world.run(3.0)
    assert sent
    store.restore(0.0)
    world.run(14.0)
    row = store.rows["ring/keys"]
    expected = sent[0].checks["ring/keys"]
    store.rows["ring/keys"] = type(row)(row.key, expected % 2**48, row.value)
    context.late, context.value = sent[0], row.value


@then("the write does not take effect")
def late_write_fails(context):
    store = context.world.store
    assert store.write(context.late) is None
    assert store.rows["ring/keys"].value == context.value


@when("the store is restored, its era row becomes {odd}, and all VMs lose power")
def odd_era_row(context, odd):
    world = context.world
    store = world.store
    store.restore(2.0)
    world.run(4.0)
    store.version += 1
    value = None if odd == "unreadable" else {"since": "noon"}
    store.rows["era/2"] = Row("era/2", store.version, value, unreadable=value is None)
    context.execute_steps("When all VMs lose power and come back")
    context.commits = store.calls["commit"]


@then("the store gets at most {count:d} writes meanwhile")
def writes_meanwhile(context, count):
    writes = context.world.store.calls["commit"] - context.commits
    assert writes <= count, writes


@when("an earlier release wrote the ring, stripes move, and all daemons restart while the store is restored")
def ring_of_earlier_release(context):
    world = context.world
    store = world.store
    ring = msgspec.structs.replace(stored_ring(world), era=0, era_fencing_token=1)
    store.version += 1
    store.rows["ring/keys"] = Row("ring/keys", store.version, encode_ring(ring))
    world.run(3.0)
    began = world.now
    giver, taker = world.nodes["n1"].owner, world.nodes["n2"]
    giver.outgoing_stripes = dict.fromkeys(giver.local_stripes()[:20], Owner("n2", taker.target.incarnation))
    world.run(4.0)
    for name in sorted(world.nodes):
        world.kill_daemon(name)
    store.restore(world.now - began)
    for name in sorted(world.domains):
        world.start_daemon(name)


@when('the store is restored, and another writer leaves a row "{key}" of long ago')
def other_spelling(context, key):
    store = context.world.store
    store.restore(2.0)
    store.version += 1
    store.rows[key] = Row(key, store.version, {"since": 0.0})


@then("the era is recorded within {seconds:d} s, and still settles")
def recorded_and_settling(context, seconds):
    world = context.world
    world.run(seconds)
    assert "era/2" in world.store.rows
    assert all(node.owner.store_era.settling for node in world.nodes.values())


@when("each node has begun to hand {count:d} stripes over when the store is restored")
def restored_in_handovers(context, count):
    world = context.world
    store = world.store
    store.down_for[""] = world.now + 2.5
    names = sorted(world.nodes)
    for name, receiver in zip(names, [*names[1:], names[0]], strict=True):
        owner = world.nodes[name].owner
        owner.outgoing_stripes = dict.fromkeys(
            owner.local_stripes()[:count], Owner(receiver, world.nodes[receiver].target.incarnation)
        )
    world.run(2.5)
    store.restore(3.0)


@when("a write of a lease is held up until its owner has written the lease again in the next era")
def held_up_lease(context):
    world = context.world
    store = world.store
    table = world.nodes["n1"].app.find("table")
    commit, late = table.commit, []

    def hold_up(transaction, callback):
        if "lease/keys/n1" not in transaction.puts:
            commit(transaction, callback)
        elif not late:
            late.append(transaction)
            table.failing(callback, "unknown")
        else:
            if table.era == 2 and table.commit is hold_up:
                # The row gets the version that the late write names.
                store.version = late[0].checks["lease/keys/n1"] % 2**48 - 1
                world.after(0.05, lambda: store.write(late[0]))
                table.commit = commit
            commit(transaction, callback)

    world.run(4.0)
    table.commit = hold_up
    while not late:
        world.run(0.1)
    store.down_for[""] = world.now + 3.0
    world.run(3.0)
    for node in world.nodes.values():
        node.owner.store_era.writes_rows = False
    store.restore(6.0)
    world.run(0.8)
    for node in world.nodes.values():
        node.owner.store_era.writes_rows = True


@then("the owner never uses its lease for longer than its row says")
def lease_as_stored(context):
    world = context.world
    keeper = world.nodes["n1"].owner.keeper
    synced = False
    for _ in range(60):
        world.run(0.1)
        synced = synced or keeper.ring_synced
        if keeper.ring_synced:
            left = world.store.rows["lease/keys/n1"].value["ends"] - world.store_time
            assert keeper.remaining_seconds <= left + 0.1, (keeper.remaining_seconds, left)
    assert synced


def await_served(world, seconds):
    """Let time pass until each key has a holder."""
    end = world.now + seconds
    while world.held() < len(PROBED_KEYS):
        assert world.now < end, f"{world.held()} of {len(PROBED_KEYS)} keys have a holder"
        world.run(0.1)


def restore_store(world, rng):
    """Restore the store, mostly after an outage, from a copy of any age; daemons may restart meanwhile."""
    names = sorted(world.domains)
    restarted = rng.choice([(), (), rng.sample(names, rng.randrange(1, len(names))), names])
    for name in restarted:
        world.kill_daemon(name)
    if rng.random() < 0.6:
        away = rng.uniform(0.2, 3.0)
        world.store.down_for[""] = world.now + away
        world.run(away)
    jump = rng.uniform(-20.0, 20.0) if rng.random() < 0.2 else 0.0
    world.store.restore(rng.uniform(0.0, MAX_RESTORE_AGE_SECONDS), jump)
    if rng.random() < 0.5:
        world.run(rng.uniform(0.0, 6.0))
    for name in restarted:
        world.start_daemon(name)


def restored_schedule(seed):
    """Play restores and other faults at random; the world checks the holders of keys after each step."""
    world = World(seed, nodes=5)
    rng = random.Random(seed)
    store = world.store
    try:
        world.run(rng.uniform(5.0, 9.0))
        for _ in range(16):
            name = rng.choice(sorted(world.domains))
            kind = rng.randrange(12)
            if kind <= 2:
                restore_store(world, rng)
            elif kind == 3:
                world.kill_daemon(name)
            elif kind == 4:
                world.restart_target(name)
            elif kind == 5:
                world.targets[name].up = False
            elif kind == 6:
                world.frozen.add(name)
                world.targets[name].reporting = False
            elif kind == 7:
                for other in [name, *rng.sample(sorted(world.domains), rng.randrange(3))]:
                    store.down_for[other] = world.now + rng.uniform(1.0, 14.0)
            elif kind == 8:
                store.late_writes = rng.choice([0.0, 0.3, 0.6])
                store.lose_answers = rng.choice([0.0, 0.3])
            elif kind == 9:
                world.targets[name].reporting = not world.targets[name].reporting
            elif kind == 10:
                world.targets[name].draining = True
            else:
                domains = frozenset(rng.choice([(), ("d0",), ("d1",)]))
                for node in world.nodes.values():
                    node.members.set_evacuated_domains(domains)
            world.run(rng.uniform(0.1, 5.0))
            if rng.random() < 0.5:
                revive(world)
        revive(world)
        end_faults(world)
        await_served(world, RECOVERY_SECONDS)
        world.run(5.0)
    finally:
        world.close()


def revive(world):
    """Start and thaw what does not run."""
    for name in world.domains:
        world.start_daemon(name)
        if name in world.frozen:
            world.frozen.discard(name)
            world.targets[name].reporting = True
        if not world.targets[name].up:
            world.restart_target(name)


def end_faults(world):
    """End all faults that last."""
    world.store.late_writes = world.store.lose_answers = 0.0
    world.store.down_for.clear()
    for node in world.nodes.values():
        node.members.set_evacuated_domains(frozenset())
    for name, target in list(world.targets.items()):
        target.reporting = True
        if target.draining:
            world.restart_target(name)


@then("{count:d} random schedules of restores, kills, freezes, cuts and late writes give no key two holders")
def restored_schedules(_context, count):
    for seed in range(count):
        try:
            restored_schedule(seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
