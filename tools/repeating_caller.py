"""A caller that sends requests one after the other, each at a random router."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Callable

import msgspec

from tools.router_system import RouterSystem, Vm

CONNECT_SECONDS = 1.0


class CallerRequest(msgspec.Struct, frozen=True):
    """A request; ``key`` is None for a service that is not partitioned."""

    host: str
    path: str
    method: str = "GET"
    key: int | None = None
    body: bytes | None = None


class CallerAnswer(msgspec.Struct, frozen=True):
    """Monotonic time in seconds and status of an answer."""

    at: float
    status: int


def accepts_connections(vm: Vm) -> bool:
    """Return whether the router of a VM accepts connections of callers."""
    host, _, port = vm.address(1).rpartition(":")
    try:
        socket.create_connection((host, int(port)), CONNECT_SECONDS).close()
    except OSError:
        return False
    return True


class RepeatingCaller(threading.Thread):
    """Sends requests at the routers of the keyed service until stopped.

    Parameters
    ----------
    name_prefix : str
        Begins the attempt ids, which no other caller uses.
    next_request : callable
        Takes the caller's random numbers and the number of requests so far; returns the next request.
    pauses : tuple of (float, float)
        Least and greatest pause in seconds.

    Attributes
    ----------
    senders : dict of str to str
        VM to which each attempt was sent, by attempt id.
    answers : list of CallerAnswer
    """

    def __init__(
        self,
        system: RouterSystem,
        name_prefix: str,
        rng: random.Random,
        next_request: Callable[[random.Random, int], CallerRequest],
        pauses: tuple[float, float],
    ) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.name_prefix = name_prefix
        self.rng = rng
        self.next_request = next_request
        self.pauses = pauses
        self.senders: dict[str, str] = {}
        self.answers: list[CallerAnswer] = []
        self.stopped = threading.Event()

    def run(self) -> None:
        """Send requests with pauses between them."""
        while not self.stopped.is_set():
            vm, number = self.choose_router(), len(self.senders)
            request = self.next_request(self.rng, number)
            attempt = f"{self.name_prefix}-{number}"
            self.senders[attempt] = vm.name
            status, _headers, _body = self.system.send_request(
                vm, request.host, request.path, request.method, request.key, request.body, attempt=attempt
            )
            self.answers.append(CallerAnswer(time.monotonic(), status))
            self.stopped.wait(self.rng.uniform(*self.pauses))

    def choose_router(self) -> Vm:
        """Return a random VM whose router accepts connections; those that restart are passed over."""
        routers = [vm for vm in self.system.vms.values() if vm.service == "keyed"]
        self.rng.shuffle(routers)
        return next((vm for vm in routers if accepts_connections(vm)), routers[0])

    def stop_and_join(self) -> None:
        """Stop, and wait for the last answer."""
        self.stopped.set()
        if self.is_alive():
            self.join()
