"""Steps for configuration decisions: guards against wrong plans and against revisions that go back."""

import itertools
import json

import msgspec
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.config import document as documents
from hibiscusdrum.internal.config import intents, planner, revisions
from hibiscusdrum.internal.ownership.keys import region_of
from hibiscusdrum.internal.ownership.rows import OwnerRow

repeatable = settings(derandomize=True, database=None, deadline=None, max_examples=150)
SETUP = (
    intents.CreateRoute("archiv", ("ost", "west"), True, 16),
    intents.CreateRoute("verleihung", ("ost",), False, 16),
    intents.CreateTenant("amt", home_regions=("ost",)),
    intents.CreateTenant("buerger"),
    intents.DrainFailureDomain("west-salzburg"),
)


def build(*series, start=None):
    document = start or documents.empty_document()
    for intent in series:
        document = intents.apply(intent, document)
    return document


def owner(node, region, failure_domain, slices):
    return OwnerRow(node, "archiv", region, failure_domain, "", "", tuple(slices))


@given("a configuration with two routes, two tenants and a drained failure domain")
def make_configuration(context):
    context.document = build(*SETUP)
    context.owners = (
        owner("n1", "ost", "ost-wien", range(8)),
        owner("n2", "ost", "ost-graz", range(8, 16)),
        owner("n3", "west", "west-innsbruck", range(16)),
        owner("n4", "west", "west-salzburg", ()),
    )


def plan_body(context, body):
    context.plan = context.error = None
    try:
        intent = intents.decode_intent(body)
        versions = {"n1": 11, "n2": 12}
        context.plan = planner.make_plan(
            intent, context.document, context.owners, "p1", lease_versions=versions
        )
    except InvalidArgument as error:
        context.error = error


@when("the intent {intent} is planned")
def plan_intent(context, intent):
    plan_body(context, intent.encode())


@when("the bytes of a drawing are planned")
def plan_drawing(context):
    plan_body(context, b"\x89PNG" + bytes(range(256)) * 4)


@then('planning fails and names "{field}" with the value {value}')
def check_refused(context, field, value):
    assert context.error is not None, context.plan
    found = msgspec.to_builtins(context.error.value)
    assert (context.error.name, json.loads(json.dumps(found))) == (field, json.loads(value)), context.error
    assert context.error.expected and field in str(context.error)


@then('planning fails and names "{field}" with a value of at most {limit:d} characters')
def check_excerpt(context, field, limit):
    assert context.error.name == field and len(context.error.value) <= limit, context.error


@then('the plan has the steps "{steps}", moves {slices:d} slices to "{receivers}" and warns of "{warning}"')
def check_plan(context, steps, slices, receivers, warning):
    plan = context.plan
    assert plan is not None, context.error
    assert [step["kind"] for step in plan.steps] == steps.split()
    assert plan.base_revision == len(SETUP) == context.document.revision
    assert plan.cost.slices == slices == sum(move.slices for move in plan.moves), plan
    assert sorted({node for move in plan.moves for node in move.receivers}) == receivers.split(), plan.moves
    assert bool(plan.warnings) == bool(warning) and warning in " ".join(plan.warnings), plan.warnings
    assert msgspec.convert(msgspec.to_builtins(plan), planner.Plan) == plan


@then('the plan has the steps "{steps}", moves {slices:d} slices to "" and warns of "{warning}"')
def check_plan_without_receivers(context, steps, slices, warning):
    check_plan(context, steps, slices, "", warning)


@then('the plan has the steps "{steps}", moves {slices:d} slices to "{receivers}" and warns of ""')
def check_plan_without_warning(context, steps, slices, receivers):
    check_plan(context, steps, slices, receivers, "")


@then('the plan has the steps "{steps}", moves {slices:d} slices to "" and warns of ""')
def check_plan_without_both(context, steps, slices):
    check_plan(context, steps, slices, "", "")


@then("the planned share agrees with {count:d} hashed keys for every change among three regions")
def check_share(context, count):
    # Four standard deviations of a share of 0.5 among 4000 keys are 0.032.
    tolerance = 0.032
    keys = [index.to_bytes(4, "big") for index in range(count)]
    sets = [c for size in (1, 2, 3) for c in itertools.combinations(("ost", "west", "mitte"), size)]
    for old, new in itertools.product(sets, sets):
        measured = sum(region_of(key, old) != region_of(key, new) for key in keys) / count
        assert abs(planner.moved_key_share(old, new) - measured) <= tolerance, (old, new, measured)


@when("the document {text} is decoded")
def decode_document(context, text):
    context.error = None
    try:
        documents.decode_document(json.loads(text))
    except InvalidArgument as error:
        context.error = error


@when("a row of revision {row:d} with a document of revision {revision:d} is decoded")
def decode_mixed_row(context, row, revision):
    context.error = None
    try:
        documents.decode_config_row({"revision": row, "document": {"revision": revision}})
    except InvalidArgument as error:
        context.error = error


