# ruff: noqa: D102 - methods of the helper class are named after what they do.
"""Steps for rows: guard against keys with two owners or none, and requests that run twice."""

import random
from collections import Counter

from behave import given, then, when
from bench.lease_model import ModelTable
from hypothesis import example, settings
from hypothesis import given as given_values
from hypothesis import strategies as st

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership import guards, handover, placement, takeover
from hibiscusdrum.internal.ownership.dedup import DedupWindow, Fresh, Recorded
from hibiscusdrum.internal.ownership.ids import creation_time, new_request_id
from hibiscusdrum.internal.ownership.keys import slice_of
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.rows import LeaseRow, OwnerRow, lease_key, owner_key

SERVICE, REGION = "s", "r"
DERANDOMIZED = settings(max_examples=100, derandomize=True, database=None, deadline=None)
WALL = 1_800_000_000.0


class Rows:
    """A table and a map that follows it."""

    def __init__(self, nodes, slices):
        self.table, self.map, self.log = ModelTable(), OwnershipMap(), []
        self.operations, self.slices = 0, slices
        for index in range(nodes):
            self.join(f"n{index}", f"zone{index % 2}")

    def operation(self):
        self.operations += 1
        return f"op{self.operations}"

    def commit(self, transaction):
        """Commit and read back; returns whether the transaction took effect."""
        since = self.table.seq
        committed = self.table.commit(transaction) is not None
        seq, rows = self.table.changes(since)
        self.log += rows
        self.map.apply(rows, seq)
        return committed

    def join(self, name, domain):
        row = OwnerRow(name, SERVICE, REGION, domain, name, name)
        guard = next(iter(self.map.leases), name)
        self.commit(handover.join_transaction(self.map, row, "i", guard, self.operation(), self.slices))

    def touch(self, key):
        """Write a row again, which changes its version."""
        if key not in self.table.rows:
            self.table.rows[key] = (0, {})
        self.table.seq += 1
        self.table.rows[key] = (self.table.seq, self.table.rows[key][1])

    def balance(self, eligible=lambda row: True):
        while planned := placement.plan_moves(self.map.owner_rows(SERVICE, REGION), {}, {}, 10_000, eligible):
            for move in planned:
                self.commit(
                    handover.handover_transaction(
                        self.map, move.source, move.receiver, move.slices, (), self.operation()
                    )
                )


def check_assignment(rows):
    """Every slice is in one row; every hot key is held once and excluded where its slice is."""
    ring = rows.map.rings[SERVICE, REGION]
    owners = rows.map.owner_rows(SERVICE, REGION)
    slices = [index for row in owners for index in row.slices] + list(ring.unowned)
    assert sorted(slices) == list(range(rows.slices)), slices
    hot = sorted(value for row in owners for value in row.hot_keys)
    assert len(set(hot)) == len(hot), hot
    assert hot == sorted([value for row in owners for value in row.excluded] + list(ring.excluded))
    for row in [*owners, ring]:
        held = row.unowned if row is ring else row.slices
        assert {slice_of(value, rows.slices) for value in row.excluded} <= set(held)
    for row in owners:
        for value in row.hot_keys:
            assert rows.map.owner(SERVICE, REGION, value) is row
        for index in row.slices:
            plain_hash = (index << 64) // rows.slices + 1
            assert rows.map.owner(SERVICE, REGION, plain_hash) is row


OPERATIONS = st.tuples(
    st.sampled_from(["join", "leave", "takeover", "handover", "hot", "claim", "release"]),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 8),
    st.booleans(),
)


def operate(rows, kind, first, second, number, eligible):
    """Make one operation; impossible ones change nothing."""
    source, receiver = f"n{first}", f"n{second}"
    known, may = rows.map.owners, lambda row: eligible
    if kind == "join" and source not in known:
        rows.join(source, "zone0")
    if source not in known:
        return
    transactions = []
    if kind == "leave":
        transactions = [handover.leave_transaction(rows.map, source, rows.operation(), may)]
    elif kind == "release":
        transactions = takeover.release_transactions(rows.map, [source], rows.operation(), may)
    elif kind == "claim":
        transactions = [handover.claim_transaction(rows.map, source, rows.operation())]
    elif kind == "takeover":
        version = rows.map.version(lease_key(source))
        transactions = [
            takeover.takeover_transaction(rows.map, source, version, receiver, rows.operation(), may)
        ]
    elif kind in ("handover", "hot") and receiver in known and receiver != source:
        transactions = [move(rows, source, receiver, number, kind == "hot")]
    for transaction in transactions:
        assert transaction is None or rows.commit(transaction), transaction


