"""Steps on how often nodes poll the store, and how long they let it hold their polls."""

import random

from behave import given, then, when
from outdated_configuration_steps import start_world

from hibiscusdrum.internal.messages import ConfigDigest
from hibiscusdrum.internal.platform.table import Transaction
from hibiscusdrum.internal.router.change_batching import ChangeBatching
from hibiscusdrum.internal.router.poll_hold import SHORT_HOLD_SECONDS, PollConditions, PollHold
from hibiscusdrum.platform.store import MEMBERS_TABLE

ROUND_TRIP_SECONDS = 0.004
HOLD_SECONDS = 3.0


def follow_joins(joins, seconds):
    """Return the times of the polls of a node, and when it knows each of the nodes that join."""
    batching, known, polls, time = ChangeBatching(), [], [], 0.0
    while time < seconds:
        polls.append(time)
        ends = min([*joins[len(known) :], time + HOLD_SECONDS])
        time = max(time, ends) + ROUND_TRIP_SECONDS
        new = [at for at in joins[len(known) :] if at <= time]
        known += [time] * len(new)
        batching.record_joined(len(new), time)
        if new:
            time += batching.wait_seconds(len(known), time)
    return polls, known


@given("{nodes:d} nodes that join within {seconds:g} s, and one that follows their rows")
def joining_nodes(context, nodes, seconds):
    context.runs = []
    for seed in range(20):
        rng = random.Random(seed)
        joins = sorted(rng.uniform(0.2, 0.2 + seconds) for _ in range(nodes))
        context.runs.append((joins, *follow_joins(joins, 8.0)))


@then("it polls at most {limit:d} times on average of 20 starts in its first 5 s")
def few_polls(context, limit):
    counts = [sum(at < 5.0 for at in polls) for _, polls, _ in context.runs]
    assert sum(counts) <= limit * len(counts), counts


@then("it knows each node at most {seconds:g} s after its row was written")
def known_in_time(context, seconds):
    for joins, _, known in context.runs:
        late = [at - written for at, written in zip(known, joins, strict=True)]
        assert max(late) <= seconds, max(late)


@given("a node that knows {known:d} nodes, of which {joined:d} joined {ago:g} s ago")
def knows_nodes(context, known, joined, ago):
    batching = ChangeBatching()
    batching.record_joined(joined, 100.0 - ago)
    context.wait = batching.wait_seconds(known, 100.0)


@then("it waits {seconds:g} s after an answer with rows")
def waits(context, seconds):
    assert abs(context.wait - seconds) < 1e-9, context.wait


@given("the conditions of a calm fleet of 72 nodes, but with {name} {value}")
def calm_conditions(context, name, value):
    context.conditions = PollConditions(72, 1.0, 1.0, True, 1.0, 60.0)
    setattr(context.conditions, name, float(value))
    context.hold = PollHold(random.Random(1))


@then("polls are held {kind}")
def held(context, kind):
    seconds = [context.hold.begin(float(now), context.conditions) for now in range(100)]
    if kind == "long":
        assert context.hold.long and all(1.0 <= value <= 30.0 for value in seconds)
        assert sum(seconds) / 100 > 10.0
    else:
        assert not context.hold.long and set(seconds) == {SHORT_HOLD_SECONDS}


@when("the poll is held, and {name} becomes {value}")
def becomes(context, name, value):
    context.hold.begin(0.0, context.conditions)
    assert context.hold.long and not context.hold.reason_to_end(0.1, context.conditions)
    setattr(context.conditions, name, float(value))


@then('it ends with the reason "{reason}", and the next poll is answered at once')
def ends(context, reason):
    assert context.hold.reason_to_end(0.2, context.conditions) == reason
    context.hold.end_early(0.2, reason)
    assert context.hold.begin(0.2, context.conditions) == 0.0
    context.hold.record_answer()
    assert context.hold.begin(0.3, context.conditions) == SHORT_HOLD_SECONDS


@when("the poll is held, and a peer has newer rows")
def newer_rows(context):
    context.hold.begin(0.0, context.conditions)
    context.hold.record_newer(1.0)
    context.hold.record_newer(1.5)


@then("it goes on for 0.9 s and then ends, unless the store has answered")
def ends_for_newer(context):
    hold, conditions = context.hold, context.conditions
    assert hold.reason_to_end(1.9, conditions) == ""
    assert hold.reason_to_end(2.0, conditions) == "newer_rows"
    hold.record_answer(True)
    hold.begin(2.0, conditions)
    assert hold.long and hold.reason_to_end(9.0, conditions) == ""


@when('"{name}" gets a digest with newer rows of both tables')
def newer_digest(context, name):
    context.node = context.world.nodes[name]
    digest = context.node.gossip.digest()
    fields = {field: getattr(digest, field) for field in digest.__struct_fields__}
    newer = {
        "node": "east-2",
        "position": digest.position + 9,
        "fingerprint": 1,
        "members_position": digest.members_position + 9,
        "members_fingerprint": 1,
    }
    context.node.gossip.on_digest(ConfigDigest(**{**fields, **newer}))


@then("its polls of both tables end if the store does not answer")
def both_noted(context):
    now = context.world.clock.monotonic()
    assert context.node.members.hold.newer_since == context.node.operator_rows.hold.newer_since == now


@when("a peer says for {seconds:g} s that it has newer rows, and the store knows of none")
def newer_for_ever(context, seconds):
    context.polls = 0
    ends = 0.0
    for tick in range(round(seconds / 0.1)):
        now = tick * 0.1
        if now >= ends:
            context.hold.record_answer()
            context.polls += 1
            ends = now + context.hold.begin(now, context.conditions)
        context.hold.record_newer(now)
        reason = context.hold.reason_to_end(now, context.conditions)
        if reason:
            context.hold.end_early(now, reason)
            ends = now


