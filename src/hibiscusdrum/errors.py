"""Exception types, one for each kind of failure that hibiscusdrum reports.

An error carries named values instead of free text, so that callers can act on the values and the message can
always name the invalid one. ``not_run`` is a guarantee: it is true only for errors that are raised before any
byte of the request reached a target, or for which the target itself reported that the request did not run.
"""

from __future__ import annotations

from typing import Any, ClassVar


class HibiscusdrumError(Exception):
    """Base class of all errors.

    Parameters
    ----------
    **values
        One value for each name in ``fields``.

    Attributes
    ----------
    code : str
        Stable identifier, used on the wire and in logs.
    http_status : int
        Status of the HTTP response that reports this error.
    not_run : bool
        Whether the error guarantees that the request did not run.
    fields : tuple of str
        Names of the values that the error carries.
    template : str
        Format string of the message, filled from the values.
    """

    code: ClassVar[str] = "internal_error"
    http_status: ClassVar[int] = 500
    not_run: ClassVar[bool] = False
    fields: ClassVar[tuple[str, ...]] = ()
    template: ClassVar[str] = "internal error"

    def __init__(self, **values: Any) -> None:
        if set(values) != set(self.fields):
            raise TypeError(f"{type(self).__name__} takes {self.fields}, got {sorted(values)}")
        for name, value in values.items():
            setattr(self, name, value)
        self.values = values
        super().__init__(self.template.format(**values))

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and self.values == other.values

    def __hash__(self) -> int:
        return hash((self.code, str(self)))


class InvalidArgument(HibiscusdrumError):
    """A value from a caller or operator is malformed or out of range."""

    code = "invalid_argument"
    http_status = 400
    not_run = True
    fields = ("name", "value", "expected")
    template = "{name}={value!r} is not valid: expected {expected}"


class InvalidSettings(HibiscusdrumError):
    """One or more settings are invalid; ``problems`` lists all of them."""

    code = "invalid_settings"
    http_status = 400
    not_run = True
    fields = ("problems",)
    template = "invalid settings: {problems}"


class InvalidFrame(HibiscusdrumError):
    """A message from a peer or caller could not be decoded."""

    code = "invalid_frame"
    http_status = 400
    not_run = True
    fields = ("reason", "frame")
    template = "message {frame!r} cannot be decoded: {reason}"


class Unauthorized(HibiscusdrumError):
    """The shared key is missing or wrong."""

    code = "unauthorized"
    http_status = 401
    not_run = True
    fields = ("party",)
    template = "{party} did not present the shared key"


class BodyTooLarge(HibiscusdrumError):
    """The request body exceeds the configured limit."""

    code = "body_too_large"
    http_status = 413
    not_run = True
    fields = ("size", "limit")
    template = "body of {size} bytes exceeds the limit of {limit} bytes"


class UnknownService(HibiscusdrumError):
    """No route exists for the service."""

    code = "unknown_service"
    http_status = 404
    not_run = True
    fields = ("service",)
    template = "service {service!r} has no route"


class UnknownTenant(HibiscusdrumError):
    """No client account exists under the tenant's name."""

    code = "unknown_tenant"
    http_status = 404
    not_run = True
    fields = ("tenant",)
    template = "tenant {tenant!r} does not exist"


class NotFound(HibiscusdrumError):
    """The named resource does not exist."""

    code = "not_found"
    http_status = 404
    not_run = True
    fields = ("kind", "name")
    template = "{kind} {name!r} does not exist"


class WrongRegion(HibiscusdrumError):
    """The request arrived in a region that is not one of the tenant's home regions."""

    code = "wrong_region"
    http_status = 421
    not_run = True
    fields = ("tenant", "here", "regions")
    template = "tenant {tenant!r} is served in {regions}, not in {here!r}"


class Suspended(HibiscusdrumError):
    """The tenant's keys are being moved to another region."""

    code = "suspended"
    http_status = 503
    not_run = True
    fields = ("tenant",)
    template = "keys of tenant {tenant!r} are moving between regions"


class Moved(HibiscusdrumError):
    """Another node owns the key."""

    code = "moved"
    http_status = 421
    not_run = True
    fields = ("slice", "owner")
    template = "slice {slice} is owned by {owner!r}"


class NoOwner(HibiscusdrumError):
    """No node currently owns the key."""

    code = "no_owner"
    http_status = 503
    not_run = True
    fields = ("slice",)
    template = "slice {slice} has no owner"


class LeaseLost(HibiscusdrumError):
    """The node may not serve its keys because its lease is not valid."""

    code = "lease_lost"
    http_status = 503
    not_run = True
    fields = ("node",)
    template = "the lease of node {node!r} is not valid"


