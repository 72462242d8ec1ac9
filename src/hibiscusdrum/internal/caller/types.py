"""Request and answer of the caller's library."""

from __future__ import annotations

import msgspec


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request to a service.

    Attributes
    ----------
    key : bytes
        Key that the request is about; 1 to 1024 bytes.
    idempotent : bool
        Whether running it twice has the effect of running it once. Only then is it sent again after an
        unknown outcome.
    timeout : float
        Seconds until the caller stops waiting.
    request_class : str
        Class for queueing, such as ``grant`` or ``lineage``.
    request_id : bytes, optional
        16 bytes of a UUIDv7; give the first attempt's id when repeating a request, with ``attempt`` above 1.
    """

    tenant: str
    service: str
    key: bytes
    method: str = "GET"
    path: str = "/"
    body: bytes = b""
    content_type: str = "application/octet-stream"
    idempotent: bool = True
    timeout: float = 2.0
    request_class: str = "default"
    request_id: bytes | None = None
    attempt: int = 1


class Answer(msgspec.Struct, frozen=True):
    """The target's whole answer.

    Attributes
    ----------
    status : int
        HTTP status that the target gave.
    target : str
        Node whose target ran the request.
    epoch : int
        Epoch of the owner that admitted it.
    """

    request_id: bytes
    status: int
    body: bytes
    content_type: str
    target: str
    epoch: int
