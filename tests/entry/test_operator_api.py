"""Tests of the operator API."""

from __future__ import annotations

import httpx
from pydantic import TypeAdapter
import pytest

from gypsumsail.entry.operator_api import create_operator_api
from gypsumsail.entry.operator_models import EntryStatus, InForce
from gypsumsail.timeline.api_models import PageModel
from tests.entry.common import OPERATOR_KEY, FakeStatusSource
from tests.timeline.common import FakeClock

AUTHORIZATION = {"Authorization": f"Bearer {OPERATOR_KEY}"}


def open_client(source: FakeStatusSource) -> httpx.AsyncClient:
    api = create_operator_api(source, OPERATOR_KEY, FakeClock())
    transport = httpx.ASGITransport(app=api)  # type: ignore[arg-type]
    return httpx.AsyncClient(transport=transport, base_url="http://entry")


async def test_responses_match_their_types() -> None:
    source = FakeStatusSource()
    async with open_client(source) as client:
        client.headers.update(AUTHORIZATION)
        in_force = await client.get("/operator/in-force")
        status = await client.get("/operator/status")
        page = await client.get("/operator/timeline", params={"after": 1})
        metrics = await client.get("/metrics")
        bad = await client.get("/operator/timeline", params={"after": "x"})

    assert TypeAdapter(InForce).validate_json(in_force.content) == source.in_force(0)
    assert TypeAdapter(EntryStatus).validate_json(status.content).entry == "entry-1"
    row = PageModel.model_validate_json(page.content)
    assert [(event.sequence, event.request) for event in row.events] == [(2, "r2")]
    assert metrics.text == "requests_total 1\n"
    assert metrics.headers["content-type"].startswith("text/plain; version=0.0.4")
    assert bad.status_code == 400


@pytest.mark.parametrize(
    "authorization",
    [None, OPERATOR_KEY, "Bearer ", "Bearer wrong", f"Basic {OPERATOR_KEY}"],
)
async def test_requests_without_the_operator_key_are_rejected(
    authorization: str | None,
) -> None:
    headers = {} if authorization is None else {"Authorization": authorization}
    async with open_client(FakeStatusSource()) as client:
        client.headers.update(headers)
        for path in ("in-force", "status", "timeline"):
            response = await client.get(f"/operator/{path}")
            assert response.status_code == 401
            assert "claims" not in response.text
        assert (await client.get("/metrics")).status_code == 401


async def test_health_and_readiness_need_no_operator_key() -> None:
    source = FakeStatusSource()
    async with open_client(source) as client:
        assert (await client.get("/health")).status_code == 200
        assert (await client.get("/ready")).status_code == 200
        source.is_ready = False
        answer = await client.get("/ready")

    assert answer.status_code == 503
    assert answer.json()["reason"] == "full"
