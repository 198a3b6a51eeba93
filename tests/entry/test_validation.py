"""Tests of the validation of a call before anything is sent to a target."""

from __future__ import annotations

import json
from typing import Any

import pytest

from gypsumsail.core.errors import (
    InvalidRequestError,
    RequestError,
    RunState,
    UnauthorizedError,
    UnknownServiceError,
)
from gypsumsail.document.models import Route, ServiceKind
from gypsumsail.entry.head import read_head
from gypsumsail.entry.models import Job, ModelJob, PlainJob
from gypsumsail.entry.validation import RequestValidator
from tests.common import make_customer, make_document

COMPLETION = {"model": "dossier", "prompt": "Vol AF 1234 annulé", "max_tokens": 8}


def make_scope(
    path: str = "/v1/completions", *, key: str = "key-1", **headers: str
) -> dict[str, Any]:
    pairs = [(b"authorization", f"Bearer {key}".encode())]
    pairs += [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return {
        "method": "POST",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": pairs,
    }


def make_validator() -> RequestValidator:
    other = make_customer("other", "key-2")
    documents = [
        make_document(customers=(make_customer(), other)),
        make_document(
            "certificates",
            kind=ServiceKind.PLAIN,
            routes=(
                Route(path="/certificates", repeatable=False),
                Route(path="/certificates/list", repeatable=True),
            ),
        ),
    ]
    validator = RequestValidator(lambda: documents)
    validator.refresh()
    return validator


def accept(scope: dict[str, Any], body: bytes) -> Job:
    validator = make_validator()
    head = read_head(scope)
    return validator.make_job("r1", head, validator.route_matches(head), body, 100.0)


def accept_completion(scope: dict[str, Any]) -> Job:
    return accept(scope, json.dumps(COMPLETION).encode())


def test_completion_is_routed_to_the_service_with_the_model() -> None:
    job = accept_completion(make_scope(x_deadline="5"))
    assert isinstance(job, ModelJob)
    assert job.route_match.service == "claims"
    assert job.deadline_at == 105.0


def test_adapter_name_resolves_to_its_version_in_force() -> None:
    body = json.dumps({**COMPLETION, "adapter": "letters"}).encode()
    job = accept(make_scope(), body)
    assert isinstance(job, ModelJob)
    # `make_document` has version a1 of the adapter.
    assert job.adapter == "letters@a1"


def test_customer_cannot_exceed_its_maximum_priority() -> None:
    # `make_customer` sets the maximum priority to 3.
    assert accept_completion(make_scope(x_priority="0")).priority == 3


def test_longest_matching_route_decides_repeatability() -> None:
    create = accept(make_scope("/certificates/new"), b"{}")
    listing = accept(make_scope("/certificates/list/2026"), b"")
    assert isinstance(create, PlainJob)
    assert not create.route_match.route.repeatable
    assert listing.route_match.route.repeatable


def test_route_matches_only_whole_path_segments() -> None:
    with pytest.raises(UnknownServiceError):
        accept(make_scope("/certificatesx"), b"")


def test_fingerprint_depends_on_the_customer() -> None:
    first = accept_completion(make_scope())
    second = accept_completion(make_scope(key="key-2"))
    assert first.fingerprint != second.fingerprint


@pytest.mark.parametrize(
    ("scope", "body", "error"),
    [
        (make_scope(key="wrong"), b"{}", UnauthorizedError),
        (make_scope(key=""), b"{}", UnauthorizedError),
        (make_scope("/nowhere"), b"{}", UnknownServiceError),
        (make_scope("/certificates/%2e%2e/x"), b"", InvalidRequestError),
        (make_scope(x_priority="10"), b"", InvalidRequestError),
        (make_scope(x_deadline="nan"), b"", InvalidRequestError),
        (make_scope(idempotency_key="k" * 201), b"", InvalidRequestError),
        (make_scope(), b"not json", InvalidRequestError),
        (make_scope(), b'{"model": "dossier"}', InvalidRequestError),
        (make_scope(), b'{"model":"dossier","prompt":"\\ud800"}', InvalidRequestError),
        (make_scope(), b'{"model":"x","prompt":"a"}', UnknownServiceError),
    ],
)
def test_invalid_call_is_refused_as_not_run(
    scope: dict[str, Any], body: bytes, error: type[RequestError]
) -> None:
    with pytest.raises(error) as caught:
        accept(scope, body)
    assert caught.value.run_state is RunState.NOT_RUN


def test_all_findings_of_a_body_are_reported() -> None:
    with pytest.raises(InvalidRequestError) as caught:
        accept(make_scope(), b'{"prompt": "", "max_tokens": 0}')
    message = str(caught.value)
    assert all(place in message for place in ("model:", "prompt:", "max_tokens:"))
