"""Steps for the harness of whole-system histories: relay and processes."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import zmq
from behave import given, then, when
from tests.history.cluster import Cluster, ClusterSpec, NodeSpec
from tools.processes import ROOT, wait_until

AT_ONCE_SECONDS = 0.2
DELAY_SECONDS = 0.3
ARRIVAL_SECONDS = 5.0
SLEEPER = "import time; print('started', flush=True); time.sleep(60)"


def closed_cluster(context, nodes=()):
    cluster = Cluster(ClusterSpec(nodes, {}, {}, relayed=True))
    context.add_cleanup(cluster.close)
    return cluster


@given('a relayed pair of sockets "{source}" and "{destination}"')
def connect_pair(context, source, destination):
    context.cluster = closed_cluster(context, (NodeSpec(destination, "r", "d"),))
    context.cluster.start_relay()
    node = context.cluster.nodes[destination]
    zcontext = zmq.Context()
    context.add_cleanup(zcontext.destroy, 0)
    context.server, context.caller = zcontext.socket(zmq.ROUTER), zcontext.socket(zmq.DEALER)
    context.server.bind(f"tcp://{node.peer}")
    context.caller.setsockopt(zmq.ROUTING_ID, source.encode())
    context.caller.connect(f"tcp://{node.relay}")
    context.caller.send(b"hello")
    assert context.server.poll(ARRIVAL_SECONDS * 1000)
    context.server.recv_multipart()


@when('the relay {rule} from "{source}" to "{destination}"')
def set_rule(context, rule, source, destination):
    if rule == "holds":
        context.cluster.set_relay_rules(held=[(source, destination)])
    else:
        context.cluster.set_relay_rules(delays=[(source, destination, DELAY_SECONDS)])


def arrival(socket):
    """Return when the next message arrives: at once, later, or not while the delay lasts."""
    began = time.monotonic()
    if not socket.poll((DELAY_SECONDS + AT_ONCE_SECONDS) * 1000):
        return "not"
    return "at once" if time.monotonic() - began < AT_ONCE_SECONDS else "later"


@then('a message to "{node}" arrives {request} and its echo {echo}')
def check_arrival(context, node, request, echo):
    context.caller.send(b"one")
    began = time.monotonic()
    assert arrival(context.server) == request
    context.pending = request == "not"
    if not context.pending:
        context.server.send_multipart(context.server.recv_multipart())
    found = arrival(context.caller)
    late = time.monotonic() - began >= AT_ONCE_SECONDS
    assert found == echo or (found == "at once" and late and echo == "later"), found


@then("nothing is lost once the relay rules are removed")
def check_release(context):
    context.cluster.set_relay_rules()
    if context.pending:
        assert context.server.poll(ARRIVAL_SECONDS * 1000)
        context.server.send_multipart(context.server.recv_multipart())
    assert context.caller.poll(ARRIVAL_SECONDS * 1000)
    assert context.caller.recv() == b"one"


@given("a harness process")
def start_sleeper(context):
    context.cluster = closed_cluster(context)
    context.process = context.cluster.launch("sleeper", ["-c", SLEEPER])


@when("the harness process is paused and its cluster is closed")
def pause_and_close(context):
    context.process.send(signal.SIGSTOP)
    context.cluster.close()


@then("the harness process has ended")
def check_ended(context):
    assert not context.process.running


@when("a test process that started a harness process is killed")
def kill_parent(context):
    script = (
        "import sys, time; from pathlib import Path; from tools.processes import Process\n"
        f"process = Process(['-c', {SLEEPER!r}], Path(sys.argv[1]), {{}})\n"
        "print(process.process.pid, flush=True); time.sleep(60)"
    )
    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder) / "log"
        parent = subprocess.Popen([sys.executable, "-c", script, log], cwd=ROOT, stdout=subprocess.PIPE)
        context.child = int(parent.stdout.readline())
        wait_until(lambda: "started" in log.read_text(), ARRIVAL_SECONDS, "child runs")
        parent.kill()
        parent.wait()
        parent.stdout.close()


@then("its harness process ends too")
def check_child(context):
    stat = Path(f"/proc/{context.child}/stat")
    ended = lambda: not stat.exists() or stat.read_text().split()[2] == "Z"  # noqa: E731
    try:
        wait_until(ended, ARRIVAL_SECONDS, "child ends with its parent")
    except AssertionError:
        os.kill(context.child, signal.SIGKILL)
        raise
