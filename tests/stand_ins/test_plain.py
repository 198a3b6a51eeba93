"""Tests of the plain service stand-in."""

from __future__ import annotations

import hashlib

import httpx
import pytest

from bench.processes import Launcher
from tests.stand_ins.common import counters, set_fault


async def test_runs_are_counted_by_id_and_body(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    plain = await launcher.start_module("plain", "stand_ins.plain")
    url = f"{plain.url}/certificates/7"
    for name in ("a", "a", "b"):
        answer = await client.post(url, content=b"x", headers={"X-Request-Id": name})
        assert answer.headers["x-request-id"] == name
    found = await counters(client, plain)
    assert found["runs_by_id"] == {"a": 2, "b": 1}
    assert found["runs_by_body"] == {hashlib.sha256(b"x").hexdigest(): 3}


async def test_faults_mislabel_reset_and_crash_calls(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    plain = await launcher.start_module("plain", "stand_ins.plain")
    headers = {"X-Request-Id": "a"}
    await set_fault(client, plain, "cross_answers")
    crossed = await client.get(f"{plain.url}/p", headers=headers)
    assert crossed.headers["x-request-id"] == "another"
    await set_fault(client, plain, "cross_answers", on=False)
    await set_fault(client, plain, "reset_mid_answer", after=0)
    with pytest.raises(httpx.RemoteProtocolError):
        await client.get(f"{plain.url}/p", headers=headers)
    assert (await counters(client, plain))["runs"] == 2
    await set_fault(client, plain, "crash_on", marker="poison")
    with pytest.raises(httpx.HTTPError):
        await client.post(f"{plain.url}/p", content=b"poison", headers=headers)
    assert await plain.process.wait() == 9
