"""Validates a call and makes its job, before anything is sent to a target."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b, sha256
from typing import Final

from pydantic import ValidationError

from gypsumsail.core.errors import InvalidRequestError
from gypsumsail.document.models import DocumentInForce, ServiceDocument
from gypsumsail.entry.models import (
    CallHead,
    CompletionBody,
    Job,
    ModelJob,
    PlainJob,
    RouteMatch,
)
from gypsumsail.entry.resolve import ApiKeyIndex, match_model, match_plain_service

FINGERPRINT_BYTES: Final = 16


class RequestValidator:
    """Validates calls against the documents in force and makes their jobs."""

    def __init__(self, documents: Callable[[], Iterable[DocumentInForce]]) -> None:
        self.documents = documents
        self.key_index = ApiKeyIndex(())

    def refresh(self) -> None:
        """Rebuild the key index; called whenever the documents in force change."""
        self.key_index = ApiKeyIndex(self.documents())

    def route_matches(self, head: CallHead) -> list[RouteMatch]:
        """Return the routes that the call matches, before its body is read.

        Raises
        ------
        RequestError
            The API key or the path is unknown.
        """
        return self.key_index.route_matches(head.api_key, head.path)

    def make_job(
        self,
        request_id: str,
        head: CallHead,
        route_matches: list[RouteMatch],
        body: bytes,
        now: float,
    ) -> Job:
        """Return the job for a call.

        Raises
        ------
        RequestError
            The call is malformed, or the model is unknown.
        """
        plain = match_plain_service(route_matches)
        if plain is not None:
            return self._plain_job(request_id, head, plain, body, now)
        return self._model_job(request_id, head, route_matches, body, now)

    def _plain_job(
        self,
        request_id: str,
        head: CallHead,
        route_match: RouteMatch,
        body: bytes,
        now: float,
    ) -> PlainJob:
        digest = _digest(head, body)
        return PlainJob(
            request_id=request_id,
            head=head,
            route_match=route_match,
            priority=_priority(head, route_match),
            accepted_at=now,
            deadline_at=now + _timeout_seconds(head, route_match.document.document),
            fingerprint=_fingerprint(route_match, "", digest),
            request_digest=digest,
            body=body,
        )

    def _model_job(
        self,
        request_id: str,
        head: CallHead,
        route_matches: list[RouteMatch],
        body: bytes,
        now: float,
    ) -> ModelJob:
        if head.method != "POST":
            raise InvalidRequestError("completions must be requested with POST")
        parsed = parse_completion(body)
        found = match_model(route_matches, parsed.model, parsed.adapter)
        route_match = found.route_match
        digest = _digest(head, body)
        return ModelJob(
            request_id=request_id,
            head=head,
            route_match=route_match,
            priority=_priority(head, route_match),
            accepted_at=now,
            deadline_at=now + _timeout_seconds(head, route_match.document.document),
            fingerprint=_fingerprint(
                route_match,
                found.model.weight_version,
                sha256(parsed.prompt.encode()).digest(),
            ),
            request_digest=digest,
            model=found.model,
            adapter=found.adapter,
            body=parsed,
        )


def parse_completion(body: bytes) -> CompletionBody:
    """Return the validated body of a completions call.

    Raises
    ------
    InvalidRequestError
        The body is invalid; the message lists each finding with its field.
    """
    try:
        parsed = CompletionBody.model_validate_json(body)
    except ValidationError as error:
        findings = [
            f"{'.'.join(str(part) for part in item['loc']) or 'body'}: {item['msg']}"
            for item in error.errors(include_input=False, include_url=False)
        ]
        raise InvalidRequestError("; ".join(findings)) from None
    try:
        parsed.prompt.encode()
    except UnicodeEncodeError:
        raise InvalidRequestError("prompt: is not valid Unicode text") from None
    return parsed


def _priority(head: CallHead, route_match: RouteMatch) -> int:
    """Return the priority that applies to a call.

    This is the requested one, or the customer's most urgent permitted one if that is
    less urgent. Lower numbers are more urgent.
    """
    requested = head.priority
    if requested is None:
        requested = route_match.document.document.default_priority
    return max(requested, route_match.customer.max_priority)


def _timeout_seconds(head: CallHead, document: ServiceDocument) -> float:
    if head.deadline is None:
        return document.deadlines.default
    return min(head.deadline, document.deadlines.longest)


def _digest(head: CallHead, body: bytes) -> bytes:
    digest = sha256()
    for part in (head.method, head.path, head.query, head.content_type):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body)
    return digest.digest()


def _fingerprint(route_match: RouteMatch, version: str, content: bytes) -> str:
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (route_match.service, route_match.customer.name, version):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(content)
    return digest.hexdigest()
