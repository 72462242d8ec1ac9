"""Client of the platform's object store over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import quote

from returns.result import Failure, Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument, NotFound, StoreUnavailable
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table_client import HttpResult, unavailable_reason
from hibiscusdrum.internal.transport.http_client import HttpClient

OBJECTS_PATH = "/v1/objects/"
OK = 200
NOT_FOUND = 404

PutCallback = Callable[[Result[None, HibiscusdrumError]], None]
GetCallback = Callable[[Result[bytes, HibiscusdrumError]], None]


class ObjectStore(Service):
    """Asynchronous client of the object store; a put replaces the whole object, so it is safe to repeat.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    timeout_seconds : float
        Timeout of one request.
    """

    service_name = "object_store"

    def __init__(self, address: str, timeout_seconds: float = 5.0) -> None:
        super().__init__()
        self.address = address
        self.timeout_seconds = timeout_seconds
        self.http: HttpClient | None = None

    def on_start(self) -> None:
        """Find the HTTP client."""
        self.http = self.app.find(HttpClient.service_name)

    def put(self, name: str, content: bytes, callback: PutCallback) -> None:
        """Store an object; after ``StoreUnavailable`` with reason ``unknown``, it may have been stored."""

        def on_response(result: HttpResult) -> None:
            callback(put_result(result))

        self.send_request("PUT", name, content, on_response)

    def get(self, name: str, callback: GetCallback) -> None:
        """Read an object; the result is ``NotFound`` if it does not exist."""

        def on_response(result: HttpResult) -> None:
            callback(get_result(name, result))

        self.send_request("GET", name, b"", on_response)

    def send_request(
        self, method: str, name: str, body: bytes, on_response: Callable[[HttpResult], None]
    ) -> None:
        """Send a request for one object.

        Raises
        ------
        InvalidArgument
            If the name is empty or begins with a slash.
        """
        if not name or name.startswith("/"):
            raise InvalidArgument(name="name", value=name, expected="a name that does not begin with a slash")
        headers = {"content-type": "application/octet-stream"}
        self.http.request(
            self.address, method, OBJECTS_PATH + quote(name), headers, body, self.timeout_seconds, on_response
        )


def put_result(result: HttpResult) -> Result[None, HibiscusdrumError]:
    """Convert the answer to a put to its result."""
    if isinstance(result, Failure) and result.failure().bytes_sent:
        return Failure(StoreUnavailable(operation="put", reason="unknown"))
    if isinstance(result, Failure) or result.unwrap().status != OK:
        return Failure(StoreUnavailable(operation="put", reason=unavailable_reason(result)))
    return Success(None)


def get_result(name: str, result: HttpResult) -> Result[bytes, HibiscusdrumError]:
    """Convert the answer to a get to its result."""
    if isinstance(result, Failure):
        return Failure(StoreUnavailable(operation="get", reason=unavailable_reason(result)))
    response = result.unwrap()
    if response.status == NOT_FOUND:
        return Failure(NotFound(kind="object", name=name))
    if response.status != OK:
        return Failure(StoreUnavailable(operation="get", reason=unavailable_reason(result)))
    return Success(response.body)