@then("at most {limit:d} polls are sent")
def polls_sent(context, limit):
    # Short polls alone are 20; a withdrawn poll and the next one come on top in each of six periods.
    assert context.polls <= limit, context.polls


@given('{near:d} nodes in region "east" and {far:d} in region "west", which also follow members')
def fleet_with_members(context, near, far):
    names = [f"east-{n}" for n in range(near)] + [f"west-{n}" for n in range(far)]
    start_world(context, names)
    world = context.world
    for name in names:
        row = world.node_row(name)
        fields = {field: getattr(row, field) for field in row.__struct_fields__}
        world.store.put(MEMBERS_TABLE, f"node/{name}", fields)
    for node in world.nodes.values():
        # The rows are the test's, not those of targets.
        node.members.publish = lambda: None
        node.members.on_start()
    world.run(12.0)


@given("half of them renew leases")
def renew_leases(context):
    def renew(node, key):
        transaction = Transaction(key, {}, {key: {}})
        node.client.commit(transaction, lambda _result: None)
        node.app.scheduler.call_later(2.5, lambda: renew(node, key))

    for index, (name, node) in enumerate(context.world.nodes.items()):
        if index % 2:
            delay = random.Random(name).uniform(0.0, 2.5)
            key = f"lease/{name}"
            node.app.scheduler.call_later(delay, lambda node=node, key=key: renew(node, key))
    context.world.run(12.0)


@then("in {seconds:g} s all nodes together poll at most {limit:d} times")
def polls_halved(context, seconds, limit):
    world, context.ages = context.world, []
    before = world.store.count("/rows-feed")
    for _ in range(round(seconds / 0.1)):
        world.run(0.1)
        context.ages.append(max(node.gossip.confirmed_age for node in world.nodes.values()))
    polls = world.store.count("/rows-feed") - before
    print(f"{polls} polls")
    assert polls <= limit, polls


@then("no configuration was unconfirmed for {seconds:g} s")
def all_confirmed(context, seconds):
    assert max(context.ages) < seconds, max(context.ages)


@then("in {seconds:g} s no poll is held for more than {limit:g} s")
def held_short(context, seconds, limit):
    context.world.run(seconds)
    feeds = [call for call in context.world.store.calls if call.path == "/rows-feed"]
    assert len(feeds) > 26 and max(int(call.query["blockMs"]) for call in feeds) == limit * 1000


@when('the connections of "{names}" die without a reset')
def connections_die(context, names):
    for name in names.split(" and "):
        context.world.nodes[name].access.lose_connections()


@when('the row of "{name}" is deleted')
def row_deleted(context, name):
    context.world.store.put(MEMBERS_TABLE, f"node/{name}", None)


@then('all nodes know that "{name}" is gone within {seconds:g} s')
def known_gone(context, name, seconds):
    nodes = context.world.nodes.values()
    context.world.run_until(lambda: all(name not in node.members.nodes for node in nodes), seconds)


@when('"{name}" loses its connections and peers, and the store is silent to it')
def isolated(context, name):
    context.world.nodes[name].access.silent = True
    context.world.cut.add(name)


@then('after {seconds:g} s only "{name}" lacks configuration 11')
def only_one_lacks(context, seconds, name):
    context.world.run(seconds)
    nodes = context.world.nodes
    assert [key for key, node in nodes.items() if node.version != 11] == [name]


@when('"{name}" reaches the store again, but no peers')
def reaches_store(context, name):
    context.world.nodes[name].access.silent = False


@when('"{name}" reaches no peers')
def no_peers(context, name):
    context.world.cut.add(name)


@when('the store falls silent to "{name}"')
def silent_to_one(context, name):
    context.world.nodes[name].access.silent = True


@then('"{name}" knows within {seconds:g} s that it is lost')
def one_knows_lost(context, name, seconds):
    members = context.world.nodes[name].members
    context.world.run_until(lambda: not members.store_reachable, seconds)


@when("the store falls silent to all nodes")
def store_silent(context):
    for node in context.world.nodes.values():
        node.access.silent = True


@then("each node knows within {seconds:g} s that it is lost")
def known_lost(context, seconds):
    nodes = context.world.nodes.values()
    context.world.run_until(lambda: all(not node.members.store_reachable for node in nodes), seconds)


@when("the store speaks again, and configuration 11 adds a route")
def store_speaks(context):
    for node in context.world.nodes.values():
        node.access.silent = False
    context.world.write_configuration(11, "/new/")


@when("the store is restored from a copy, and {what} its former polls")
def store_restored(context, what):
    context.world.store.restore(context.world.store.copy(), drops_feeds=what == "drops")


@when('"{name}" tells all that its rows are confirmed for the next hour')
def false_confirmation(context, name):
    world = context.world
    sender = world.nodes[name]
    digest = sender.gossip.digest()
    future = world.clock.monotonic() + 3600.0
    fields = {field: getattr(digest, field) for field in digest.__struct_fields__}
    false = ConfigDigest(**{**fields, "stamp": future, "members_stamp": future})
    for node in world.nodes:
        sender.hop.send_message(node, false)
    world.run(0.1)


@then("no node counts its rows as confirmed by peers for the future")
def nothing_future(context):
    now = context.world.clock.monotonic()
    for node in context.world.nodes.values():
        known = node.members.known_rows
        stamps = (node.gossip.stamp, node.gossip.peer_stamp, known.stamp, known.peer_stamp)
        assert max(stamps) <= now, stamps


@when("the store drops its history, and configuration 11 adds a route")
def history_dropped(context):
    context.world.store.history_from = context.world.store.version + 1
    context.world.write_configuration(11, "/new/")
