"""Helpers of the tests of the stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import json
from typing import Any

import httpx

from bench.processes import RunningProcess
from stand_ins.content import block_hashes, split_blocks

MODEL = "claims"
VERSION = "v1"
SALT = "salt-of-one-customer"
ENGINE_ARGUMENTS = ("--model", "claims:v1:letters", "--scale", "0")
LONG_PROMPT = "".join(f"dossier line {n:06d};" for n in range(300)) + " eligible?"


def completion(request_id: str, **changes: Any) -> dict[str, Any]:
    """Return the body of a completion request."""
    body: dict[str, Any] = {
        "request_id": request_id,
        "model": MODEL,
        "adapter": "",
        "weight_version": VERSION,
        "prompt": LONG_PROMPT,
        "max_tokens": 100,
        "cache_salt": SALT,
        "priority": 5,
        "deadline": 30.0,
        "first_token": 0,
        "kept": None,
    }
    return body | changes


def hashes_of(prompt: str, salt: str = SALT) -> list[str]:
    """Return the block hashes of a prompt."""
    return block_hashes(salt, split_blocks(prompt.encode())[0])


async def read_events(
    client: httpx.AsyncClient, url: str, body: dict[str, Any]
) -> list[dict[str, Any]]:
    """Send a completion request and return the JSON events of its answer."""
    events: list[dict[str, Any]] = []
    async with client.stream("POST", f"{url}/v1/completions", json=body) as response:
        response.raise_for_status()
        async for line in response.aiter_lines():
            if line.startswith("data: {"):
                events.append(json.loads(line.removeprefix("data: ")))
    return events


def texts(events: list[dict[str, Any]]) -> tuple[str, ...]:
    """Return the token texts of events."""
    return tuple(event["t"] for event in events if "t" in event)


async def set_fault(
    client: httpx.AsyncClient, process: RunningProcess, fault: str, **values: Any
) -> None:
    """Activate or deactivate a fault of a stand-in."""
    url = f"{process.url}/control"
    response = await client.post(url, json={"fault": fault, **values})
    response.raise_for_status()


async def counters(client: httpx.AsyncClient, process: RunningProcess) -> Any:
    """Return the counters of a stand-in."""
    return (await client.get(f"{process.url}/control")).json()["counters"]


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll a condition until it is true; fail after at least 30 s."""
    for _ in range(3000):
        if await condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not become true in time")


async def wait_for_running(
    client: httpx.AsyncClient, engine: RunningProcess, *names: str
) -> None:
    """Wait until exactly these requests are in an engine."""

    async def are_running() -> bool:
        found: bool = (await counters(client, engine))["running"] == sorted(names)
        return found

    await wait_until(are_running)


async def wait_for_watch(client: httpx.AsyncClient, platform: RunningProcess) -> None:
    """Wait until the platform has exactly one waiting watch."""

    async def is_waiting() -> bool:
        found: bool = (await counters(client, platform))["waiting"] == 1
        return found

    await wait_until(is_waiting)
