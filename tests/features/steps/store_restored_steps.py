"""Steps on the restore of the stand-in of the platform's store, over real sockets.

They guard against a stand-in that keeps or loses other things than the published store.
"""

import base64

import msgspec
from behave import given, step, then, when
from returns.result import Success
from tests.loopback import Loopback, Results, free_address
from tools.standins.rows_store import Faults, Restoration, RowsStore

from hibiscusdrum.internal.transport.http_client import HttpClient

TABLE = "t"
CALL_TIMEOUT_SECONDS = 0.5


@given("a stand-in of the platform's store")
def stand_in(context):
    context.store = RowsStore(free_address())
    context.client = HttpClient()
    context.loopback = Loopback(context.client, context.store)
    context.add_cleanup(context.loopback.stop)


def send(context, method, path, value=None, timeout=CALL_TIMEOUT_SECONDS):
    """Send a call and return the list that gets its result."""
    results = Results()
    body = b"" if value is None else value if isinstance(value, bytes) else msgspec.json.encode(value)
    context.client.request(context.store.address, method, path, {}, body, timeout, results.append)
    return results


def call(context, method, path, value=None):
    """Return the status, headers and decoded body of the response to a call, or None without a response."""
    result = send(context, method, path, value).one(context.loopback)
    if not isinstance(result, Success):
        return None
    response = result.unwrap()
    return response.status, response.headers, msgspec.json.decode(response.body)


def transact(context, **entries):
    """Send a transaction; its entries are pairs of a key and the other value of the entry, if any."""
    fields = {"expect": "ver", "write": "value", "delete": "key"}
    body = {
        kind: [{"table": TABLE, "part": "", "key": key, fields[kind]: value} for key, value in pairs]
        for kind, pairs in entries.items()
    }
    return call(context, "POST", "/rows-tx", body)


def feed(context, after, table=TABLE):
    return call(context, "GET", f"/rows-feed?table={table}&after={after}&blockMs=0")


def operator_rows(context):
    """Return version and value of the operator's rows; the value of a deleted row is None."""
    _, _, body = feed(context, 0, "op")
    return {
        record["key"]: (
            record["ver"],
            None if record.get("deleted") else base64.b64decode(record["value"]).decode(),
        )
        for record in body["records"]
    }


@step("{seconds:g} s later {text}")
def later(context, seconds, text):
    context.loopback.run_for(seconds)
    context.execute_steps(f"{'Then' if text.startswith(chr(34)) and ' is ' in text else 'When'} {text}")


@step('the row "a" is written, "b" is written, and "b" is deleted')
def written_and_deleted(context):
    transact(context, write=[("a", "old")])
    transact(context, write=[("b", "old")])
    transact(context, delete=[("b", "b")])


@step('"a" is written, "b" is written, and "c" is written')
def written_again(context):
    for key in "abc":
        transact(context, write=[(key, "new")])


@step('"a" is written')
def a_written(context):
    transact(context, write=[("a", "new")])


def restore(context, **fields):
    restoration = Restoration(**fields)
    status, _, _ = call(context, "POST", "/restore", msgspec.to_builtins(restoration))
    assert status == 200, status
    context.loopback.settle()


@step("the store is restored from a copy that is {age:g} s old")
def restored(context, age):
    restore(context, age_s=age)


@when("the store is restored without history from a copy that is {age:g} s old")
def restored_without_history(context, age):
    restore(context, age_s=age, forget_history=True)


@when("the store is restored from a copy that is {age:g} s old after {away:g} s in which it is {how}")
def restored_after_outage(context, age, away, how):
    restore(context, age_s=age, away_s=away, how=how)


@when(
    "the store is restored from a copy that is {age:g} s old, and the operator writes again {delay:g} s later"
)
def restored_and_written_again(context, age, delay):
    restore(context, age_s=age, rewrite_after_s=delay)


@when('the operator writes "{key}" as "{value}", and "{other}" as "{text}"')
def operator_writes(context, key, value, other, text):
    call(context, "PUT", f"/operator/{key}", value.encode())
    call(context, "PUT", f"/operator/{other}", text.encode())


@step('the operator writes "{key}" as "{value}", and deletes "{other}"')
def operator_deletes(context, key, value, other):
    call(context, "PUT", f"/operator/{key}", value.encode())
    call(context, "DELETE", f"/operator/{other}")


@then('the store has the row "{key}" of version {version:d} and its newest version is {newest:d}')
def has_row(context, key, version, newest):
    _, _, body = call(context, "GET", f"/rows-get?table={TABLE}&part=")
    assert [(row["key"], row["ver"], row["value"]) for row in body["records"]] == [(key, version, "old")], (
        body
    )
    assert body["ver"] == newest, body


