"""Tests of at-most-once execution in real processes on loopback.

Entries are killed and paused, and the platform loses answers or has an outage.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
import hashlib
import json
from pathlib import Path

import httpx
import pytest

from bench.deployment import Deployment, Vm, entry_vms, target_vms
from bench.layouts import KERLANN
from bench.processes import Launcher, RunningProcess

LAYOUT = replace(KERLANN, entry_zones=KERLANN.entry_zones[:3])
SERVICE = LAYOUT.plain_service
RUN_SECONDS = 0.3
CALLERS = 40
MAX_ATTEMPTS = 30
PAUSE_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 3.0
FROZEN_SECONDS = 7.0


@dataclass(slots=True, kw_only=True)
class Letter:
    """A demand letter, and the result that its caller got from each call."""

    number: int
    results: list[str] = field(default_factory=list)

    @property
    def body(self) -> bytes:
        return json.dumps({"letter": self.number}).encode()

    @property
    def digest(self) -> str:
        return hashlib.sha256(self.body).hexdigest()


class Callers:
    """Callers that send each letter to one entry after the other until it ran."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.letters = [Letter(number=number) for number in range(CALLERS)]

    async def async_send_all(self) -> None:
        await asyncio.gather(*map(self.async_send, self.letters))

    async def async_send(self, letter: Letter) -> None:
        await asyncio.sleep(letter.number * 0.05)
        for attempt in range(MAX_ATTEMPTS):
            result = await self.async_call(letter, letter.number + attempt)
            letter.results.append(result)
            if result == "ran":
                return
            await asyncio.sleep(PAUSE_SECONDS)

    async def async_call(self, letter: Letter, entry: int) -> str:
        url = self.deployment.entry_url(entry) + SERVICE.path
        headers = {
            "Authorization": f"Bearer {LAYOUT.customers[0].api_key}",
            "Idempotency-Key": f"letter-{letter.number}",
        }
        try:
            response = await self.deployment.client.post(
                url, content=letter.body, headers=headers, timeout=CALL_TIMEOUT_SECONDS
            )
        except httpx.HTTPError as err:
            return f"no answer: {type(err).__name__}"
        if response.status_code == httpx.codes.OK:
            return "ran"
        return str(response.json()["error"]["run"])


async def async_runs(deployment: Deployment) -> dict[str, int]:
    (plain,) = deployment.of_role("plain", SERVICE.service)
    counters = await deployment.async_counters(process_of(plain))
    runs: dict[str, int] = counters["runs_by_body"]
    return runs


def process_of(vm: Vm) -> RunningProcess:
    assert vm.process is not None
    return vm.process


@pytest.fixture
async def deployment(
    launcher: Launcher, client: httpx.AsyncClient, tmp_path: Path
) -> Deployment:
    platform = await launcher.start_module("platform", "stand_ins.platform")
    found = Deployment(
        layout=LAYOUT, launcher=launcher, client=client, policy="", platform=platform
    )
    (plain,) = [vm for vm in target_vms(LAYOUT, platform.url) if vm.role == "plain"]
    plain.arguments = (f"--seconds={RUN_SECONDS}",)
    entries = [
        replace(vm, arguments=without_policy(vm)) for vm in entry_vms(LAYOUT, "")
    ]
    await found.async_start_all([plain, *entries])
    await found.async_publish_vm_list()
    await found.async_apply_documents(tmp_path)
    return found


def without_policy(vm: Vm) -> tuple[str, ...]:
    return tuple(item for item in vm.arguments if not item.startswith("--routing"))


async def async_kill_one(deployment: Deployment) -> None:
    vm = deployment.of_role("entry")[0]
    await process_of(vm).kill()
    await asyncio.sleep(2.0)
    await deployment.async_start(vm)
    await deployment.async_publish_vm_list()


async def async_freeze_one(deployment: Deployment) -> None:
    process = process_of(deployment.of_role("entry")[1])
    process.freeze()
    await asyncio.sleep(FROZEN_SECONDS)
    process.thaw()


async def async_lose_answers(deployment: Deployment) -> None:
    await deployment.async_set_fault(
        deployment.platform, "lose_answers", share=0.3, seed=5
    )
    await asyncio.sleep(4.0)
    await deployment.async_set_fault(deployment.platform, "lose_answers", on=False)


async def async_outage(deployment: Deployment) -> None:
    await deployment.async_set_fault(deployment.platform, "outage")
    await asyncio.sleep(4.0)
    await deployment.async_set_fault(deployment.platform, "outage", on=False)


FAULTS = {
    "kill and lost answers": (async_kill_one, async_lose_answers),
    "freeze and outage": (async_freeze_one, async_outage),
}


@pytest.mark.parametrize("names", list(FAULTS))
async def test_letters_run_at_most_once_and_not_run_is_accurate(
    names: str, deployment: Deployment
) -> None:
    callers = Callers(deployment)
    sending = asyncio.create_task(callers.async_send_all())
    await asyncio.sleep(0.5)
    await asyncio.gather(*(fault(deployment) for fault in FAULTS[names]))
    await sending
    runs = await async_runs(deployment)
    for letter in callers.letters:
        count = runs.get(letter.digest, 0)
        assert count <= 1, letter
        if set(letter.results) == {"not run"}:
            assert count == 0, letter
        if "ran" in letter.results:
            assert count == 1, letter
    assert sum("ran" in letter.results for letter in callers.letters) > CALLERS / 2
