"""Helpers to start, call and inspect deployments in the end-to-end tests.

An entry is a gateway process. The plain service is an HTTP service without a model,
whose requests must not be repeated.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
import hashlib
import itertools
from pathlib import Path
import time
from typing import Any, Final

import httpx

from bench.callers import Callers, Outcome
from bench.deployment import OPERATOR_KEY, Deployment, Vm, async_bring_up
from bench.layouts import (
    CustomerLayout,
    Layout,
    ModelServiceLayout,
    PlainServiceLayout,
)
from bench.processes import Launcher, RunningProcess
from bench.traffic import Call, CallClass
from gypsumsail.routing.const import DEFAULT_POLICY
from stand_ins.content import natural_length

ZONES: Final = ("brest-hall", "rennes-hall", "lorient-hall")
CONDITION_TIMEOUT_SECONDS: Final = 45.0
POLL_INTERVAL_SECONDS: Final = 0.02
CALLER_TIMEOUT_SECONDS: Final = 40.0
BLOCK_BYTES: Final = 1024
LONG_ANSWER_TOKENS: Final = 60

SMALL_LAYOUT: Final = Layout(
    name="small",
    region="bzh-west",
    entry_zones=ZONES,
    long_service=ModelServiceLayout(
        service="claims",
        model="claims",
        engine_zones=ZONES,
        store_zone="rennes-hall",
        cache_tokens=6_000,
        link_bytes_per_second=60e6,
        step_seconds=0.01,
    ),
    short_service=ModelServiceLayout(
        service="portal",
        model="portal",
        engine_zones=("brest-hall",),
        store_zone="brest-hall",
        cache_tokens=6_000,
        link_bytes_per_second=30e6,
        step_seconds=0.01,
    ),
    plain_service=PlainServiceLayout(
        service="letters", path="/letters", zone="lorient-hall"
    ),
    customers=(
        CustomerLayout(name="armor-vols", share=2),
        CustomerLayout(name="iroise", share=1),
    ),
    # Weights of the first-token time, of recomputation and of link use.
    cost_weights=(0.45, 0.4, 0.15),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainAnswer:
    """Answer to a call to the plain service.

    Attributes
    ----------
    status
        HTTP status; 0 if no complete response was received.
    code, run_state
        Error code, and the ``X-Run-State`` header; empty if the answer has none.
    retry_after
        ``Retry-After`` header; empty if the answer has none.
    """

    status: int
    code: str = ""
    run_state: str = ""
    retry_after: str = ""


@asynccontextmanager
async def small_deployment(directory: Path) -> AsyncIterator[Deployment]:
    """Start the small layout and stop its processes when the context exits."""
    async with (
        Launcher() as launcher,
        httpx.AsyncClient(trust_env=False, timeout=CALLER_TIMEOUT_SECONDS) as client,
    ):
        deployment = await async_bring_up(
            SMALL_LAYOUT, launcher, client, policy=DEFAULT_POLICY, directory=directory
        )
        await async_wait_entries_connected(deployment)
        yield deployment


async def async_wait_entries_connected(deployment: Deployment) -> None:
    """Wait until each entry is connected to all others.

    Until then, an entry enforces its limits as if it were the only entry.
    """
    entries = deployment.of_role("entry")

    async def are_connected() -> bool:
        answers = [
            await deployment.client.get(
                f"{vm.url}/operator/in-force",
                headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            )
            for vm in entries
        ]
        return all(len(a.json()["peers"]) == len(entries) - 1 for a in answers)

    await async_wait_until(are_connected)


async def async_wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll a condition until it is met, for at most ``CONDITION_TIMEOUT_SECONDS``."""
    deadline = time.monotonic() + CONDITION_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if await condition():
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    raise AssertionError(f"condition was not met within {CONDITION_TIMEOUT_SECONDS} s")


def process_of(vm: Vm) -> RunningProcess:
    """Return the process of a started VM."""
    assert vm.process is not None
    return vm.process


def entry_of(deployment: Deployment, number: int) -> Vm:
    """Return an entry by its index, which starts at 0."""
    return deployment.of_role("entry")[number]


