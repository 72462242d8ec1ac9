"""Command line of the operators' client ``hibiscusdrum``.

The exit codes are part of the interface: 0 success, 1 refused or not accepted in time, 2 usage error, 3 no
usable answer from a daemon, 4 the configuration has changed since the plan was made.
"""

from __future__ import annotations

import http.client
import inspect
import os
import sys
import time
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any

import defopt
import msgspec

from hibiscusdrum import __version__
from hibiscusdrum.errors import DaemonRefused, InvalidArgument, NodeUnreachable, OutcomeUnknown
from hibiscusdrum.internal.cli.client_errors import client_errors
from hibiscusdrum.internal.cli.explain import explain
from hibiscusdrum.internal.config.intents import (
    CreateRoute,
    CreateTenant,
    DrainFailureDomain,
    Intent,
    ReleaseNodes,
    RetireTarget,
    ReturnFailureDomain,
    SetHomeRegions,
)
from hibiscusdrum.internal.config.operators import KEY_HEADER, PATH_PREFIX
from hibiscusdrum.internal.config.revisions import ACCEPTED
from hibiscusdrum.internal.decoding import DECODE_ERRORS
from hibiscusdrum.internal.ownership.keys import DEFAULT_SLICE_COUNT
from hibiscusdrum.internal.settings import ADDRESS_EXPECTED, BY_NAME, parse_address

PROGRAM = "hibiscusdrum"
EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_INTERRUPTED = 130
CONFLICT_STATUS = 409
# Longer than a daemon waits for the store, so that the daemon reports a failed store call itself.
REQUEST_TIMEOUT_SECONDS = 10.0
WATCH_INTERVAL_SECONDS = 0.5
KEY_VARIABLE = BY_NAME["shared_key"].environment

SendRequest = Callable[[str, str, str, bytes, dict[str, str]], tuple[int, bytes]]


class Session:
    """Connection parameters and output format of one run of the client.

    Parameters
    ----------
    daemon : str
        ``ip:port`` of a daemon's HTTP endpoint.
    shared_key : str
        Sent as the header ``x-hibiscusdrum-key``.
    as_json : bool
        Whether answers are printed as JSON.
    request : callable
        Sends one HTTP request and returns the status and body of the answer.
    sleep : callable
        Waits a number of seconds.
    """

    __slots__ = ("as_json", "daemon", "request", "shared_key", "sleep")

    def __init__(
        self,
        daemon: str,
        shared_key: str,
        as_json: bool,
        request: SendRequest,
        sleep: Callable[[float], None],
    ) -> None:
        try:
            self.daemon = parse_address(daemon)
        except ValueError:
            raise InvalidArgument(name="daemon", value=daemon, expected=ADDRESS_EXPECTED) from None
        self.shared_key = shared_key
        self.as_json = as_json
        self.request = request
        self.sleep = sleep

    def request_json(self, method: str, path: str, body: bytes = b"") -> dict[str, Any]:
        """Send a request and return the JSON answer.

        Raises
        ------
        DaemonRefused
            If the daemon answered with an error.
        NodeUnreachable
            If no daemon answered, or what answered is not a daemon.
        OutcomeUnknown
            If the connection broke after a request that changes something was sent.
        """
        headers = {KEY_HEADER: self.shared_key} if self.shared_key else {}
        try:
            status, response_body = self.request(method, self.daemon, path, body, headers)
        except ConnectionRefusedError:
            raise NodeUnreachable(node=self.daemon) from None
        except (OSError, http.client.HTTPException) as error:
            if method == "POST":
                reason = f"{type(error).__name__} while waiting for {self.daemon}"
                raise OutcomeUnknown(request_id=path.rpartition("/")[2], reason=reason) from error
            raise NodeUnreachable(node=self.daemon) from error
        answer = self._decode_answer(response_body)
        if status >= http.client.BAD_REQUEST:
            reason, message = str(answer.get("code")), str(answer.get("message"))
            raise DaemonRefused(status=status, reason=reason, message=message)
        return answer

    def _decode_answer(self, response_body: bytes) -> dict[str, Any]:
        try:
            return msgspec.json.decode(response_body, type=dict[str, Any])
        except DECODE_ERRORS:
            raise NodeUnreachable(node=self.daemon) from None

    def print_answer(self, answer: dict[str, Any], lines: Iterable[str]) -> None:
        """Print an answer as JSON or as the given lines of text."""
        if self.as_json:
            print(msgspec.json.encode(answer).decode())
            return
        for line in lines:
            print(line)


