"""Steps on the soak's checks for requests without an answer, with made-up records."""

from behave import then
from soak.callers import PipelinedAnswers, RequestRecord
from soak.loss_checks import lost_violations, replaced_violations, silent_violations
from soak.stop_checks import STORE


def asked(**changes):
    values = {
        "attempt": "a", "vm": "vm0", "path": "/r/x", "non_idempotent": False, "body_bytes": 0,
        "started_at": 10.0, "sent_at": 10.0, "ended_at": 10.4,
    }  # fmt: skip
    return RequestRecord(**(values | changes))


def record(event, at):
    return {"event": event, "id": "a", "at": at, "target": "i-vm1", "born": 1}


RUN = [record("run", 10.05)]
# Request, records of targets, ids that the router of its VM has read, planned stops, faults.
LOST = {
    "after a target ran it": (asked(), RUN, (), {}, {}),
    "behind another after it ran": (asked(pipelined=True), RUN, (), {}, {}),
    "after its router read it": (asked(), [], ("a",), {}, {}),
    "with a fault of the store, no key": (asked(), RUN, (), {}, {STORE: [(9.0, 12.0)]}),
    "with a fault of another VM": (asked(), RUN, (), {}, {"vm2": [(9.0, 12.0)]}),
    "4.1 s after a fault of its VM": (asked(), RUN, (), {}, {"vm0": [(3.0, 5.9)]}),
    "unread": (asked(), [], ("b",), {}, {}),
    "behind another": (asked(pipelined=True), [], ("a",), {}, {}),
    "before it was sent": (asked(sent_at=0.0), RUN, ("a",), {}, {}),
    "at its deadline": (asked(ended_at=12.0), RUN, ("a",), {}, {}),
    "at the timeout of its route": (asked(path="/k/x", ended_at=11.5), RUN, ("a",), {}, {}),
    "as its path asked for": (asked(path="/r/short"), RUN, ("a",), {}, {}),
    "in a planned stop": (asked(), RUN, ("a",), {"vm0": [(9.0, 12.0)]}, {}),
    "3.9 s after a fault of its VM": (asked(), RUN, ("a",), {}, {"vm0": [(3.0, 6.1)]}),
    "3.9 s after a fault of its target": (asked(), RUN, ("a",), {}, {"vm1": [(3.0, 6.1)]}),
    "with a fault of the store, a key": (asked(path="/k/x"), RUN, ("a",), {}, {STORE: [(3.0, 6.1)]}),
}
SUCCESS = [*RUN, record("success", 10.9)]
STOP = {"vm0": [(9.5, 13.0)]}
# Ends within the last sixth of the grace period of a stop that begins at 6.0 s or 7.5 s.
LATE_STOP, LATE_SUCCESS = {"vm0": [(6.0, 12.0)]}, [record("run", 10.05), record("success", 11.2)]
EARLY_STOP, EARLY_SUCCESS = {"vm0": [(7.5, 13.5)]}, [record("run", 10.05), record("success", 12.6)]
# Request, records of targets, planned stops, faults.
REPLACED = {
    "by a stopping router": (asked(status=502), SUCCESS, STOP, {"vm2": [(9.0, 12.0)]}),
    "with status 504": (asked(status=504), SUCCESS, STOP, {}),
    "in the last sixth, sent late": (asked(status=502), LATE_SUCCESS, LATE_STOP, {}),
    "without a planned stop": (asked(status=502), SUCCESS, {"vm1": [(9.5, 13.0)], "vm0": [(1.0, 9.0)]}, {}),
    "by a router refusing it": (asked(status=503), SUCCESS, STOP, {}),
    "signed by a target": (asked(status=502, signature="sig-vm1"), SUCCESS, STOP, {}),
    "after the run": (asked(status=502, ended_at=11.0), SUCCESS, STOP, {}),
    "before the run": (asked(status=502, ended_at=10.01), SUCCESS, STOP, {}),
    "without a success": (asked(status=502), RUN, STOP, {}),
    "at its deadline": (asked(status=504, ended_at=12.0), [*RUN, record("success", 12.2)], STOP, {}),
    "in the last sixth, sent early": (asked(status=502), EARLY_SUCCESS, EARLY_STOP, {}),
    "3.9 s after a fault of its VM": (asked(status=502), SUCCESS, STOP, {"vm0": [(3.0, 6.1)]}),
    "3.9 s after a fault of its target": (asked(status=502), SUCCESS, STOP, {"vm1": [(3.0, 6.1)]}),
}
SILENT, LATE = asked(ended_at=13.0), asked(ended_at=12.1, status=504)
# Requests, disturbances.
SILENCE = {
    "to 8 of 8 requests": ([SILENT] * 8 + [asked(status=200)] * 9, {"vm1": [(9.0, 12.0)]}),
    "to 8 of 15 late ones": ([SILENT] * 8 + [LATE] * 7, {}),
    "to 8 of 16 late ones": ([SILENT] * 8 + [LATE] * 8, {}),
    "to 7 requests": ([SILENT] * 7, {}),
    "to 8 requests around a fault of its VM": ([SILENT] * 8, {"vm0": [(3.0, 6.1)]}),
    "to 8 callers that leave at 2.4 s": ([asked(ended_at=12.4)] * 8, {}),
}


def assert_reported(lines, report):
    assert (not lines) if report == "nothing" else (len(lines) == 1 and report in lines[0]), lines


@then('the checks of losses report "{report}" on a request without an answer {how}')
def lost_reported(_context, report, how):
    entry, records, read, stops, faults = LOST[how]
    assert_reported(
        lost_violations([entry], records, stops, faults, {"vm0": set(read), "vm1": {"a"}}), report
    )


@then('the checks of losses report "{report}" on a failure in place of a success {how}')
def replaced_reported(_context, report, how):
    entry, records, stops, faults = REPLACED[how]
    assert_reported(replaced_violations([entry], records, stops, faults), report)


@then('the checks of losses report "{report}" on a router that is silent {how}')
def silence_reported(_context, report, how):
    assert_reported(silent_violations(*SILENCE[how]), report)


@then("an interim response before an answer is not entered as the answer")
def interim_skipped(_context):
    entry = asked()
    answers = PipelinedAnswers([entry])
    answers.parser.feed_data(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert answers.interim_count == 1 and not entry.status and answers.waiting
    answers.parser.feed_data(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")
    assert entry.status == 200 and entry.body == b"ab" and not answers.waiting
