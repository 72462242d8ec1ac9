"""The platform's store behind a fake HTTP client on a manual clock, which a test restores from a copy."""

from __future__ import annotations

import base64
from urllib.parse import parse_qs, urlsplit

import msgspec
from returns.result import Failure, Success

from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.transport.http_connection import FailureKind, HttpFailure, HttpResponse

ANSWER_SECONDS = 0.004
FEED_CHECK_SECONDS = 0.02


class Call:
    """A call of the store that was sent and has not been answered yet."""

    def __init__(self, method, path, body, deadline, callback):
        url = urlsplit(path)
        self.method, self.path, self.body = method, url.path, body
        self.query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.deadline, self.callback = deadline, callback
        self.response = None


class RestorableStore(Service):
    """Rows with versions and eras; each call is performed and answered after ``ANSWER_SECONDS``.

    Attributes
    ----------
    calls : list of Call
        All calls that were sent.
    down : bool
        Whether calls are refused without being sent.
    hold : str
        ``before`` keeps calls from being performed, and ``after`` their answers from being delivered, until
        ``release`` is called.
    page_rows : int
        Rows in one page of a read.
    history_from : int
        A poll after an earlier version is answered with 410.
    era_header : str or None
        Header in place of the era, if not None.
    names_era : bool
        Whether answers have the header.
    """

    service_name = "http_client"

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.era = 1
        self.calls = []
        self.held = []
        self.feeds = []
        self.down = False
        self.hold = ""
        self.page_rows = 500
        self.history_from = 0
        self.era_header = None
        self.names_era = True

    def on_start(self):
        """Start to check the pending feeds."""
        self.app.scheduler.every(FEED_CHECK_SECONDS, self.answer_feeds)

    # What a test does to the store

    def put(self, table, key, value):
        """Write a row, or delete it with the value None; returns the version."""
        self.version += 1
        encoded = None if value is None else base64.b64encode(msgspec.json.encode(value)).decode()
        self.rows[table, key] = (self.version, encoded)
        return self.version

    def value(self, table, key):
        """Return the stored value of a row, or None without one."""
        encoded = self.rows.get((table, key), (0, None))[1]
        return None if encoded is None else msgspec.json.decode(base64.b64decode(encoded))

    def copy(self):
        """Return a copy of the rows and the version."""
        return dict(self.rows), self.version

    def restore(self, copy, drops_feeds=True):
        """Continue from a copy in a new era; pending feeds are dropped or answered by the restored store."""
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        self.history_from = 0
        if drops_feeds:
            feeds, self.feeds = self.feeds, []
            for _until, call in feeds:
                self.fail(call)

    def release(self):
        """Perform and answer what was held back, and hold nothing back any more."""
        self.hold = ""
        held, self.held = self.held, []
        for call in held:
            if call.response is None:
                self.perform(call)
            else:
                call.callback(Success(call.response))

    def count(self, path):
        """Return the number of calls that were sent to a path."""
        return sum(call.path == path for call in self.calls)

    # Calls

    def connect_seconds(self, _address):
        """Return the duration of a connect."""
        return 0.0

    def request(self, _address, method, path, _headers, body, timeout, callback, *_, max_seconds):
        """Send a call."""
        call = Call(method, path, body, self.app.clock.monotonic() + timeout, callback)
        self.calls.append(call)
        self.app.scheduler.call_later(ANSWER_SECONDS, lambda: self.arrive(call))

    def arrive(self, call):
        """Refuse, hold back or perform a call."""
        if self.down:
            call.callback(Failure(HttpFailure(False, FailureKind.REFUSED)))
        elif self.hold == "before":
            self.held.append(call)
        else:
            self.perform(call)

    def fail(self, call):
        """End a call without an answer."""
        call.callback(Failure(HttpFailure(True, FailureKind.CLOSED)))

    def perform(self, call):
        """Perform a call; a feed waits for changes."""
        if call.path == "/rows-feed":
            self.feeds.append((self.app.clock.monotonic() + int(call.query["blockMs"]) / 1000, call))
            self.answer_feeds()
        elif call.path == "/rows-get":
            self.read(call)
        else:
            self.transact(call)

    def answer(self, call, status, **body):
        """Answer a call with the era in which it was performed."""
        era = str(self.era) if self.era_header is None else self.era_header
        body = msgspec.json.encode({"ver": self.version, "serverTimeS": self.app.clock.monotonic(), **body})
        call.response = HttpResponse(status, {"store-era": era} if self.names_era else {}, body)
        if self.hold == "after":
            self.held.append(call)
        else:
            call.callback(Success(call.response))

    def read(self, call):
        """Answer with a page of the rows in a range of keys."""
        begin, end = call.query.get("from", ""), call.query.get("to")
        found = sorted(
            (key, version, value)
            for (table, key), (version, value) in self.rows.items()
            if table == call.query["table"] and value is not None and key >= begin and (not end or key < end)
        )
        records = [
            {"key": key, "ver": version, "value": value} for key, version, value in found[: self.page_rows]
        ]
        self.answer(call, 200, records=records, hasMore=len(found) > self.page_rows)

    def answer_feeds(self):
        """Answer the feeds that have changes, cannot be answered, or are over."""
        now = self.app.clock.monotonic()
        feeds, self.feeds = self.feeds, []
        for until, call in feeds:
            after = int(call.query["after"])
            changed = sorted(
                (version, key, value)
                for (table, key), (version, value) in self.rows.items()
                if table == call.query["table"] and version > after
            )
            if not self.history_from <= after <= self.version:
                self.answer(call, 410)
            elif changed or now >= until:
                records = [
                    {"key": key, "ver": version, "value": value or "", "deleted": value is None}
                    for version, key, value in changed
                ]
                self.answer(call, 200, records=records)
            else:
                self.feeds.append((until, call))

    def transact(self, call):
        """Apply a transaction if its conditions hold."""
        transaction = msgspec.json.decode(call.body)
        for row in transaction["expect"]:
            version, value = self.rows.get((row["table"], row["key"]), (0, None))
            if (0 if value is None else version) != row["ver"]:
                self.answer(call, 412)
                return
        self.version += 1
        for row in transaction["write"]:
            self.rows[row["table"], row["key"]] = (self.version, row["value"])
        for row in transaction["delete"]:
            self.rows[row["table"], row["key"]] = (self.version, None)
        self.answer(call, 200)
