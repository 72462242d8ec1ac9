"""Steps with client accounts in a system of real routers."""

import time
from bisect import bisect_left
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from tools.processes import request, wait_until
from tools.router_system import HEADER_PREFIX, ROUTES

HOST, PATH = "grants.example", "/r/x"
KEYS = {"alice": "alice-secret", "bob": "bob-secret"}
TENANTS = [["alice", [KEYS["alice"]], 0, None, None, None], ["bob", [KEYS["bob"]], None, 20, 10, None]]
# Time in which buckets fill and each router has found the keepers.
FILL_SECONDS = 6.0


def ask(context, vm, name="", attempt=None):
    """Send a request with the key of an account; return its answer."""
    headers = {HEADER_PREFIX + "key": KEYS[name]} if name else {}
    headers[HEADER_PREFIX + "tenant"] = "forged"
    return context.system.send_request(vm, HOST, PATH, attempt=attempt, headers=headers)


@when('the operator adds the accounts "alice" and "bob"')
def adds_accounts(context):
    context.system.configure(ROUTES, TENANTS)


@when('the operator removes the key of "alice"')
def removes_key(context):
    context.system.configure(ROUTES, [["alice", []], TENANTS[1]])


def all_refused(context, name, seconds):
    vms = context.system.vms.values()
    wait_until(lambda: all(ask(context, vm, name)[0] == 401 for vm in vms), seconds, "401 on every VM")


@then("within {seconds:g} s requests without a key get 401 on every VM")
def key_needed(context, seconds):
    all_refused(context, "", seconds)


@then('within {seconds:g} s requests with the key of "{name}" get 401 on every VM')
def key_refused(context, seconds, name):
    all_refused(context, name, seconds)


@then(
    'requests with the key of "{name}" are served on every VM, '
    "and their targets learn the account and not the key"
)
def key_served(context, name):
    system = context.system
    for vm_name, vm in system.vms.items():
        attempt = f"account-{vm_name}"
        status, *_ = ask(context, vm, name, attempt)
        assert status == 200, (vm_name, status)
        (run,) = system.runs_of_attempt(attempt)
        assert run["tenant"] == name and run["key"] is None, run
    logs = b"".join(path.read_bytes() for path in system.folder.glob("*.log"))
    assert b"request_ended" in logs and KEYS[name].encode() not in logs


@when(
    'for {seconds:g} s each VM is asked as often as possible for "{name}", '
    "whose quota is 20 requests a second and a burst of 10"
)
def ask_often(context, seconds, name):
    time.sleep(FILL_SECONDS)
    end = time.monotonic() + seconds
    context.answers = []

    def caller(vm):
        while time.monotonic() < end:
            status, headers, _ = ask(context, vm, name)
            context.answers.append((time.monotonic(), status, headers))
            time.sleep(0.02)

    with ThreadPoolExecutor(len(context.system.vms)) as pool:
        list(pool.map(caller, context.system.vms.values()))


@then("in no window of {window:g} s more than {limit:d} of them ran, and at least {least:d} ran in all")
def within_quota(context, window, limit, least):
    times = sorted(at for at, status, _ in context.answers if status == 200)
    most = max(bisect_left(times, at + window) - index for index, at in enumerate(times))
    assert most <= limit and len(times) >= least, (most, len(times), len(context.answers))


@then("all others got 429 with a Retry-After")
def others_refused(context):
    others = [(status, headers) for _, status, headers in context.answers if status != 200]
    assert others and {status for status, _ in others} == {429}, {status for status, _ in others}
    assert all(0.0 < float(headers["retry-after"]) <= 10.0 for _, headers in others)


@then('the metrics of a router count the requests of "{name}"')
def counted(context, name):
    status, text = request(context.vm.address(5), "GET", "/metrics")[:2]
    assert status == 200 and f'account="{name}",status="429"' in str(text), text