class Draining(HibiscusdrumError):
    """The node or its failure domain is draining and accepts no new requests."""

    code = "draining"
    http_status = 503
    not_run = True
    fields = ("node",)
    template = "node {node!r} takes no new work"


class Overloaded(HibiscusdrumError):
    """The request was shed because of overload before it was sent to a target."""

    code = "overloaded"
    http_status = 429
    not_run = True
    fields = ("tenant", "request_class")
    template = "request of tenant {tenant!r}, class {request_class!r}, was shed"


class RetryBudgetSpent(HibiscusdrumError):
    """The tenant's retry budget does not allow another attempt."""

    code = "retry_budget_spent"
    http_status = 429
    not_run = True
    fields = ("tenant",)
    template = "retry budget of tenant {tenant!r} is spent"


class DeadlineExceeded(HibiscusdrumError):
    """The deadline passed before the request was sent to a target."""

    code = "deadline_exceeded"
    http_status = 504
    not_run = True
    fields = ("timeout_ms",)
    template = "deadline of {timeout_ms} ms passed before the request was sent"


class TargetRefused(HibiscusdrumError):
    """The target reported that it did not run the request."""

    code = "target_refused"
    http_status = 503
    not_run = True
    fields = ("target", "reason")
    template = "target {target!r} did not run the request: {reason}"


class TargetUnreachable(HibiscusdrumError):
    """No connection to the target could be opened; nothing was sent."""

    code = "target_unreachable"
    http_status = 502
    not_run = True
    fields = ("target",)
    template = "target {target!r} cannot be reached"


class NodeUnreachable(HibiscusdrumError):
    """No daemon answered: nothing was sent, or the daemon did not admit the request."""

    code = "node_unreachable"
    http_status = 502
    not_run = True
    fields = ("node",)
    template = "node {node!r} cannot be reached"


class OutcomeUnknown(HibiscusdrumError):
    """The request may or may not have run."""

    code = "outcome_unknown"
    http_status = 502
    not_run = False
    fields = ("request_id", "reason")
    template = "outcome of request {request_id} is unknown: {reason}"


class IncompleteAnswer(HibiscusdrumError):
    """The target's answer was shorter than its declared length."""

    code = "incomplete_answer"
    http_status = 502
    not_run = False
    fields = ("received", "declared")
    template = "answer ended after {received} of {declared} bytes"


class RevisionConflict(HibiscusdrumError):
    """A plan is based on a revision other than the one in force."""

    code = "revision_conflict"
    http_status = 409
    not_run = True
    fields = ("plan", "base", "current")
    template = "plan {plan!r} was made from revision {base}, current is {current}"


class StoreUnavailable(HibiscusdrumError):
    """The platform's table service or object store did not answer; a write may have taken effect."""

    code = "store_unavailable"
    http_status = 503
    not_run = False
    fields = ("operation", "reason")
    template = "store operation {operation!r} failed: {reason}"


class StoreConflict(HibiscusdrumError):
    """A conditional write found a version other than the expected one."""

    code = "store_conflict"
    http_status = 409
    not_run = True
    fields = ("keys",)
    template = "rows {keys} have changed"


class AddressInUse(HibiscusdrumError):
    """The address on which the process should listen is in use."""

    code = "address_in_use"
    http_status = 500
    not_run = True
    fields = ("address",)
    template = "address {address!r} is in use"


class DaemonRefused(HibiscusdrumError):
    """A daemon answered an operator's request with an error whose code is ``reason``."""

    code = "daemon_refused"
    http_status = 502
    not_run = False
    fields = ("status", "reason", "message")
    template = "{message} ({reason}, status {status})"


def _subclasses_by_code(base: type[HibiscusdrumError]) -> dict[str, type[HibiscusdrumError]]:
    """Return the direct subclasses by their codes."""
    return {cls.code: cls for cls in base.__subclasses__()}


BY_CODE: dict[str, type[HibiscusdrumError]] = _subclasses_by_code(HibiscusdrumError)


def from_wire(code: str, values: dict[str, Any]) -> HibiscusdrumError:
    """Restore an error that another process reported.

    Parameters
    ----------
    code : str
        Code of the error type.
    values : dict
        Values by field name.

    Returns
    -------
    HibiscusdrumError
        The typed error, or ``OutcomeUnknown``, which guarantees the least, if this version does not know the
        code or its fields.
    """
    cls = BY_CODE.get(code)
    if cls is not None and set(values) == set(cls.fields):
        return cls(**values)
    return OutcomeUnknown(request_id="", reason=f"unknown error code {code!r}")
