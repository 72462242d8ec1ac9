"""Steps on the soak's handling of interim responses."""

from behave import then
from soak.callers import PipelinedAnswers, RequestRecord


def asked(**changes):
    values = {
        "attempt": "a", "vm": "vm0", "path": "/r/x", "non_idempotent": False, "body_bytes": 0,
        "started_at": 10.0, "sent_at": 10.0, "ended_at": 10.4,
    }  # fmt: skip
    return RequestRecord(**(values | changes))


@then("an interim response before an answer is not entered as the answer")
def interim_skipped(_context):
    entry = asked()
    answers = PipelinedAnswers([entry])
    answers.parser.feed_data(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert answers.interim_count == 1 and not entry.status and answers.waiting
    answers.parser.feed_data(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")
    assert entry.status == 200 and entry.body == b"ab" and not answers.waiting