def move(rows, source, receiver, number, hot):
    row = rows.map.owners[source]
    slices, hot_keys = row.slices[: number % 5], row.hot_keys[:1]
    if hot and row.slices:
        # Few slices are chosen, so that later operations often move a slice with an exclusion.
        value = (row.slices[number % min(3, len(row.slices))] << 64) // rows.slices + 7
        slices, hot_keys = (), () if value in row.excluded else (value,)
    return handover.handover_transaction(rows.map, source, receiver, slices, hot_keys, rows.operation())


@then("random ownership transactions keep slices and hot keys assigned exactly once")
def check_random_transactions(context):
    @DERANDOMIZED
    @given_values(st.lists(OPERATIONS, min_size=15, max_size=30), st.sampled_from([12, 16]))
    @example([("hot", 0, 1, 0, True), ("leave", 0, 0, 0, False), ("claim", 2, 0, 0, True)], 16)
    @example([("hot", 0, 1, 0, True), ("leave", 0, 0, 0, False), ("join", 3, 0, 0, True)], 16)
    def run(operations, slices):
        rows = Rows(3, slices)
        for operation in operations:
            operate(rows, *operation)
            check_assignment(rows)

    run()


@then("a map with reordered ownership rows equals one with ordered rows")
def check_reordered_rows(context):
    @DERANDOMIZED
    @given_values(st.lists(OPERATIONS, min_size=10, max_size=20), st.randoms(use_true_random=False))
    def run(operations, rng):
        rows = Rows(3, 16)
        for operation in operations:
            operate(rows, *operation)
        late = rows.log + rng.sample(rows.log, len(rows.log) // 2)
        rng.shuffle(late)
        other = OwnershipMap()
        for row in late:
            other.apply([row], 0)
        assert (other.owners, other.leases, other.rings) == (rows.map.owners, rows.map.leases, rows.map.rings)
        hashes = [value for row in rows.map.owners.values() for value in row.hot_keys + row.excluded]
        for value in hashes + [(index << 64) // 16 + 1 for index in range(16)]:
            assert other.owner(SERVICE, REGION, value) == rows.map.owner(SERVICE, REGION, value)

    run()


@given("a formed ring of {nodes:d} nodes with {slices:d} slices")
def form_ring(context, nodes, slices):
    context.rows = Rows(nodes, slices)
    context.rows.balance()


@when('the owner row of "{node}" arrives malformed')
def apply_malformed(context, node):
    context.before = context.rows.map.owners[node]
    context.rows.map.apply([(owner_key(node), 10_000, {"node": 5})], 10_000)


@then('the map still names "{node}" as owner of its slices and reports the row')
def check_malformed(context, node):
    assert context.rows.map.slice_owner(SERVICE, REGION, context.before.slices[0]) is context.before
    assert owner_key(node) in context.rows.map.malformed_rows


def prepare(rows, kind):
    """Return a transaction that concerns n1, or n9 for a join."""
    operation, may = rows.operation(), lambda row: True
    version = rows.map.version(lease_key("n1"))
    if kind == "takeover":
        rows.commit(handover.guard_change_transaction(rows.map, "n0", "n1", rows.operation()))
        return takeover.takeover_transaction(rows.map, "n1", version, "n3", operation, may)
    if kind == "handover":
        slices = rows.map.owners["n1"].slices[:1]
        return handover.handover_transaction(rows.map, "n1", "n2", slices, (), operation)
    if kind == "leave":
        return handover.leave_transaction(rows.map, "n1", operation, may)
    if kind == "guard change":
        return handover.guard_change_transaction(rows.map, "n1", "n2", operation)
    if kind == "recovery":
        return handover.self_guard_transaction(rows.map, "n1", operation)
    if kind == "adoption":
        rows.commit(handover.leave_transaction(rows.map, rows.map.leases["n1"].guard, rows.operation(), may))
        return takeover.orphan_guard_transaction(rows.map, "n1", "n2", operation)
    if kind == "release":
        return takeover.release_transactions(rows.map, ["n1"], operation, may)[0]
    if kind == "claim":
        rows.commit(handover.leave_transaction(rows.map, "n3", rows.operation(), lambda row: False))
        return handover.claim_transaction(rows.map, "n1", operation)
    row = OwnerRow("n9", SERVICE, REGION, "zone0", "a", "b")
    return handover.join_transaction(rows.map, row, "i", "n0", operation)


@when('"{kind}" is prepared and then row "{key}" changes')
def prepare_and_change(context, kind, key):
    transaction = prepare(context.rows, kind)
    context.rows.touch(key)
    context.committed = context.rows.table.commit(transaction)


@then("the table refuses the ownership transaction")
def check_refused(context):
    assert context.committed is None


@when('node "{dead}" is taken over by "{taker}" while zone "{zone}" is drained')
def take_over(context, dead, taker, zone):
    rows = context.rows
    rows.commit(handover.guard_change_transaction(rows.map, "n0", dead, rows.operation()))
    context.before = dict(rows.map.owners)
    version = rows.map.version(lease_key(dead))
    transaction = takeover.takeover_transaction(
        rows.map, dead, version, taker, rows.operation(), lambda row: row.failure_domain != zone
    )
    assert rows.commit(transaction)


@then('{count:d} nodes of other zones than "{zone}" received its slices, each with the new epoch')
def check_receivers(context, count, zone):
    after = context.rows.map.owners
    gained = [row for name, row in after.items() if len(row.slices) > len(context.before[name].slices)]
    assert len(gained) == count, gained
    assert all(row.failure_domain != zone and row.epoch == context.rows.table.seq for row in gained)
    check_assignment(context.rows)


@then('the nodes that it guarded have the guard "{taker}"')
def check_duties(context, taker):
    assert "n1" not in context.rows.map.leases
    assert context.rows.map.leases["n0"].guard == taker


@then("takeovers of {count:d} nodes have no receiver in more than {limit:d} of them")
def check_spread(context, count, limit):
    ownership, may = context.rows.map, lambda row: True
    chosen = Counter()
    for index in range(10, 10 + count):
        chosen.update(takeover.choose_receivers(ownership, ownership.owners[f"n{index}"], {f"n{index}"}, may))
    assert max(chosen.values()) <= limit, chosen


@when('the guard of "n0" is deleted and comes back before "n2" adopts "n0"')
def adopt_after_return(context):
    rows = context.rows
    rows.commit(handover.guard_change_transaction(rows.map, "n0", "n1", rows.operation()))
    rows.commit(handover.leave_transaction(rows.map, "n1", rows.operation(), lambda row: True))
    assert "n0" in takeover.orphaned_nodes(rows.map)
    transaction = takeover.orphan_guard_transaction(rows.map, "n0", "n2", rows.operation())
    rows.join("n1", "zone1")
    context.committed = rows.table.commit(transaction)


@given("{count:d} nodes in 2 regions and 8 failure domains with valid leases")
def form_regions(context, count):
    context.owners = {
        f"n{index:03d}": OwnerRow(f"n{index:03d}", SERVICE, f"r{index % 2}", f"z{index % 8}", "a", "b")
        for index in range(count)
    }
    context.leases = {}
    for name in context.owners:
        guard = guards.choose_guard(name, context.owners, context.leases, lambda other: True)
        context.leases[name] = LeaseRow(name, "i", guard)


@when('"{group}" choose their guards at the same time from the same rows')
def choose_at_once(context, group):
    names = sorted(context.owners)
    choosing = {
        "all": names,
        "one domain": [name for name in names if context.owners[name].failure_domain == "z0"],
        "one region": [name for name in names if context.owners[name].region == "r0"],
        "68 at random": random.Random(1).sample(names, min(68, len(names))),
    }[group]
    kept = {name: row for name, row in context.leases.items() if name not in choosing}
    chosen = {name: guards.choose_guard(name, context.owners, kept, lambda other: True) for name in choosing}
    context.guards = {name: row.guard for name, row in kept.items()} | chosen


@then("every chosen guard is in another failure domain of the region and serves at most 4 owners")
def check_guards(context):
    for name, guard in context.guards.items():
        here, there = context.owners[name], context.owners[guard]
        assert here.region == there.region and here.failure_domain != there.failure_domain, (here, there)
    counts = Counter(context.guards.values())
    assert max(counts.values()) <= 4, counts.most_common(3)


def some_of_each_region(context, count):
    names = random.Random(2).sample(sorted(context.owners), len(context.owners))
    regions = {name: context.owners[name].region for name in names}
    return {name for region in ("r0", "r1") for name in [n for n in names if regions[n] == region][:count]}


@when("all nodes choose guards one after another while only {count:d} of each region are usable")
def choose_in_turn(context, count):
    usable, leases = some_of_each_region(context, count), {}
    for name in context.owners:
        guard = guards.choose_guard(name, context.owners, leases, lambda other: other in usable)
        leases[name] = LeaseRow(name, "i", guard)
    context.guards = {name: row.guard for name, row in leases.items()}


@then("every chosen guard serves at most 4 owners")
def check_lessee_limit(context):
    counts = Counter(context.guards.values())
    assert max(counts.values()) <= 4, counts.most_common(3)


@when("all nodes choose guards from the same rows while only {count:d} of each region are usable")
def choose_among_few(context, count):
    usable = some_of_each_region(context, count)
    context.even_share = len(context.owners) / len(usable)
    context.guards = {
        name: guards.choose_guard(name, context.owners, {}, lambda other: other in usable)
        for name in context.owners
    }


@then("no chosen guard serves more than three times its even share")
def check_guard_spread(context):
    counts = Counter(context.guards.values())
    assert max(counts.values()) <= 3 * context.even_share, counts.most_common(3)


@given('a node whose usable peers are "{peers}"')
def set_peers(context, peers):
    context.peers = peers.split(", ")


@given('a node whose usable peers are ""')
def set_no_peers(context):
    context.peers = []


@then('its chosen guard is "{expected}"')
def check_fallback(context, expected):
    owners = {
        "itself": OwnerRow("itself", SERVICE, "r0", "z0", "a", "b"),
        "other domain": OwnerRow("other domain", SERVICE, "r0", "z1", "a", "b"),
        "same domain": OwnerRow("same domain", SERVICE, "r0", "z0", "a", "b"),
        "other region": OwnerRow("other region", SERVICE, "r1", "z4", "a", "b"),
    }
    chosen = guards.choose_guard("itself", owners, {}, lambda name: name in context.peers)
    assert chosen == expected, chosen


@given('a node whose guard "{guard}" is "{condition}"')
def set_guard(context, guard, condition):
    places = {
        "itself": ("r0", "z0"),
        "other domain": ("r0", "z1"),
        "third domain": ("r0", "z2"),
        "same domain": ("r0", "z0"),
        "other region": ("r1", "z4"),
        # Their lessees make cycles longer than the shortest one allowed.
        "far 1": ("r1", "z5"),
        "far 2": ("r1", "z6"),
    }
    context.lonely = condition == "lonely"
    context.owners = {
        name: OwnerRow(name, SERVICE, region, zone, "a", "b") for name, (region, zone) in places.items()
    }
    context.leases = {name: LeaseRow(name, "i", "far 1") for name in places}
    context.leases["far 1"] = LeaseRow("far 1", "i", "far 2")
    context.leases["itself"] = LeaseRow("itself", "i", guard)
    if condition == "leaving":
        context.leases[guard] = LeaseRow(guard, "i", "far 1", "leaving")
    elif condition == "without row":
        del context.leases[guard]
    elif condition == "overloaded":
        for index in range(4):
            context.leases[f"a{index}"] = LeaseRow(f"a{index}", "i", guard)


@then('the review of its guard proposes "{expected}"')
def check_review(context, expected):
    usable = {"other domain", "third domain", "same domain", "other region"}
    if context.lonely:
        usable = {"other region"}
    if context.leases.keys().isdisjoint({"other domain"}):
        usable.discard("other domain")
    proposal = guards.find_better_guard("itself", context.owners, context.leases, lambda name: name in usable)
    assert (proposal or "nothing") == expected, proposal


def least_moves(owners, capacities):
    """Return a lower bound of the moves that bring all nodes between 0.90 and 1.10 of the mean."""
    mean = sum(len(row.slices) for row in owners) / sum(capacities.values())
    give = take = 0
    for row in owners:
        share = mean * capacities[row.node]
        give += max(0, len(row.slices) - int(placement.MAX_LOAD_RATIO * share))
        take += max(0, -int(-placement.MIN_LOAD_RATIO * share // 1) - len(row.slices))
    return max(give, take)


@then("placement keeps the imbalance at most 1.10 with at most 1.5 times the least moves")
def check_placement(context):
    @DERANDOMIZED
    @given_values(
        st.lists(st.tuples(st.integers(0, 400), st.sampled_from([1.0, 1.0, 2.0])), min_size=2, max_size=30)
    )
    def run(nodes):
        owners, capacities, start = [], {}, 0
        for index, (count, capacity) in enumerate(nodes):
            own = tuple(range(start, start + count))
            owners.append(OwnerRow(f"n{index}", SERVICE, REGION, "z", "a", "b", own))
            capacities[f"n{index}"] = capacity
            start += count
        mean = start / sum(capacities.values())
        if mean < 20:
            return
        planned = placement.plan_moves(owners, capacities, {}, 100_000)
        assert planned == placement.plan_moves(list(reversed(owners)), capacities, {}, 100_000)
        moved = sum(len(move.slices) for move in planned)
        counts = {row.node: len(row.slices) for row in owners}
        for move in planned:
            counts[move.source] -= len(move.slices)
            counts[move.receiver] += len(move.slices)
        assert moved <= 1.5 * least_moves(owners, capacities), (moved, least_moves(owners, capacities))
        for name, count in counts.items():
            level = count / (mean * capacities[name])
            assert level <= placement.MAX_LOAD_RATIO, (name, level)
            assert level >= placement.MIN_LOAD_RATIO - 1 / (mean * capacities[name]), (name, level)

    run()


@given("three nodes of 10 slices each with loads {loads}")
def three_nodes(context, loads):
    context.owners = [
        OwnerRow(f"n{i}", SERVICE, REGION, "z", "a", "b", tuple(range(10 * i, 10 * i + 10))) for i in range(3)
    ]
    context.loads = {f"n{i}": float(value) for i, value in enumerate(loads.split(", "))}


@when('the hot key of "{source}" with load {load:d} is isolated while "{drained}" is drained')
def isolate(context, source, load, drained):
    context.move = placement.isolate_hot_key(
        context.owners, {}, context.loads, source, 7, float(load), lambda row: row.node != drained
    )


@then('the hot key goes to "{receiver}"')
def check_isolated(context, receiver):
    expected = None if receiver == "nobody" else placement.Move("n0", receiver, (), (7,))
    assert context.move == expected, context.move


@when("at most {bound:d} slices are moved")
def move_at_most(context, bound):
    context.moves = placement.plan_moves(context.owners, {}, context.loads, bound)


@then('{count:d} slices leave "{source}"')
def check_moved(context, count, source):
    assert all(move.source == source for move in context.moves), context.moves
    assert sum(len(move.slices) for move in context.moves) == count, context.moves


@then("moving 3 slices within a region and 2 across it costs 500 keys, 20000 link bytes and 2.0 s")
def check_cost(context):
    planned = [placement.Move("a", "b", (1, 2, 3)), placement.Move("a", "c", (4, 5))]
    regions = {"a": "ost", "b": "ost", "c": "west"}
    cost = placement.estimate_cost(planned, regions, 100.0, 100.0, 10_000.0)
    assert cost == placement.MoveCost(slices=5, keys=500, link_bytes=20_000, seconds=2.0), cost


@when('placement gets "{name}" with value "{value}"')
def place_bad_value(context, name, value):
    row = OwnerRow("n0", SERVICE, REGION, "z", "a", "b", (1, 2))
    capacities = {"n0": float(value)} if name == "capacity" else {}
    loads = {"n0": float(value)} if name == "load" else {}
    context.error = None
    try:
        placement.plan_moves([row], capacities, loads, int(value) if name == "max_moves" else 10)
    except InvalidArgument as error:
        context.error = error


@when('placement runs while zone "{zone}" is drained')
def drain_zone(context, zone):
    context.rows.balance(lambda row: row.failure_domain != zone)


@then('no node of zone "{zone}" owns slices after the moves')
def check_drained(context, zone):
    assert not any(row.slices for row in context.rows.map.owners.values() if row.failure_domain == zone)
    check_assignment(context.rows)


@given("a deduplication window that acquired its slice {seconds:d} s ago")
def make_window(context, seconds):
    context.window, context.acquired = DedupWindow(max_entries=10), WALL - seconds


@when('a request created {age:d} s ago arrives as attempt {attempt:d} after "{history}"')
def admit_request(context, age, attempt, history):
    window, request_id = context.window, new_request_id(WALL - age)
    if history in ("running", "answered", "unknown", "not run"):
        assert isinstance(window.admit(request_id, 1, context.acquired, WALL - 0.5), Fresh)
    if history == "answered":
        window.finish(request_id, b"grant 7")
    elif history == "unknown":
        window.finish(request_id, None)
    elif history == "not run":
        window.forget(request_id)
    elif history == "10 others":
        for _ in range(10):
            window.admit(new_request_id(WALL), 1, context.acquired, WALL)
    context.decision = window.admit(request_id, attempt, context.acquired, WALL)


@then('the deduplication window answers "{expected}"')
def check_decision(context, expected):
    decision = context.decision
    name = getattr(decision, "reason", type(decision).__name__.lower())
    assert name == expected, decision
    if name in ("full", "future"):
        assert decision.not_run


@then("no retry of an admitted request is fresh, for clocks that differ by up to 5 s")
def check_window(context):
    @DERANDOMIZED
    @given_values(st.floats(-5.0, 5.0), st.floats(0.0, 10.0), st.floats(0.0, 120.0), st.floats(-11.0, 11.0))
    def run(skew, delay, early, late):
        window = DedupWindow()
        request_id = new_request_id(WALL + skew)
        assert isinstance(window.admit(request_id, 1, 0.0, WALL + delay), Fresh)
        # The second retry comes about when the window ends by one clock and not yet by the other.
        for wall in (WALL + delay + early, WALL + delay + 120.0 + late):
            assert not isinstance(window.admit(request_id, 2, 0.0, wall), Fresh)

    run()


@when("100 answers of 1000 bytes are recorded with a bound of 10000 bytes")
def record_answers(context):
    context.window = DedupWindow(max_answer_bytes=10_000)
    context.ids = [new_request_id(WALL) for _ in range(100)]
    for request_id in context.ids:
        context.window.admit(request_id, 1, 0.0, WALL)
        context.window.finish(request_id, bytes(1000))


@then("the newest answer is recorded, the oldest is not, and neither runs again")
def check_answers(context):
    window = context.window
    assert isinstance(window.admit(context.ids[-1], 2, 0.0, WALL), Recorded)
    assert window.admit(context.ids[0], 2, 0.0, WALL).reason == "no_answer_recorded"
    assert window.answer_bytes <= 10_000


@when("{count:d} requests are admitted and answered over {seconds:d} s")
def run_window(context, count, seconds):
    context.window = DedupWindow()
    for index in range(count):
        wall = WALL + index * seconds / count
        request_id = new_request_id(wall)
        context.window.admit(request_id, 1, 0.0, wall)
        context.window.finish(request_id, b"")


@then("the deduplication window remembers at most {limit:d} of them anywhere")
def check_bounded(context, limit):
    window = context.window
    assert max(len(window.entries), len(window.expiry_queue), len(window.answered_ids)) <= limit


@when('the request id "{hex_text}" is checked')
def check_id(context, hex_text):
    context.error = None
    try:
        creation_time(bytes.fromhex(hex_text))
    except InvalidArgument as error:
        context.error = error


@then('the ownership error names "{name}"')
def check_error_name(context, name):
    assert context.error is not None and context.error.name == name
