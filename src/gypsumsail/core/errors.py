"""Exception hierarchy of gypsumsail, with stable error codes."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar


class RunState(StrEnum):
    """Whether a target ran a request."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


class GypsumsailError(Exception):
    """Base of all errors that gypsumsail raises."""

    code: ClassVar[str] = "internal"


class TransportError(GypsumsailError):
    """A call to another process failed.

    Attributes
    ----------
    sent
        Whether any byte of the request may have left this process. Only if this
        is false is it certain that the called process did not act on it.
    """

    code: ClassVar[str] = "transport"

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class UnavailableError(TransportError):
    """The called process responded that it cannot serve the call now."""

    code: ClassVar[str] = "unavailable"


class RequestError(GypsumsailError):
    """A caller's request failed.

    Attributes
    ----------
    status
        HTTP status code of the response.
    run_state
        Whether a target ran the request.
    retry_after
        Seconds after which the caller may retry, or ``None`` if no time is known.
    """

    code: ClassVar[str] = "request"
    status: ClassVar[int] = 500

    def __init__(
        self,
        message: str,
        *,
        run_state: RunState = RunState.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.run_state = run_state
        self.retry_after = retry_after


class InvalidRequestError(RequestError):
    """The request is malformed."""

    code: ClassVar[str] = "invalid_request"
    status: ClassVar[int] = 400


class HttpVersionError(RequestError):
    """The caller's version of HTTP has no answers in chunks, which a stream needs."""

    code: ClassVar[str] = "http_version"
    status: ClassVar[int] = 505


class BodyTooLargeError(RequestError):
    """The request body is larger than the limit."""

    code: ClassVar[str] = "body_too_large"
    status: ClassVar[int] = 413


class UnauthorizedError(RequestError):
    """The API key is unknown."""

    code: ClassVar[str] = "unauthorized"
    status: ClassVar[int] = 401


class UnknownServiceError(RequestError):
    """No active service document contains the service or model."""

    code: ClassVar[str] = "unknown_service"
    status: ClassVar[int] = 404


class OverloadedError(RequestError):
    """The request was shed by a limit or because its deadline cannot be met."""

    code: ClassVar[str] = "overloaded"
    status: ClassVar[int] = 429


class NoTargetError(RequestError):
    """No target can serve the request now."""

    code: ClassVar[str] = "no_target"
    status: ClassVar[int] = 503


class DeadlineError(RequestError):
    """The deadline passed before the answer was complete."""

    code: ClassVar[str] = "deadline"
    status: ClassVar[int] = 504


class TargetLostError(RequestError):
    """The target was lost and the answer could not be completed elsewhere."""

    code: ClassVar[str] = "target_lost"
    status: ClassVar[int] = 502


class DuplicateRequestError(RequestError):
    """The idempotency key is in use or has already been used."""

    code: ClassVar[str] = "duplicate"
    status: ClassVar[int] = 409


class ReservationUnavailableError(RequestError):
    """The single run of a non-repeatable request could not be reserved.

    Also raised if the reservation expired before the request was sent.
    """

    code: ClassVar[str] = "reservation_unavailable"
    status: ClassVar[int] = 503


class StoppingError(RequestError):
    """The process stops before the request is sure to be answered."""

    code: ClassVar[str] = "stopping"
    status: ClassVar[int] = 503


class StreamUnknownError(RequestError):
    """It is not known which build of the targets began the stream."""

    code: ClassVar[str] = "stream_unknown"
    status: ClassVar[int] = 503


class CrashSuspectError(RequestError):
    """The request crashed the targets that ran it and is not retried."""

    code: ClassVar[str] = "crashes_targets"
    status: ClassVar[int] = 422
