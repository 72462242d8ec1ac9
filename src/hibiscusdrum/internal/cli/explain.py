"""Traces one request through the system from the logs of several nodes."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any

import msgspec

from hibiscusdrum.internal.decoding import DECODE_ERRORS

EXIT_FOUND = 0
EXIT_NOT_FOUND = 1
EXIT_UNREADABLE = 2
# The event that a node logs once, when a caller's request has ended.
FINAL_EVENT = "request_ended"


class LogLine(msgspec.Struct, frozen=True):
    """The fields of a log line that are read."""

    time: str
    name: str
    node: str
    fields: dict[str, Any] = {}


decoder = msgspec.json.Decoder(LogLine)


def explain(request_id: str, *files: str) -> int:
    """Print what the nodes decided about a request, in the order of their clocks, and what ended it.

    Parameters
    ----------
    request_id
        The caller's attempt id.
    files
        Logs of the nodes; standard input when none is given.
    """
    lines: list[LogLine] = []
    try:
        for name in files or ("-",):
            with open(name, "rb") if name != "-" else sys.stdin.buffer as stream:
                lines.extend(find_request_lines(request_id, stream))
    except OSError as error:
        print(f"hibiscusdrum: {error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_UNREADABLE
    if not lines:
        print(f"hibiscusdrum: no line names request {request_id!r}", file=sys.stderr)
        return EXIT_NOT_FOUND
    lines.sort(key=lambda line: line.time)
    for line in lines:
        print(format_line(line))
    print(format_conclusion(lines))
    return EXIT_FOUND


def find_request_lines(request_id: str, stream: Iterable[bytes]) -> list[LogLine]:
    """Return the log lines about a request; lines in another format are skipped."""
    encoded_id = request_id.encode()
    matching = []
    for raw_line in stream:
        if encoded_id not in raw_line:
            continue
        try:
            # A log collector may prefix each line with columns of its own.
            line = decoder.decode(raw_line[raw_line.index(b"{") :])
        except DECODE_ERRORS:
            continue
        if line.fields.get("id") == request_id:
            matching.append(line)
    return matching


def format_line(line: LogLine) -> str:
    """Return a log line as readable text."""
    values = " ".join(f"{name}={value}" for name, value in line.fields.items() if name != "id")
    return f"{line.time}  {line.node}  {line.name}  {values}"


def format_conclusion(lines: list[LogLine]) -> str:
    """Return a sentence that states the final status of the request and its reason."""
    ended = [line for line in lines if line.name == FINAL_EVENT]
    if not ended:
        return "no final answer is logged: the caller's node ended first, or its line was left out under load"
    last = ended[-1].fields
    account = f", client account {last['account']!r}" if last.get("account") else ""
    outcome = f"ended with {last.get('status')} because of {last.get('reason')!r}"
    return f"{outcome}, asked {last.get('asked')}{account}"
