"""Starts, signals and stops child processes on loopback ports, and sends them HTTP requests."""

from __future__ import annotations

import ctypes
import http.client
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

ROOT = Path(__file__).resolve().parents[1]
PR_SET_PDEATHSIG = 1
POLL_INTERVAL_SECONDS = 0.02
libc = ctypes.CDLL(None, use_errno=True)


class ConditionTimeout(AssertionError):
    """Raised when a condition is not met in time."""


def free_ports(count: int, host: str) -> list[int]:
    """Return distinct free ports; all are bound at the same time, so that none is returned twice."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def wait_until(condition: Callable[[], Any], timeout_seconds: float, description: str) -> Any:
    """Poll a condition and return its first true value.

    Raises
    ------
    ConditionTimeout
        If the condition has not been true within the timeout.
    """
    end = time.monotonic() + timeout_seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise ConditionTimeout(f"not met within {timeout_seconds} s: {description}")
        time.sleep(POLL_INTERVAL_SECONDS)


def request(
    address: str, method: str, path: str, value: Any = None, headers=None, timeout=2.0
) -> tuple[int, Any]:
    """Send an HTTP request with a JSON body; return status and decoded answer, (0, None) on failure."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    body = None if value is None else msgspec.json.encode(value)
    try:
        connection.request(method, path, body, {"content-type": "application/json", **(headers or {})})
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
    try:
        return response.status, msgspec.json.decode(data)
    except msgspec.DecodeError:
        return response.status, data.decode("utf-8", "replace")


class Process:
    """A child process of the Python interpreter whose output goes to a log file.

    Parameters
    ----------
    arguments : iterable of str
        Command-line arguments of the Python interpreter.
    log : Path
        File to which standard output and error are appended.
    environment : dict of str to str
        Environment variables to add to those of this process. Its own ``HIBISCUSDRUM_*`` variables are not
        inherited.
    descriptors : int, optional
        Soft limit of open file descriptors under which the process starts; its hard limit is inherited.
    """

    __slots__ = ("log", "process")

    def __init__(
        self,
        arguments: Iterable[str],
        log: Path,
        environment: dict[str, str],
        stdin=None,
        descriptors: int | None = None,
    ) -> None:
        self.log = log
        inherited = {
            name: value for name, value in os.environ.items() if not name.startswith("HIBISCUSDRUM_")
        }
        python_path = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env={**inherited, "PYTHONPATH": python_path, **environment},
                stdin=subprocess.DEVNULL if stdin is None else stdin,
                stdout=output,
                stderr=output,
                preexec_fn=lambda: _prepare_child(descriptors),
            )

    @property
    def running(self) -> bool:
        """Whether the process has not exited; a paused process counts as running."""
        return self.process.poll() is None

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it has not exited."""
        if self.running:
            self.process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process with SIGKILL, which also ends a paused process, and wait for it."""
        self.send(signal.SIGKILL)
        self.process.wait()

    def stop(self, timeout_seconds: float) -> int:
        """Send SIGTERM, wait for the process to exit, and return its exit code."""
        self.send(signal.SIGTERM)
        return self.process.wait(timeout_seconds)


def _prepare_child(descriptors: int | None) -> None:
    """Set the soft limit of descriptors, and have the kernel kill this child when its parent ends.

    The kernel does so even if the parent ends by SIGKILL.
    """
    if descriptors is not None:
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, hard))
    libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
