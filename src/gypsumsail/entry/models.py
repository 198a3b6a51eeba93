"""Requests of callers as the entry's parts pass them on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from gypsumsail.document.models import Customer, DocumentInForce, Model, Route
from gypsumsail.entry.const import DEFAULT_ANSWER_TOKENS, MAX_ANSWER_TOKENS


class CompletionBody(BaseModel):
    """Body of a completions call; validated at the border."""

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
    """What a call says before its body.

    Attributes
    ----------
    priority
        Asked priority, 0 the most urgent; ``None`` when not named.
    deadline
        Seconds that the caller gives; ``None`` when not named.
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
    """Service, route and customer that a call was resolved to."""

    document: DocumentInForce
    route: Route
    customer: Customer

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self.document.document.service


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A call that was accepted for running.

    Attributes
    ----------
    deadline_at
        Monotonic time at which the whole answer must be out.
    fingerprint
        Identifies what the call asks for, whoever sends it again.
    body_digest
        Digest of the body, to tell whether a key is used again for other content.
    """

    request_id: str
    head: CallHead
    route_match: RouteMatch
    priority: int
    accepted_at: float
    deadline_at: float
    fingerprint: str
    body_digest: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelJob(Job):
    """A job for a model engine.

    Attributes
    ----------
    adapter
        Identity of the adapter version in force; empty for none.
    """

    model: Model
    adapter: str
    body: CompletionBody


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainJob(Job):
    """A job for a plain service."""

    body: bytes
