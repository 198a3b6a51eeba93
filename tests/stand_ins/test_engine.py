"""Tests of the engine stand-in."""

from __future__ import annotations

import asyncio
from typing import Any

import httpx
import pytest

from bench.processes import Launcher
from stand_ins.expected import expected_answer
from tests.stand_ins.common import (
    ENGINE_ARGUMENTS,
    LONG_PROMPT,
    MODEL,
    SALT,
    VERSION,
    completion,
    counters,
    hashes_of,
    read_events,
    set_fault,
    texts,
    wait_for_running,
    wait_until,
)

SLOW_PREFILL_ARGUMENTS = ("--model", "claims:v1", "--prefill-tokens", "1")


def expected_tokens(prompt: str = LONG_PROMPT, **changes: Any) -> tuple[str, ...]:
    values: dict[str, Any] = {
        "max_tokens": 100,
        "model": MODEL,
        "adapter": "",
        "weight_version": VERSION,
        "cache_salt": SALT,
    }
    return expected_answer(prompt=prompt, **(values | changes))


async def test_cached_resumed_and_limited_answers_are_correct(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    engine = await launcher.start_module("e", "stand_ins.engine", ENGINE_ARGUMENTS)
    first = await read_events(client, engine.url, completion("a"))
    assert texts(first) == expected_tokens()
    assert first[-1]["cached_tokens"] == 0
    again = await read_events(client, engine.url, completion("b"))
    assert texts(again) == expected_tokens()
    assert again[-1]["cached_tokens"] == 256 * len(hashes_of(LONG_PROMPT))
    resumed = await read_events(client, engine.url, completion("c", first_token=3))
    assert resumed[0]["i"] == 3
    assert texts(resumed) == expected_tokens()[3:]
    limited = await read_events(client, engine.url, completion("d", max_tokens=2))
    assert limited[-1]["end"] == "length"
    other = await read_events(client, engine.url, completion("e", cache_salt="other"))
    assert other[-1]["cached_tokens"] == 0
    assert texts(other) != expected_tokens()


@pytest.mark.parametrize(
    ("changes", "error"),
    [
        ({"weight_version": "v0"}, "version"),
        ({"model": "none"}, "model"),
        ({"adapter": "none"}, "model"),
    ],
)
async def test_request_for_an_unloaded_model_is_refused_before_it_runs(
    launcher: Launcher, client: httpx.AsyncClient, changes: dict[str, str], error: str
) -> None:
    engine = await launcher.start_module("e", "stand_ins.engine", ENGINE_ARGUMENTS)
    url = f"{engine.url}/v1/completions"
    answer = await client.post(url, json=completion("a", **changes))
    assert (answer.status_code, answer.json()) == (409, {"error": error})
    assert (await counters(client, engine))["runs_by_id"] == {}


async def test_cancelled_duplicate_expired_and_excess_requests(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    arguments = (*SLOW_PREFILL_ARGUMENTS, "--batch-limit", "1", "--queue-limit", "0")
    engine = await launcher.start_module("e", "stand_ins.engine", arguments)
    body = completion("a")
    running = asyncio.create_task(read_events(client, engine.url, body))
    await wait_for_running(client, engine, "a")
    url = f"{engine.url}/v1/completions"
    assert (await client.post(url, json=body)).json() == {"error": "id"}
    full = await client.post(url, json=completion("b"))
    assert (full.status_code, full.json()) == (503, {"error": "full"})
    await client.post(f"{engine.url}/v1/cancel", json={"request_id": "a"})
    assert (await running)[-1]["error"] == "cancelled"
    expired = await read_events(client, engine.url, completion("c", deadline=-1))
    assert (expired[-1]["error"], expired[-1]["run"]) == ("deadline", "not run")


async def test_requests_start_by_priority(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    arguments = (*SLOW_PREFILL_ARGUMENTS, "--batch-limit", "1")
    engine = await launcher.start_module("e", "stand_ins.engine", arguments)
    order: list[str] = []

    async def call(name: str, priority: int) -> None:
        body = completion(name, priority=priority, prompt=name, max_tokens=1)
        await read_events(client, engine.url, body)
        order.append(name)

    first = asyncio.create_task(read_events(client, engine.url, completion("first")))
    await wait_for_running(client, engine, "first")
    calls = [asyncio.create_task(call("late", 9))]
    await wait_for_running(client, engine, "first", "late")
    calls.append(asyncio.create_task(call("urgent", 0)))
    await wait_for_running(client, engine, "first", "late", "urgent")
    await client.post(f"{engine.url}/v1/cancel", json={"request_id": "first"})
    await asyncio.gather(first, *calls)
    assert order == ["urgent", "late"]


async def test_imported_blocks_determine_the_answer(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    engine = await launcher.start_module("e", "stand_ins.engine", ENGINE_ARGUMENTS)
    other = await launcher.start_module("o", "stand_ins.engine", ENGINE_ARGUMENTS)
    store = await launcher.start_module("s", "stand_ins.store")
    await read_events(client, engine.url, completion("a"))
    hashes = hashes_of(LONG_PROMPT)
    order = {"cache_salt": SALT, "weight_version": VERSION, "hashes": hashes}
    order |= {"generation": "g1", "store_url": store.url, "tier": "memory"}
    result = (await client.post(f"{engine.url}/cache/export", json=order)).json()
    assert result == {"stored": hashes, "bytes_sent": len(hashes) * 65536}
    kept = {"store_url": store.url, "names": [f"{h}.g1" for h in hashes]}
    imported = await read_events(client, other.url, completion("b", kept=kept))
    assert texts(imported) == expected_tokens()
    assert imported[-1]["imported_tokens"] == 256 * len(hashes)
    reversed_names = {"store_url": store.url, "names": list(reversed(kept["names"]))}
    third = await launcher.start_module("t", "stand_ins.engine", ENGINE_ARGUMENTS)
    mismatched = await read_events(
        client, third.url, completion("c", kept=reversed_names)
    )
    assert texts(mismatched) != expected_tokens()
    missing = {"store_url": store.url, "names": [kept["names"][0], "none.g1"]}
    fourth = await launcher.start_module("f", "stand_ins.engine", ENGINE_ARGUMENTS)
    partial = await read_events(client, fourth.url, completion("d", kept=missing))
    assert texts(partial) == expected_tokens()
    assert partial[-1]["imported_tokens"] == 256


async def test_cache_events_are_delayed_and_lost_and_the_cache_is_bounded(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    arguments = (*ENGINE_ARGUMENTS, "--cache-tokens", "1024", "--event-delay", "0.05")
    engine = await launcher.start_module("e", "stand_ins.engine", arguments)
    await read_events(client, engine.url, completion("a"))
    path = f"{engine.url}/cache/events"
    late = (await client.get(f"{path}?after=0&wait=20")).json()
    assert [event["kind"] for event in late["events"]] == ["stored", "evicted"]
    assert late["next"] == 2
    contents = (await client.get(f"{engine.url}/cache/contents")).json()
    assert len(contents["events"][0]["hashes"]) == 4
    await set_fault(client, engine, "gap_events", share=1.0)
    await read_events(client, engine.url, completion("b", prompt="x" * 2048))
    await set_fault(client, engine, "gap_events", on=False)
    await read_events(client, engine.url, completion("c", prompt="y" * 2048))
    after = (await client.get(f"{path}?after=2&wait=20")).json()
    assert after["events"][0]["sequence"] == 5
    await set_fault(client, engine, "clear_cache")
    late_arguments = (*ENGINE_ARGUMENTS, "--event-delay", "3600")
    other = await launcher.start_module("o", "stand_ins.engine", late_arguments)
    await read_events(client, other.url, completion("a"))
    not_yet = await client.get(f"{other.url}/cache/events?after=0&wait=0.1")
    assert not_yet.json()["events"] == []
    emptied = (await client.get(f"{engine.url}/cache/contents")).json()
    assert emptied["events"][0]["hashes"] == []


async def test_faults_mislabel_reset_and_crash_streams(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    engine = await launcher.start_module("e", "stand_ins.engine", ENGINE_ARGUMENTS)
    await set_fault(client, engine, "cross_answers")
    events = await read_events(client, engine.url, completion("a"))
    assert {event["id"] for event in events} == {"a", "another"}
    await set_fault(client, engine, "cross_answers", on=False)
    await set_fault(client, engine, "reset_mid_answer", after=2)
    with pytest.raises(httpx.RemoteProtocolError):
        await read_events(client, engine.url, completion("b"))
    await set_fault(client, engine, "reset_mid_answer", on=False)
    await set_fault(client, engine, "crash_on", marker="poison")
    assert await read_events(client, engine.url, completion("c"))
    with pytest.raises(httpx.HTTPError):
        await read_events(client, engine.url, completion("d", prompt="poison"))
    assert await engine.process.wait() == 9


async def test_order_loads_weights_changes_the_role_and_checks_the_fence(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    rate = ("--weight-bytes-per-second", "1e6")
    platform = await launcher.start_module("p", "stand_ins.platform", rate)
    weights = ("--platform-url", platform.url, "--weight-bytes", "200000")
    arguments = (*ENGINE_ARGUMENTS, *weights, "--checks-fence")
    engine = await launcher.start_module("e", "stand_ins.engine", arguments)
    models = [{"model": MODEL, "weight_version": "v2", "adapters": []}]
    order: dict[str, Any] = {"fence": 7, "role": "serve", "models": models}
    taken = await client.post(f"{engine.url}/state", json=order)
    assert (taken.status_code, taken.json()["loading"]) == (202, models)
    assert taken.json()["models"][0]["weight_version"] == VERSION
    old = await client.post(f"{engine.url}/state", json=order | {"fence": 6})
    assert (old.status_code, old.json()["highest_fence"]) == (409, 7)

    async def has_loaded() -> bool:
        state = (await client.get(f"{engine.url}/state")).json()
        return bool(state["models"] == models and not state["loading"])

    await wait_until(has_loaded)
    assert (await counters(client, platform))["weight_loads"] == 1
    await client.post(f"{engine.url}/state", json=order | {"role": "standby"})
    body = completion("a", weight_version="v2")
    standby = await client.post(f"{engine.url}/v1/completions", json=body)
    assert standby.json() == {"error": "role"}


async def test_load_report_is_stale(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    arguments = (*ENGINE_ARGUMENTS, "--load-lag", "3600")
    engine = await launcher.start_module("e", "stand_ins.engine", arguments)
    await read_events(client, engine.url, completion("a"))
    report = (await client.get(f"{engine.url}/load")).json()
    assert report["cache_used"] == 0
    assert report["age"] > 0
