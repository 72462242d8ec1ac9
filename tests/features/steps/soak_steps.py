"""Steps on the soak: fixed seeds, and planted faults that its checks must notice."""

from behave import then
from soak.callers import RequestRecord
from soak.checks import find_violations
from soak.poison import poison_violations
from soak.run import SoakRun
from soak.stop_checks import STORE, cut_requests, cut_violations


@then("the soak keeps all promises on seed {seed:d}")
def seed_passes(_context, seed):
    lines = SoakRun(seed).run()
    assert not lines, lines


def asked(**changes):
    values = {
        "attempt": "a", "vm": "vm0", "path": "/g/x", "non_idempotent": True, "body_bytes": 2,
        "started_at": 10.0, "ended_at": 10.1, "status": 200, "signature": "sig-vm1", "body": b"vm1 /g/x 2",
    }  # fmt: skip
    return RequestRecord(**(values | changes))


def run(at=10.05, attempt="a"):
    return {"event": "run", "id": attempt, "at": at, "target": "i-vm1", "born": 1, "body": 2}


def states(event, **values):
    return {"event": event, "at": 1.0, "target": "i-vm1", "born": 1, **values}


def hold(target, fence, begin, end):
    base = {"target": target, "born": 1}
    return [
        {**base, "event": "hold", "at": begin, "rows": [[0, 99, fence]], "until": end},
        {**base, "event": "until", "at": begin, "until": end},
    ]


LEAVER_CALLS = [asked(attempt="b", started_at=2.0, ended_at=2.1), asked()]
PLANTED = {
    "ran 2 times": (asked(), [run(), run(10.06)]),
    "got 18 requests": (
        asked(),
        [states("limit", rate=2.0), run(), *(run(6.0 + n / 10, f"b{n}") for n in range(18))],
    ),
    "reached a leaving target": (LEAVER_CALLS, [states("leaving"), run(2.05, "b"), run()]),
    "said not to have run": (asked(status=503, signature=""), [run()]),
    "wrong answer": (asked(body=b"vm1 /g/other 2"), [run()]),
    "answered without a run": (asked(), []),
    "answered after": (asked(ended_at=13.0), [run()]),
    "two holders": (asked(), [run(), *hold("i-vm1", 1, 1.0, 6.0), *hold("i-vm2", 2, 5.9, 9.0)]),
    "token of": (asked(), [run(), *hold("i-vm1", 2, 1.0, 6.0), *hold("i-vm2", 2, 6.1, 9.0)]),
}


@then('the checks of the soak report "{fault}" and nothing else')
def planted(_context, fault):
    entries, records = PLANTED[fault]
    lines = find_violations(entries if isinstance(entries, list) else [entries], records, {}, {})
    assert len(lines) == 1 and fault in lines[0], lines


def cut(**changes):
    return asked(**({"status": 0, "sent_at": 10.0, "ended_at": 10.3, "path": "/r/x"} | changes))


CUT = {
    "after a target ran it": (cut(), [run()], set()),
    "behind another after it ran": (cut(pipelined=True), [run()], set()),
    "0.3 s after its router read it": (cut(), [], {"a"}),
    "0.1 s after its router read it": (cut(ended_at=10.1), [], {"a"}),
    "behind another": (cut(pipelined=True), [], {"a"}),
    "unread": (cut(), [run(attempt="b")], {"b"}),
}
NO_CUTS = {
    "before the planned stop": (cut(started_at=8.0, sent_at=8.0, ended_at=8.9), {}),
    "after the planned stop": (cut(started_at=11.9, sent_at=11.9, ended_at=12.1), {}),
    "before it was sent": (cut(sent_at=0.0), {}),
    "at its deadline": (cut(ended_at=12.0), {}),
    "as its path asked for": (cut(path="/r/lost"), {}),
    "3 s after the end of a fault of its VM": (cut(), {"vm0": [(5.0, 7.0)]}),
    "3 s after the end of a fault of the store, with a key": (cut(path="/k/x"), {STORE: [(5.0, 7.0)]}),
}
STOPS = {"vm0": [(9.0, 12.0)]}


@then('the checks of planned stops report "{report}" on a request that was cut {how}')
def cut_reported(_context, report, how):
    entry, records, read = CUT[how]
    faults = {"vm1": [(9.0, 12.0)], STORE: [(9.0, 12.0)], "vm0": [(0.0, 5.9), (10.4, 11.0)]}
    assert cut_requests([entry], STOPS, faults) == [entry]
    lines = cut_violations([entry], records, {"vm0": read, "vm1": {"a"}})
    assert (not lines) if report == "nothing" else (len(lines) == 1 and report in lines[0]), lines


@then("a request that ended without an answer {when} is not cut")
def not_cut(_context, when):
    entry, faults = NO_CUTS[when]
    assert not cut_requests([entry], STOPS, faults)


@then("{late:d} late runs of a poison request are reported {reported:d} times if {fault}")
def late_poison_runs(_context, late, reported, fault):
    times = [1.0, 2.0, 3.0, 6.9, *(20.0 + 10.0 * number for number in range(late))]
    senders = {f"p{number}": "vm0" for number in range(len(times))}
    records = [run(at, f"p{number}") for number, at in enumerate(times)]
    before = {"nothing is disturbed": None, "the sender is disturbed 3 s before one": 3.0}.get(fault, 5.0)
    faults = {} if before is None else {"vm0": [(20.0 - before - 0.1, 20.0 - before)]}
    assert len(poison_violations(senders, records, faults)) == reported
