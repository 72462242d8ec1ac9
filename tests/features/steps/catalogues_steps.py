"""Steps for catalogues: guards against codes that clash, pages that age, and contents in logs."""

import contextlib
import importlib
import io
import json
import re
import string
import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

from behave import then, when
from loguru import logger

from hibiscusdrum import errors
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.cli import operator
from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.config import intents, operators

ROOT = Path(__file__).resolve().parents[3]
DOCS = ROOT / "docs"
CONTENT_FIELDS = {"key", "keys_of_requests", "body", "path", "content", "contents", "shared_key", "value"}


def all_subclasses(base):
    return {found for cls in base.__subclasses__() for found in (cls, *all_subclasses(cls))}


@then("every error type has a unique code, an HTTP status and a template that names its fields")
def check_errors(context):
    types = all_subclasses(errors.HibiscusdrumError)
    assert set(errors.BY_CODE.values()) == types, "an error type is missing from BY_CODE or repeats a code"
    for cls in types:
        named = {name for _text, name, _spec, _conversion in string.Formatter().parse(cls.template) if name}
        assert cls.code == cls.code.lower() != errors.HibiscusdrumError.code, cls
        assert 400 <= cls.http_status <= 599 and cls.__doc__, cls
        values = {name: f"<{name}>" for name in cls.fields}
        assert named == set(cls.fields) and cls.fields, cls
        assert errors.from_wire(cls.code, values) == cls(**values), cls


@then("every event has a unique number and name, a level, a cause and an operator action")
def check_events(context):
    events = log_events.EVENTS
    assert len({event.number for event in events}) == len({e.event_name() for e in events}) == len(events)
    for event in events:
        assert 100 <= event.number <= 999 and event.level in ("DEBUG", "INFO", "WARNING", "ERROR"), event
        assert event.cause and event.operator_action and event.__doc__ != log_events.LogEvent.__doc__, event
        assert event.fields == event.__struct_fields__, event


@then("no event has a field for keys, bodies or secrets")
def check_event_fields(context):
    assert not [event for event in log_events.EVENTS if CONTENT_FIELDS & set(event.fields)]


def capture(context, node, level, action):
    output = io.StringIO()
    with contextlib.redirect_stderr(output):
        log_events.configure(node, level)
        action()
    context.log = output.getvalue()


@when('a takeover event is emitted on node "{node}" at level "{level}"')
def emit_takeover(context, node, level):
    context.event = log_events.TakeoverCommitted("n2", ("n3", "n4"), 34, 1700.5)
    capture(context, node, level, lambda: log_events.emit(context.event))


@then('the log holds one line with number {number:d}, node "{node}" and the event\'s fields')
def check_line(context, number, node):
    (line,) = context.log.splitlines()
    entry = json.loads(line)
    fields = {"taken_node": "n2", "receivers": ["n3", "n4"], "slices": 34, "duration_ms": 1700.5}
    assert set(entry) == {"time", "number", "name", "level", "node", "fields"}, entry
    assert (entry["number"], entry["node"], entry["fields"]) == (number, node, fields), entry
    assert (entry["name"], entry["level"]) == ("takeover_committed", "WARNING"), entry


@then("the log is empty")
def check_no_line(context):
    assert context.log == "", context.log


@when('a failure whose text is "{text}" is logged on node "{node}"')
def log_failure(context, text, node):
    def fail():
        try:
            raise ValueError(text)
        except ValueError:
            logger.exception("timer callback failed")

    capture(context, node, "INFO", fail)


@then('the log holds one internal_error line without "{text}"')
def check_failure(context, text):
    (line,) = context.log.splitlines()
    entry = json.loads(line)
    assert entry["name"] == "internal_error" and entry["fields"]["error"] == "ValueError", entry
    assert text not in line and "catalogues_steps.py" in line, line


@when("500 invalid frames arrive within half a second and another one two seconds later")
def emit_many(context):
    clock, output = ManualClock(), io.StringIO()
    with contextlib.redirect_stderr(output):
        log_events.configure("n7", "INFO", clock)
        for delay in (*[0.001] * 500, 2.0):
            clock.advance(delay)
            log_events.emit(log_events.InvalidFrame("caller", "bad tag"))
    context.log = output.getvalue()


@then("the log holds {lines:d} lines and the last one counts {count:d} events left out")
def check_left_out(context, lines, count):
    entries = [json.loads(line) for line in context.log.splitlines()]
    assert len(entries) == lines and entries[-1]["left_out"] == count, context.log


@when("two faults at different places are logged {count:d} times each at once")
def log_two_faults(context, count):
    def fail():
        for _ in range(count):
            logger.error("first")
            logger.error("second")

    capture(context, "n7", "INFO", fail)


@then("the log holds {lines:d} lines")
def check_lines(context, lines):
    assert len(context.log.splitlines()) == lines, context.log


@then('the page "{page}" is what the module "{module}" describes')
def check_page(context, page, module):
    described = importlib.import_module(f"hibiscusdrum.internal.{module}").describe()
    assert (DOCS / f"{page}.md").read_text() == described, f"generate docs/{page}.md again"


@then("the operators' page names what the client and the intents define")
def check_operators_page(context):
    page = (DOCS / "operators.md").read_text()
    codes = [str(value) for name, value in vars(operator).items() if name.startswith("EXIT_")]
    kinds = [intents.intent_kind(intent) for intent in intents.OPERATOR_INTENTS]
    states = [
        operators.PLANNED,
        operators.VOID,
        operators.SUSPENDED,
        operators.COMMITTED,
        *operators.FINAL_STATES,
    ]
    assert [name.replace("-", "_") for name in operator.COMMANDS["plan"]] == kinds
    missing = [name for name in operator.COMMANDS if f"| `{name}" not in page]
    missing += [name for name in (*kinds, *states) if f"| `{name}` |" not in page]
    missing += [code for code in codes if f"| {code} |" not in page]
    assert not missing, missing


@then("every place in the glossary exists in the code")
def check_glossary(context):
    rows = [line for line in (DOCS / "glossary.md").read_text().splitlines() if ".py`" in line]
    assert len(rows) > 20
    for row in rows:
        *names, path = re.findall(r"`([^`]+)`", row.split("|")[3])
        text = (DOCS.parent / "src/hibiscusdrum" / path).read_text()
        for name in names:
            assert all(re.search(rf"\b{part}\b", text) for part in name.split(".")), row


# Imports the program while the modules that are named as arguments cannot be found.
IMPORT_PROGRAM = """
import sys
sys.modules.update(dict.fromkeys(sys.argv[1:]))
import hibiscusdrum.platform.main
"""


@then('the program for the platform starts with no other libraries than those in "{path}"')
def starts_with_installed(_context, path):
    lines = (ROOT / path).read_text().splitlines()
    installed = {line.partition("==")[0].lower().replace("-", "_") for line in lines} | {"hibiscusdrum"}
    hidden = [
        module
        for module, owners in packages_distributions().items()
        if not {owner.lower().replace("-", "_") for owner in owners} & installed and module.isidentifier()
    ]
    assert "xxhash" in hidden, hidden
    result = subprocess.run([sys.executable, "-c", IMPORT_PROGRAM, *hidden], capture_output=True, text=True)
    assert result.returncode == 0, result.stderr[-500:]