def plain_service_process(deployment: Deployment) -> RunningProcess:
    """Return the process of the plain service."""
    return process_of(deployment.of_role("plain")[0])


async def async_restart(deployment: Deployment, *vms: Vm) -> None:
    """Start VMs with new incarnations and publish the updated VM list."""
    await asyncio.gather(*(deployment.async_start(vm) for vm in vms))
    await deployment.async_publish_vm_list()


def authorization(customer: int = 0) -> dict[str, str]:
    """Return the header that carries the API key of a customer."""
    return {"Authorization": f"Bearer {SMALL_LAYOUT.customers[customer].api_key}"}


async def async_send_plain_call(
    deployment: Deployment,
    entry: Vm,
    body: str,
    key: str = "",
    deadline_seconds: int = 0,
) -> PlainAnswer:
    """Send a call that must not be repeated to the plain service."""
    headers = authorization()
    if key:
        headers["Idempotency-Key"] = key
    if deadline_seconds:
        headers["X-Deadline"] = str(deadline_seconds)
    url = entry.url + SMALL_LAYOUT.plain_service.path
    try:
        response = await deployment.client.post(url, content=body, headers=headers)
    except httpx.TransportError:
        return PlainAnswer(status=0)
    return read_answer(response)


def read_answer(response: httpx.Response) -> PlainAnswer:
    """Parse a response of the plain service or of an entry."""
    error: dict[str, Any] = response.json().get("error", {})
    return PlainAnswer(
        status=response.status_code,
        code=error.get("code", ""),
        run_state=response.headers.get("x-run-state", ""),
        retry_after=response.headers.get("retry-after", ""),
    )


async def async_count_runs(deployment: Deployment, body: str) -> int:
    """Return how many times the plain service ran a request with this body."""
    counters = await deployment.async_counters(plain_service_process(deployment))
    digest = hashlib.sha256(body.encode()).hexdigest()
    found: int = counters["runs_by_body"].get(digest, 0)
    return found


async def async_timeline_events(
    deployment: Deployment, entry: Vm, kind: str
) -> list[Any]:
    """Return the events of one kind from the timeline of an entry."""
    response = await deployment.client.get(
        f"{entry.url}/operator/timeline",
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    )
    rows = response.raise_for_status().json()["events"]
    return [row for row in rows if row["kind"] == kind]


async def async_count_events(deployment: Deployment, kind: str) -> int:
    """Return how many events of one kind are in the timelines of all entries."""
    found = [
        await async_timeline_events(deployment, vm, kind)
        for vm in deployment.of_role("entry")
    ]
    return sum(map(len, found))


def prompt_with_long_answer(name: str) -> str:
    """Return a short prompt whose answer has at least ``LONG_ANSWER_TOKENS``."""
    prompts = (f"{name}, try {number}?" for number in itertools.count())
    return next(p for p in prompts if natural_length(p.encode()) >= LONG_ANSWER_TOKENS)


def make_call(
    prompt: str, *, entry: int = 0, customer: int = 0, max_tokens: int = 24
) -> Call:
    """Return a call to the model service that takes long prompts."""
    return Call(
        at=0.0,
        call_class=CallClass.LONG,
        customer=customer,
        entry=entry,
        prompt=prompt,
        max_tokens=max_tokens,
        key="",
    )


def long_prompt(name: str, blocks: int) -> str:
    """Return a prompt that consists of full cache blocks and a question."""
    line = f"{name} line of the dossier; "
    text = line * (blocks * BLOCK_BYTES // len(line) + 1)
    return text[: blocks * BLOCK_BYTES] + " eligible?"


async def async_complete(deployment: Deployment, *calls: Call) -> list[Outcome]:
    """Send completions concurrently and compare each answer with the expected one."""
    callers = Callers(SMALL_LAYOUT, deployment)
    try:
        return await callers.async_run(calls)
    finally:
        await callers.async_close()


def assert_correct(outcomes: list[Outcome]) -> None:
    """Check that all answers are complete and match the expected ones."""
    failed = [
        f"{o.call.prompt[:40]}: {o.wrong or o.failure}"
        for o in outcomes
        if o.wrong or not o.whole
    ]
    assert failed == [], failed
