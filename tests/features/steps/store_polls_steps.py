"""Steps on how often nodes poll the store, and how long they let it hold their polls."""

import random

from behave import given, then

from hibiscusdrum.internal.router.change_batching import ChangeBatching

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
