"""Steps for the operators' client: guards against exit codes that scripts cannot rely on."""

import builtins
import contextlib
import io
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when

from hibiscusdrum.internal.cli import operator

KEY = "a-secret-of-enough-length"
DAEMON = "127.0.0.1:8001"


def call(context, arguments, request, environment=None, sleep=lambda seconds: None):
    if "--daemon" not in arguments and arguments != ["--version"]:
        arguments = [*arguments, "--daemon", DAEMON]
    output, context.exit_code = io.StringIO(), None
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            operator.main(arguments, environment or {}, request, sleep)
        except SystemExit as ending:
            context.exit_code = ending.code
    context.output = output.getvalue()


@when('hibiscusdrum is called with "{arguments}" and the daemon answers {status:d} {answer}')
def call_answered(context, arguments, status, answer):
    call(context, arguments.split(), lambda *_request: (status, answer.encode()))


@when('hibiscusdrum is called with "{arguments}" and the connection fails by {failure}')
def call_failing(context, arguments, failure):
    def request(*_request):
        raise getattr(builtins, failure)()

    call(context, arguments.split(), request)
    assert len(context.output.splitlines()) == 1, context.output


def api_request(context, daemon):
    """Return a request function that calls a daemon's operators' API in this process."""

    def request(method, _address, path, body, _headers):
        answers = []
        context.daemons[daemon].api.handle(method, path, body, lambda *answer: answers.append(answer))
        context.store_table.run_all()
        ((status, answer),) = answers
        return status, msgspec.json.encode(answer)

    return request


COMMANDS = (
    "create-route galeria ost west --divided --slices 32",
    "create-tenant chucao --home-regions ost west --class-weights foto=2 --slot-caps archiv=3",
    "set-home-regions chucao west",
    "drain-failure-domain ost-wien",
    "return-failure-domain ost-wien",
    "retire-target n2",
    "release-nodes n1",
)


@when('hibiscusdrum plans, lists, confirms and watches each kind of intent at "{daemon}"')
def call_all(context, daemon):
    context.codes, context.outputs = [], []
    request = api_request(context, daemon)
    context.daemons[daemon].api.lease_versions = lambda: {"n1": 5}

    def acknowledge(_seconds):
        context.daemons[daemon].acknowledge("n1", "n2")
        context.store_table.run_all()

    def step(line):
        call(context, line.split(), request, sleep=acknowledge)
        context.codes.append(context.exit_code)
        context.outputs.append(context.output)

    for command in COMMANDS:
        step(f"plan {command}")
        plan_id = context.output.split()[1].rstrip(":")
        for line in ("plans", f"confirm {plan_id}", f"watch {plan_id}", "history"):
            step(line)
            assert plan_id in context.output, (line, context.output)


@then("every command ended with exit code 0 and the table holds all changes")
def check_all(context):
    assert set(context.codes) == {0}, list(zip(context.codes, context.outputs, strict=True))
    document = context.store_table.document()
    assert document.routes["galeria"].slices == 32 and document.tenants["chucao"].home_regions == ("west",)
    assert (document.drained, document.retired) == ((), ("n2",)) and document.allows_takeover("n1", 5), (
        document
    )


@when('hibiscusdrum watches a plan at "{daemon}" that is never accepted')
def watch_in_vain(context, daemon):
    request = api_request(context, daemon)
    call(context, ["plan", "drain-failure-domain", "ost-wien"], request)
    plan_id = context.output.split()[1].rstrip(":")
    call(context, ["confirm", plan_id], request)
    call(context, ["watch", plan_id, "--timeout", "3"], request)


@when("hibiscusdrum is called with a shared key in its environment")
def call_with_key(context):
    def request(method, address, path, body, headers):
        context.headers = headers
        return 401, msgspec.json.encode({"code": "unauthorized", "message": "wrong key", "values": {}})

    call(context, ["plans"], request, {"HIBISCUSDRUM_SHARED_KEY": KEY})


@then("the request carried the header and the output does not hold the key")
def check_header(context):
    assert context.headers == {"x-hibiscusdrum-key": KEY}, context.headers
    assert KEY not in context.output, context.output


def log_line(time, node, name, **fields):
    return msgspec.json.encode({"time": str(time), "number": 1, "name": name, "node": node, "fields": fields})


@given("the logs of two nodes and a file that is no log")
def node_logs(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    logs = {
        "a": [
            log_line(1, "vm-a", "request_repeated", id="9c41d", reason="target_timeout"),
            b"  3.1 vm-a "
            + log_line(
                3, "vm-a", "request_ended", id="9c41d", status=502, reason="target_closed", asked=["b"]
            ),
        ],
        "b": [
            log_line(2, "vm-b", "request_declined", id="9c41d", reason="target_closed"),
            log_line(2, "vm-b", "request_declined", id="9c42e", reason="late"),
        ],
        "c": [b"9c41d \xff {", b"9c41d without an object"],
    }
    write_logs(context, folder, logs)


def write_logs(context, folder, logs):
    context.logs = []
    for name, lines in logs.items():
        path = Path(folder.name) / name
        path.write_bytes(b"\n".join(lines) + b"\n")
        context.logs.append(str(path))


@given("the logs of two nodes that answered client errors")
def client_error_logs(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)

    def error(node, reason, version, confirmed_age_s):
        status = 404 if reason == "no_route" else 400
        fields = {"status": status, "reason": reason, "version": version, "confirmed_age_s": confirmed_age_s}
        return log_line(1, node, "client_error_answered", **fields)

    logs = {
        "a": [error("vm-a", "no_route", 2, 9.5), b"  1.0 vm-a " + error("vm-a", "no_route", 2, 8.5)],
        "b": [
            error("vm-b", "no_route", 2, 0.5),
            error("vm-b", "no_route", 3, 3.0),
            error("vm-b", "incomplete", 3, 0.0),
            log_line(1, "vm-b", "request_ended", id="1", status=404),
        ],
        "c": [b'"client_error_answered" without an object'],
    }
    write_logs(context, folder, logs)


@when("the client tallies the client errors")
def tallies(context):
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.suppress(SystemExit):
        operator.main(["client-errors", *context.logs], {})
    context.lines = output.getvalue().splitlines()


@then("it prints these rows")
def prints_rows(context):
    assert context.lines == context.text.splitlines(), context.lines


@when('the client explains request "{request_id}"')
def explains(context, request_id):
    output, context.exit_code = io.StringIO(), None
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            operator.main(["explain", request_id, *context.logs], {})
        except SystemExit as ending:
            context.exit_code = ending.code
    context.lines = lines = output.getvalue().splitlines()
    order = "; ".join(" ".join(line.split()[:3]) for line in lines[:-1])
    context.output = f"{order}\n{lines[-1]}"


ROOT = Path(__file__).resolve().parents[3]


@given("the recorded logs of failed requests")
def recorded_logs(context):
    context.logs = [str(ROOT / "tests/logs/failed_requests.jsonl")]


@then('the page shows its output, and the cause is "{reason}"')
def page_shows(context, reason):
    page = (ROOT / "docs/OPERATIONS.md").read_text().splitlines()
    assert context.exit_code == 0 and f"because of {reason!r}" in context.lines[-1]
    assert all(f"    {line}" in page for line in context.lines), context.lines
