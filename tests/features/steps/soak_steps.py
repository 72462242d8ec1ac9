"""Steps on the soak: fixed seeds, and planted faults that its checks must notice."""

from behave import then
from soak.callers import RequestRecord
from soak.checks import find_violations
from soak.run import SoakRun


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