@then(
    "a feed after version {after:d} has the versions {first:d}, {second:d} and {third:d}, "
    "the last one a deletion"
)
def feed_has(context, after, first, second, third):
    _, _, body = feed(context, after)
    assert [record["ver"] for record in body["records"]] == [first, second, third], body
    assert [record["key"] for record in body["records"]] == ["a", "b", "b"], body
    assert body["records"][-1]["deleted"] and body["ver"] == third, body


@then("a feed after version {after:d} has no changes")
def feed_has_none(context, after):
    status, _, body = feed(context, after)
    assert status == 200 and not body["records"], body


@then("the next transaction gets version {version:d}")
def next_version(context, version):
    status, _, body = transact(context, expect=[("a", 1), ("c", 0)], write=[("c", "new")])
    assert status == 200 and body["ver"] == version, body


@then("a read gets {outcome} within {limit:g} s, and 200 after {seconds:g} s")
def read_gets(context, outcome, limit, seconds):
    results = send(context, "GET", f"/rows-get?table={TABLE}", timeout=limit)
    result = results.one(context.loopback)
    if outcome == "no answer":
        assert not isinstance(result, Success)
    else:
        assert result.unwrap().status == int(outcome)
    context.loopback.run_for(seconds)
    assert call(context, "GET", f"/rows-get?table={TABLE}")[0] == 200


@given("a feed that waits for changes")
def waiting_feed(context):
    context.feed = send(context, "GET", f"/rows-feed?table={TABLE}&after=0&blockMs=5000", timeout=5.0)
    context.loopback.run_until(lambda: context.store.pending_feeds)


@then("the feed ends with no answer")
def feed_unanswered(context):
    context.loopback.run_for(0.2)
    assert not context.feed


@then("the feed ends with a cut connection")
def feed_cut(context):
    assert not isinstance(context.feed.one(context.loopback, 0.1), Success)


@then("the era in the answers 200, 404, 410, 412 and 503 is {era:d}")
def era_in_answers(context, era):
    answers = [
        feed(context, 0),
        call(context, "GET", "/unknown"),
        feed(context, 99),
        transact(context, expect=[("a", 99)], write=[("a", "new")]),
    ]
    context.store.faults = Faults(down=True)
    answers.append(feed(context, 0))
    context.store.faults = Faults()
    assert [status for status, _, _ in answers] == [200, 404, 410, 412, 503], answers
    assert {headers["store-era"] for _, headers, _ in answers} == {str(era)}, answers


@then("the store is in era {era:d}")
def in_era(context, era):
    _, headers, _ = feed(context, 0)
    assert headers["store-era"] == str(era), headers


@then("feeds after the versions {first:d}, {second:d} and {third:d} get {status:d}")
def feeds_get(context, first, second, third, status):
    statuses = [feed(context, after)[0] for after in (first, second, third)]
    assert statuses == [status] * 3, statuses


@then('the operator\'s row "{key}" is "{value}" with version {version:d}, and "{other}" is there')
def operator_row(context, key, value, version, other):
    rows = operator_rows(context)
    assert rows[key] == (version, value) and rows[other][1] is not None, rows


@step('"{key}" is "{value}" with version {version:d}, and "{other}" is deleted with version {deleted:d}')
def operator_row_deleted(context, key, value, version, other, deleted):
    rows = operator_rows(context)
    assert rows[key] == (version, value) and rows[other] == (deleted, None), rows


@step('"{key}" is "{value}" with version {version:d}, and "{other}" is there with version {written:d}')
def operator_row_written(context, key, value, version, other, written):
    rows = operator_rows(context)
    assert rows[key] == (version, value) and rows[other] == (written, "{}"), rows


@when('a transaction that expects "{key}" at version {version:d} and writes "{written}" is delayed')
def delayed_transaction(context, key, version, written):
    context.store.faults = Faults(late=1.0)
    assert transact(context, expect=[(key, version)], write=[(written, "late")]) is None
    context.store.faults = Faults()


@then('the row "{key}" gets version {version} within {seconds:g} s')
def gets_version(context, key, version, seconds):
    rows = context.store.rows
    if version == "none":
        context.loopback.run_for(seconds)
        assert (TABLE, key) not in rows, rows
    else:
        context.loopback.run_until(lambda: (TABLE, key) in rows, seconds)
        assert rows[TABLE, key] == (int(version), "late"), rows
