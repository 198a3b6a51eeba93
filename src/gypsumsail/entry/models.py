"""Requests of callers as they are passed between the components of an entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from gypsumsail.document.models import Customer, DocumentInForce, Model, Route
from gypsumsail.entry.const import DEFAULT_ANSWER_TOKENS, MAX_ANSWER_TOKENS


class CompletionBody(BaseModel):
    """Body of a completions call, validated on receipt."""

    model_config = ConfigDict(strict=True, extra="ignore", frozen=True)

    model: Annotated[str, Field(min_length=1, max_length=200)]
    prompt: Annotated[str, Field(min_length=1)]
    max_tokens: Annotated[int, Field(ge=1, le=MAX_ANSWER_TOKENS)] = (
        DEFAULT_ANSWER_TOKENS
    )
    stream: bool = False
    adapter: Annotated[str, Field(max_length=200)] = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHead:
    """Request line and headers of a call.

    Attributes
    ----------
    priority
        Requested priority, where 0 is the most urgent; ``None`` if not given.
    deadline
        Requested timeout, a duration in seconds that starts at `Job.accepted_at`;
        ``None`` if not given.
    """

    method: str
    path: str
    query: str
    content_type: str
    api_key: str
    idempotency_key: str
    priority: int | None
    deadline: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteMatch:
    """Service document, route and customer that a call was resolved to.

    Attributes
    ----------
    document
        Document in force with its version; its ``document`` holds the parsed content.
    """

    document: DocumentInForce
    route: Route
    customer: Customer

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self.document.document.service


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A validated call, with the limits that apply to its execution.

    Attributes
    ----------
    accepted_at, deadline_at
        Monotonic times at which the call was validated, and by which the answer must
        be complete.
    fingerprint
        Identifies requests that are treated as the same when poison requests are
        detected. For a model job, these are the requests of one customer to one
        service with the same prompt and weight version; for a plain call, those of
        one customer to one service with the same request digest.
    request_digest
        SHA-256 digest of the method, path, query, content type and body, to detect
        an idempotency key that is reused for another request.
    """

    request_id: str
    head: CallHead
    route_match: RouteMatch
    priority: int
    accepted_at: float
    deadline_at: float
    fingerprint: str
    request_digest: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelJob(Job):
    """A job for a model engine.

    Attributes
    ----------
    adapter
        Identity of the adapter version in force; empty if no adapter is used.
    """

    model: Model
    adapter: str
    body: CompletionBody


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainJob(Job):
    """A job for a plain service: an HTTP service without models, called as it is."""

    body: bytes
