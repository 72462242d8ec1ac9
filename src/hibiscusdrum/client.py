"""Client library, which sends each request directly to the owner of its key in one hop.

Examples
--------
>>> caller = Caller(seeds=["127.0.0.1:7301"])  # doctest: +SKIP
>>> request = Request(tenant="amt", service="wappensuche", key=b"adler")  # doctest: +SKIP
>>> caller.call(request)  # doctest: +SKIP
<Success: Answer(...)>
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec
from returns.result import Result

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal.caller.driver import SocketDriver
from hibiscusdrum.internal.caller.types import Answer, Request

__all__ = ["Answer", "Caller", "Request"]

MAX_TIMEOUT_SECONDS = 3600.0
MAX_KEY_BYTES = 1024


class Caller:
    """Sends requests and waits for their answers. Not thread-safe.

    Parameters
    ----------
    seeds : sequence of str
        ``ip:port`` of the ZeroMQ sockets of some daemons; one that answers is enough.
    region : str, optional
        Region of this process; reads that need no owner are sent within it if the configuration allows it.
    seed : int, optional
        Seed of the random number generator, for reproducible measurements.

    Raises
    ------
    InvalidArgument
        If there is no seed address or one is malformed.
    """

    def __init__(self, seeds: Sequence[str], region: str = "", seed: int | None = None) -> None:
        check_seeds(seeds)
        self.driver = SocketDriver(tuple(seeds), region, seed)

    def call(self, request: Request) -> Result[Answer, HibiscusdrumError]:
        """Send a request and wait for its outcome for at most ``request.timeout`` seconds.

        Returns
        -------
        Result
            ``Success(Answer)`` or ``Failure(error)``. ``error.not_run`` is true only when the request
            certainly did not run.
        """
        outcome: list[Result[Answer, HibiscusdrumError]] = []
        self.submit(request, outcome.append)
        while not outcome:
            self.driver.poll(request.timeout)
        return outcome[0]

    def submit(self, request: Request, on_done: Callable[[Result[Answer, HibiscusdrumError]], None]) -> None:
        """Send a request without waiting; ``on_done`` is called once, from within ``poll`` or ``call``.

        Raises
        ------
        InvalidArgument
            If a field of the request is malformed; nothing is sent.
        """
        check_request(request)
        self.driver.submit(request, on_done)

    def poll(self, timeout: float) -> None:
        """Process answers and timeouts until a request completes, for at most ``timeout`` seconds."""
        self.driver.poll(timeout)

    def close(self) -> None:
        """Close all connections; open requests fail, with ``OutcomeUnknown`` if they may have run."""
        self.driver.close()

    def __enter__(self) -> Caller:
        return self

    def __exit__(self, *_exception: object) -> None:
        self.close()


def check_seeds(seeds: Sequence[str]) -> None:
    """Raise ``InvalidArgument`` if there is no seed address, or for the first malformed one."""
    if not seeds:
        raise InvalidArgument(name="seeds", value=seeds, expected="at least one ip:port")
    for address in seeds:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise InvalidArgument(name="seeds", value=address, expected="ip:port")


def check_request(request: Request) -> None:
    """Raise ``InvalidArgument`` for the first malformed field of a request."""
    try:
        msgspec.convert(msgspec.structs.asdict(request), Request)
    except msgspec.ValidationError as error:
        raise InvalidArgument(
            name="request", value=str(error), expected="fields of the declared types"
        ) from None
    if not 0 < len(request.key) <= MAX_KEY_BYTES:
        raise InvalidArgument(name="key", value=request.key, expected=f"1 to {MAX_KEY_BYTES} bytes")
    if not 0 < request.timeout <= MAX_TIMEOUT_SECONDS:
        raise InvalidArgument(name="timeout", value=request.timeout, expected="0 to 3600 seconds")
    if not request.path.startswith("/") or any(c in request.path for c in " \r\n"):
        raise InvalidArgument(name="path", value=request.path, expected="an absolute path without spaces")
    if request.request_id is not None and len(request.request_id) != 16:
        raise InvalidArgument(name="request_id", value=request.request_id, expected="16 bytes")