def send_http_request(
    method: str, address: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[int, bytes]:
    """Send one HTTP request over a new connection."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=REQUEST_TIMEOUT_SECONDS)
    try:
        connection.request(method, path, body or None, {**headers, "content-type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def status(session: Session) -> int:
    """Show the state of a daemon and all owners it knows."""
    answer = session.request_json("GET", "/v1/status")
    lines = [
        f"node {answer['node']}, revision {answer['revision']}, table sequence {answer['table_seq']}",
        f"store {'reachable' if answer['store_reachable'] else 'NOT REACHABLE'}, "
        f"lease {'valid' if answer['lease_valid'] else 'NOT VALID'}, guard {answer['guard'] or 'none'}",
    ]
    columns = ("node", "service", "region", "failure_domain", "slices", "guard", "epoch")
    session.print_answer(answer, [*lines, *format_table(columns, answer["owners"])])
    return EXIT_OK


def owner(session: Session, key: str, *, service: str, tenant: str) -> int:
    """Show which node owns a key.

    Parameters
    ----------
    key
        The key.
    service
        Service whose owner is asked for.
    tenant
        Tenant that the key belongs to; its home regions select the region.
    """
    query = urllib.parse.urlencode({"service": service, "tenant": tenant, "key": key})
    answer = session.request_json("GET", f"/v1/owner?{query}")
    session.print_answer(answer, format_table(("slice", "owner", "epoch", "region"), [answer]))
    return EXIT_OK


def create_route(
    session: Session, name: str, *regions: str, divided: bool = False, slices: int = DEFAULT_SLICE_COUNT
) -> int:
    """Plan a new route.

    Parameters
    ----------
    name
        Service.
    regions
        Regions that serve it.
    divided
        The service is partitioned by key.
    slices
        Slices of each ring; cannot be changed later.
    """
    return submit_intent(session, CreateRoute(name, regions, divided, slices))


def create_tenant(
    session: Session,
    name: str,
    *,
    home_regions: list[str] = [],  # noqa: B006 - defopt reads the default; it is not modified
    class_weights: list[str] = [],  # noqa: B006
    slot_caps: list[str] = [],  # noqa: B006
) -> int:
    """Plan a new tenant.

    Parameters
    ----------
    name
        Tenant.
    home_regions
        The only regions that may serve it.
    class_weights
        Share of request classes, each as class=weight.
    slot_caps
        Slots that it may use at most, each as service=slots.
    """
    weights = parse_pairs("class-weights", class_weights, float)
    return submit_intent(
        session, CreateTenant(name, tuple(home_regions), weights, parse_pairs("slot-caps", slot_caps, int))
    )


def set_home_regions(session: Session, tenant: str, *regions: str) -> int:
    """Plan a home-region rule; no regions lift the rule.

    Parameters
    ----------
    tenant
        Tenant.
    regions
        The only regions that may serve it.
    """
    return submit_intent(session, SetHomeRegions(tenant, regions))


def drain_failure_domain(session: Session, failure_domain: str) -> int:
    """Plan to take a failure domain out of service.

    Parameters
    ----------
    failure_domain
        Failure domain.
    """
    return submit_intent(session, DrainFailureDomain(failure_domain))


def return_failure_domain(session: Session, failure_domain: str) -> int:
    """Plan to return a drained failure domain to service.

    Parameters
    ----------
    failure_domain
        Failure domain.
    """
    return submit_intent(session, ReturnFailureDomain(failure_domain))


def retire_target(session: Session, node: str) -> int:
    """Plan to take the target of a node out of service for good.

    Parameters
    ----------
    node
        Node of the target.
    """
    return submit_intent(session, RetireTarget(node))


def release_nodes(session: Session, *nodes: str) -> int:
    """Plan to allow the takeover of nodes that were lost while they were their own guard.

    Parameters
    ----------
    nodes
        Nodes that no longer run.
    """
    return submit_intent(session, ReleaseNodes(nodes))


def confirm(session: Session, plan: str) -> int:
    """Confirm a plan; repeating it is safe.

    Parameters
    ----------
    plan
        Id of the plan.
    """
    answer = session.request_json("POST", f"{PATH_PREFIX}confirm/{quote_plan_id(plan)}")
    session.print_answer(answer, format_plan_state(answer))
    return EXIT_OK


def plans(session: Session) -> int:
    """List the plans that are not confirmed."""
    answer = session.request_json("GET", f"{PATH_PREFIX}plans")
    session.print_answer(answer, format_plan_table(answer["plans"]))
    return EXIT_OK


def history(session: Session) -> int:
    """List the confirmed plans, oldest first."""
    answer = session.request_json("GET", f"{PATH_PREFIX}history")
    session.print_answer(answer, format_plan_table(answer["history"]))
    return EXIT_OK


def watch(session: Session, plan: str, *, timeout: float = 60.0) -> int:
    """Wait until a plan is accepted everywhere; exits with 1 when it is not in time.

    Parameters
    ----------
    plan
        Id of the plan.
    timeout
        Seconds to wait at most.
    """
    waited_seconds = 0.0
    while True:
        answer = session.request_json("GET", f"{PATH_PREFIX}plan/{quote_plan_id(plan)}")
        if answer["state"] == ACCEPTED or waited_seconds >= timeout:
            session.print_answer(answer, format_plan_state(answer))
            return EXIT_OK if answer["state"] == ACCEPTED else EXIT_REFUSED
        session.sleep(WATCH_INTERVAL_SECONDS)
        waited_seconds += WATCH_INTERVAL_SECONDS


COMMANDS: dict[str, Any] = {
    "status": status,
    "owner": owner,
    "plan": {
        "create-route": create_route,
        "create-tenant": create_tenant,
        "set-home-regions": set_home_regions,
        "drain-failure-domain": drain_failure_domain,
        "return-failure-domain": return_failure_domain,
        "retire-target": retire_target,
        "release-nodes": release_nodes,
    },
    "confirm": confirm,
    "plans": plans,
    "history": history,
    "watch": watch,
}


def submit_intent(session: Session, intent: Intent) -> int:
    """Submit an intent to the daemon and print the plan it returns."""
    answer = session.request_json("POST", f"{PATH_PREFIX}plan", msgspec.json.encode(intent))
    session.print_answer(answer, format_plan(answer))
    return EXIT_OK


def quote_plan_id(plan: str) -> str:
    """Escape a plan id for use as a path segment."""
    return urllib.parse.quote(plan, safe="")


def parse_pairs(name: str, items: Iterable[str], convert: Callable[[str], Any]) -> dict[str, Any]:
    """Parse ``name=value`` arguments.

    Raises
    ------
    InvalidArgument
        If an item is not of this form, or its value cannot be converted.
    """
    parsed = {}
    for item in items:
        key, separator, value = item.partition("=")
        try:
            parsed[key] = convert(value)
        except ValueError:
            separator = ""
        if not separator or not key:
            raise InvalidArgument(name=name, value=item, expected=f"name=value with a {convert.__name__}")
    return parsed


def format_plan(answer: dict[str, Any]) -> list[str]:
    """Return the lines that describe a plan: its steps, cost, warnings and moves."""
    plan = answer["plan"]
    cost = plan["cost"]
    lines = [
        f"plan {plan['id']}: {plan['intent']['kind']} on revision {plan['base_revision']}",
        f"steps: {', '.join(step['kind'] for step in plan['steps'])}",
        f"cost: {cost['slices']} slices, about {cost['keys']} keys, {cost['cross_region_bytes']} bytes"
        f" between regions, about {cost['expected_seconds']} s",
    ]
    lines += [f"warning: {warning}" for warning in plan["warnings"]]
    if plan["moves"]:
        lines += format_table(("service", "region", "source", "receivers", "nodes", "slices"), plan["moves"])
    return [*lines, f"nothing has changed yet; run: {PROGRAM} confirm {plan['id']}"]


def format_plan_state(answer: dict[str, Any]) -> list[str]:
    """Return the lines that show the state of a plan and the nodes that have not acknowledged it."""
    plan = answer["plan"]
    done = f"{answer['steps_done']} of {len(plan['steps'])} steps"
    lines = [f"plan {plan['id']}: {answer['state']}, revision {answer['revision']}, {done}"]
    if answer["missing"]:
        lines.append(f"not yet acknowledged by: {', '.join(answer['missing'])}")
    return lines


def format_plan_table(rows: list[dict[str, Any]]) -> list[str]:
    """Return the lines of a table of plans."""
    columns = ("plan", "intent", "state", "base", "revision", "confirmed")
    return format_table(columns, [_format_plan_row(row) for row in rows])


def _format_plan_row(row: dict[str, Any]) -> dict[str, Any]:
    plan, confirmed_at = row["plan"], row["confirmed_at"]
    text = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(confirmed_at)) if confirmed_at else "-"
    arguments = [str(value) for name, value in plan["intent"].items() if name != "kind"]
    return {
        "plan": plan["id"],
        "intent": " ".join([plan["intent"]["kind"], *arguments[:1]]),
        "state": row["state"],
        "base": plan["base_revision"],
        "revision": row["revision"],
        "confirmed": text,
    }


def format_table(columns: tuple[str, ...], rows: list[dict[str, Any]]) -> list[str]:
    """Return the lines of a table with a header and left-aligned columns."""
    cells = [columns, *[tuple(_format_cell(row.get(column)) for column in columns) for row in rows]]
    widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
    return [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def _format_cell(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return "-" if value is None or value == "" else str(value)


def main(
    arguments: list[str] | None = None,
    environment: Mapping[str, str] | None = None,
    request: SendRequest = send_http_request,
    sleep: Callable[[float], None] = time.sleep,
) -> None:
    """Run a command and exit with its code.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program name.
    environment : mapping, optional
        Environment variables; those of the process when not given.
    request, sleep : callable, optional
        Send an HTTP request and wait some seconds; tests replace them.
    """
    variables = os.environ if environment is None else environment
    commands = _bind_commands(COMMANDS, partial(_run_command, variables, request, sleep)) | {
        "explain": explain,
        "client-errors": client_errors,
    }
    try:
        code = defopt.run(
            commands,
            argv=sys.argv[1:] if arguments is None else arguments,
            version=f"{PROGRAM} {__version__}",
            short={},
            show_defaults=False,
            argparse_kwargs={"prog": PROGRAM},
        )
    except KeyboardInterrupt:
        code = EXIT_INTERRUPTED
    sys.exit(code)


def _bind_commands(commands: dict[str, Any], run: Callable[..., int]) -> dict[str, Any]:
    return {
        name: _bind_commands(command, run) if isinstance(command, dict) else _bind_command(command, run)
        for name, command in commands.items()
    }


def _bind_command(command: Callable[..., int], run: Callable[..., int]) -> Callable[..., int]:
    """Wrap a command for defopt: its signature loses the session and gains the flags of all commands."""

    def bound(*values: Any, daemon: str, shared_key: str = "", json: bool = False, **flags: Any) -> int:
        return run(command, values, flags, daemon, shared_key, json)

    signature = inspect.signature(command, eval_str=True)
    own_parameters = list(signature.parameters.values())[1:]
    shared_parameters = [
        p for p in inspect.signature(bound, eval_str=True).parameters.values() if p.kind is p.KEYWORD_ONLY
    ]
    bound.__signature__ = inspect.Signature([*own_parameters, *shared_parameters], return_annotation=int)
    bound.__annotations__ = {p.name: p.annotation for p in (*own_parameters, *shared_parameters)} | {
        "return": int
    }
    bound.__name__ = command.__name__
    document = inspect.getdoc(command) or ""
    if "Parameters\n" not in document:
        document += "\n\nParameters\n----------"
    bound.__doc__ = f"""{document}
daemon
    ip:port of the HTTP endpoint of any daemon.
shared_key
    Shared key; {KEY_VARIABLE} is used when not given, and is not visible to other users.
json
    Print the answer as JSON.
"""
    return bound


def _run_command(
    environment: Mapping[str, str],
    request: SendRequest,
    sleep: Callable[[float], None],
    command: Callable[..., int],
    values: tuple[Any, ...],
    flags: dict[str, Any],
    daemon: str,
    shared_key: str,
    as_json: bool,
) -> int:
    """Run a command; an error becomes one line on standard error and an exit code."""
    try:
        key = shared_key or environment.get(KEY_VARIABLE, "")
        return command(Session(daemon, key, as_json, request, sleep), *values, **flags)
    except InvalidArgument as error:
        return _print_failure(str(error), EXIT_USAGE)
    except (NodeUnreachable, OutcomeUnknown) as error:
        return _print_failure(str(error), EXIT_UNREACHABLE)
    except DaemonRefused as error:
        return _print_failure(str(error), EXIT_CONFLICT if error.status == CONFLICT_STATUS else EXIT_REFUSED)
    except (KeyError, TypeError) as error:
        return _print_failure(f"the answer of {daemon} lacks {error}", EXIT_UNREACHABLE)


def _print_failure(message: str, code: int) -> int:
    print(f"{PROGRAM}: {' '.join(message.split())}", file=sys.stderr)
    return code


if __name__ == "__main__":
    main()