@then('decoding the document fails and names "{field}"')
def check_document_refused(context, field):
    assert context.error is not None and context.error.name == field, context.error


names = st.sampled_from(("a", "b", "c"))
some_regions = st.lists(st.sampled_from(("ost", "west")), max_size=2, unique=True).map(tuple)
any_step = st.one_of(
    st.builds(intents.CreateRoute, names, some_regions, st.booleans()),
    st.builds(intents.CreateTenant, names, some_regions),
    st.builds(intents.SetHomeRegions, names, some_regions),
    st.builds(intents.SuspendTenant, names),
    st.builds(intents.ActivateHomeRegions, names, some_regions, st.integers(0, 12)),
    st.builds(intents.DrainFailureDomain, names),
    st.builds(intents.ReturnFailureDomain, names),
    st.builds(intents.RetireTarget, names),
    st.builds(lambda node, version: intents.ReleaseNodes((node,), {node: version}), names, st.integers(1, 9)),
)
SERIES_START = (
    intents.CreateRoute("start", ("ost", "west"), True),
    intents.CreateTenant("a", home_regions=("ost",)),
)


def history_of(steps):
    """Return the documents by revision and the step that led to each; steps that do not fit are left out."""
    history, changes = [documents.empty_document()], [None]
    for step in (*SERIES_START, *steps):
        try:
            history.append(intents.apply(step, history[-1]))
            changes.append(step)
        except InvalidArgument:
            continue
    return history, changes


@then("every generated series of intents gives documents that decode to themselves")
def check_round_trip(context):
    @repeatable
    @generated(st.lists(any_step, max_size=25))
    def check(steps):
        history, changes = history_of(steps)
        for revision, document in enumerate(history):
            assert document.revision == revision
            stored = json.loads(json.dumps(documents.encode_config_row(document, "op")))
            assert documents.decode_config_row(stored) == document
        for step in changes[1:]:
            assert intents.decode_step(json.loads(json.dumps(intents.encode_step(step)))) == step

    check()


@then(
    "under every generated order of changes and documents the revision rises and the content is that of its "
    "revision"
)
def check_order(context):
    @repeatable
    @generated(st.lists(any_step, min_size=3, max_size=12), st.data())
    def check(steps, data):
        history, changes = history_of(steps)
        state = revisions.RevisionState(history[0])
        deliveries = st.lists(st.tuples(st.integers(1, len(history) - 1), st.booleans()), max_size=40)
        for revision, whole in data.draw(deliveries):
            before = state.revision
            # Base 0 marks a whole document, so that revision 1 always travels as one.
            whole = whole or revision == 1
            if whole:
                result = state.offer_change(revision, 0, documents.encode_document(history[revision]))
            else:
                result = state.offer_change(revision, revision - 1, intents.encode_step(changes[revision]))
            applied = isinstance(result, revisions.Applied)
            expected = revision > before and (whole or revision - 1 == before)
            assert applied == expected and state.revision == (revision if applied else before)
            assert state.document == history[state.revision]
            assert isinstance(result, revisions.Stale) == (revision <= before)

    check()


@when("a change of an unknown kind is offered on the revision in force")
def offer_unknown(context):
    context.state = revisions.RevisionState(build(*SETUP))
    context.result = context.state.offer_change(6, 5, {"kind": "create_universe"})


@then("the node reports that it is behind and keeps its revision")
def check_behind(context):
    assert context.result == revisions.Behind(5, 6) and context.state.revision == 5, context.result


@given('revision {revision:d} committed with the lease holders "{nodes}"')
def commit_revision(context, revision, nodes):
    context.acceptance = revisions.Acceptance(revision, nodes.split())


@when('"n1" acknowledges revision 7, "n2" acknowledges revision 6 and "n3" is gone')
def acknowledge_some(context):
    context.acceptance.on_ack("n1", 7)
    context.acceptance.on_ack("n2", 6)
    context.acceptance.on_lease_deleted("n3")


@then('the revision is committed and misses "{node}"')
def check_missing(context, node):
    assert (context.acceptance.state, context.acceptance.missing) == ("committed", {node})


@when('"{node}" acknowledges revision {revision:d}')
def acknowledge(context, node, revision):
    context.acceptance.on_ack(node, revision)


@then("the revision is accepted")
def check_accepted(context):
    assert context.acceptance.state == "accepted"


@given('a release of node "{node}" at lease version {version:d}')
def release_node(context, node, version):
    context.document = build(intents.ReleaseNodes((node,), {node: version}))


@then('node "{node}" may be taken over at lease version {old:d} but not at {new:d}')
def check_release(context, node, old, new):
    assert context.document.allows_takeover(node, old) and not context.document.allows_takeover(node, new)
