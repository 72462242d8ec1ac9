"""Steps for the HTTP clients of a router and a daemon, with a target that cuts or repeats what it wrote.

They guard against a cut answer taken as whole, and an answer or a refusal given to another request.
"""

from behave import given, then, when
from returns.result import Success
from tests.loopback import Loopback, Results, free_address
from tools.standins.scripted_peer import ScriptedPeer

from hibiscusdrum.internal.daemon.requests import target_client as daemon_target_client
from hibiscusdrum.internal.router.application import target_client
from hibiscusdrum.internal.router.routes import HeaderNames

NAMES = HeaderNames()
SIGNED_HEAD = b"HTTP/1.1 200 OK\r\nx-signature: s\r\n"
HEADS = {
    "a declared length": SIGNED_HEAD + b"content-length: 5\r\n\r\n",
    "chunked encoding": SIGNED_HEAD + b"transfer-encoding: chunked\r\n\r\n",
    "neither": SIGNED_HEAD + b"server: t\r\n\r\n",
}


def start(context, peer, client=None):
    context.client, context.peer = client or target_client(NAMES), peer
    context.loopback = Loopback(context.client, peer)
    context.add_cleanup(context.loopback.stop)


def request(context, request_id):
    results = Results()
    headers = {context.client.request_id_header: request_id}
    context.client.request(context.peer.address, "GET", f"/{request_id}", headers, b"", 1.0, results.append)
    return results.one(context.loopback)


@given("a target whose answers have a head with {framing}")
def target_with_head(context, framing):
    context.head = HEADS[framing]
    start(context, ScriptedPeer([], free_address()))


@when("each answer is cut after another byte of its head, and the connection is closed")
def cut_each(context):
    cuts = range(1, len(context.head))
    context.peer.script = [[context.head[:cut], "wait", "close"] for cut in cuts]
    context.results = [request(context, f"a{cut}") for cut in cuts]


@then("no answer is taken as whole")
def none_whole(context):
    whole = [cut for cut, result in enumerate(context.results, 1) if isinstance(result, Success)]
    assert not whole, f"{len(whole)} of {len(context.results)} places: {whole}"
    assert all(result.failure().bytes_sent for result in context.results)


@when("an answer is cut after its head, and the connection is closed")
def cut_after_head(context):
    context.peer.script = [[context.head, "wait", "close"]]
    context.result = request(context, "a1")


@then("the answer is taken as whole, with an empty body")
def whole_and_empty(context):
    response = context.result.unwrap()
    assert (response.status, response.body) == (200, b"")


class RepeatingTarget(ScriptedPeer):
    """Writes the first answer of a connection once more before the next answer on the same connection.

    Attributes
    ----------
    first : bytes
        Answer to the first request; later ones are answered with their path.
    id_header : bytes
        Header in which the later answers name their requests.
    """

    def __init__(self, first, id_header):
        super().__init__([["hold"]], free_address())
        self.first = first
        self.id_header = id_header
        self.first_connection = None

    def run_actions(self, sock, actions, request):
        """Answer a request, or continue to do so."""
        if request is not None:
            path = request.split(b" ")[1].strip(b"/")
            own = b"HTTP/1.1 200 OK\r\n%b: %b\r\ncontent-length: %d\r\n\r\n%b"
            actions = [own % (self.id_header, path, len(path), path)]
            if len(self.requests) == 1:
                actions, self.first_connection = [self.first], sock
            elif sock is self.first_connection:
                actions = [self.first, "wait", "wait", *actions]
        super().run_actions(sock, actions, None)


@given(
    "a {process}'s target that {does} a request, and writes the {what} again before the next {one} "
    "on that connection"
)
def repeating_target(context, process, does, what, one):
    context.repeating_client = target_client(NAMES) if process == "router" else daemon_target_client()
    context.status = b"503 Busy\r\nx-not-run: 1" if does == "refuses" else b"200 OK"


@when("a refusal that names {named} is followed by a request with {next} id")
@when("an answer that names {named} is followed by a request with {next} id")
def first_and_next(context, named, next):
    id_header = context.repeating_client.request_id_header.encode()
    names_id = id_header + b": first\r\n" if named == "its id" else b""
    first = b"HTTP/1.1 %b\r\n%bcontent-length: 3\r\n\r\nold" % (context.status, names_id)
    start(context, RepeatingTarget(first, id_header), context.repeating_client)
    assert request(context, "first").unwrap().body == b"old"
    context.next_id = "first" if next == "the same" else "second"
    context.result = request(context, context.next_id)


@then("the next request gets its own answer")
def own_answer(context):
    response = context.result.unwrap()
    assert (response.status, response.body) == (200, context.next_id.encode()), response.body


@then("the next request gets no answer, and may have run")
def no_answer(context):
    assert not isinstance(context.result, Success), context.result.unwrap().body
    assert context.result.failure().bytes_sent


class CuttingTarget(ScriptedPeer):
    """Answers every other request of a connection; the next one gets a part of that answer first.

    Attributes
    ----------
    cut : int
        Bytes of the former answer that are written once more.
    follows : bytes
        What is written after them.
    """

    def __init__(self, closes, answers):
        super().__init__([["hold"]], free_address())
        self.closes, self.answers = closes, answers
        self.cut = 0
        self.former = {}

    def answer(self, request, status, body):
        """Return a whole answer to a request."""
        request_id = request.split(b" ")[1].strip(b"/")
        head = b"HTTP/1.1 %b\r\nserver: t\r\n%b: %b\r\n%b: s-%b\r\ncontent-length: %d\r\nage: 1\r\n\r\n"
        names = NAMES.attempt_id.encode(), NAMES.signature.encode()
        return head % (status, names[0], request_id, names[1], request_id, len(body)) + body

    def run_actions(self, sock, actions, request):
        """Answer a request, or continue to do so."""
        if request is not None and sock not in self.former:
            actions = [self.answer(request, b"200 OK", b"former")]
            self.former[sock] = actions[0]
        elif request is not None:
            own = self.answer(request, b"500 Failed", b"failed") if self.answers else b""
            actions = [self.former.pop(sock)[: self.cut] + own, *(["wait", "close"] if self.closes else [])]
        super().run_actions(sock, actions, None)


@given(
    "a router's target that writes its former answer once more, cut after another byte each time, then {then}"
)
def cutting_target(context, then):
    start(context, CuttingTarget("close" in then, "500" in then))


@when("a second request follows on each connection")
def second_requests(context):
    def ask(request_id):
        results = Results()
        headers = {context.client.request_id_header: request_id}
        context.client.request(
            context.peer.address, "GET", f"/{request_id}", headers, b"", 0.1, results.append
        )
        return results.one(context.loopback)

    length = len(context.peer.answer(b"GET /first-100 ", b"200 OK", b"former"))
    context.results = {}
    for cut in range(1, length):
        context.peer.cut = cut
        # The client reuses the connection only as long as its answers were sound.
        assert ask(f"first-{cut:03}").unwrap().body == b"former"
        context.results[cut] = ask(f"second-{cut:03}")


@then("none of the second requests gets a success")
def no_second_success(context):
    wrong = {
        cut: (result.unwrap().headers, result.unwrap().body)
        for cut, result in context.results.items()
        if isinstance(result, Success) and result.unwrap().status < 300
    }
    assert not wrong, f"{len(wrong)} of {len(context.results)} places, such as {min(wrong.items())}"
    mixed = {
        cut: result.unwrap().headers
        for cut, result in context.results.items()
        if isinstance(result, Success) and result.unwrap().body != b"failed"
    }
    assert not mixed, mixed
