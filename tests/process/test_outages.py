"""Tests of platform outages, entry replacement and isolation of customers."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from bench.deployment import Deployment
from bench.layouts import MODEL_PATH, documents
from tests.process.common import (
    SMALL_LAYOUT,
    assert_correct,
    async_complete,
    async_count_runs,
    async_restart,
    async_send_plain_call,
    async_wait_until,
    authorization,
    entry_of,
    long_prompt,
    make_call,
    process_of,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

PLAIN_SERVICE_NAME = SMALL_LAYOUT.plain_service.service
BLOCKS = 6


async def async_apply_plain_document(
    deployment: Deployment, directory: Path, owner: str
) -> dict[str, int]:
    """Apply a new version of the plain service's document, and wait for it.

    The new version no longer includes the second customer. Return the versions in
    force by service.
    """
    before = (await deployment.async_in_force())["entry-1"]
    document = json.loads(documents(SMALL_LAYOUT)[PLAIN_SERVICE_NAME])
    document |= {"owner": owner, "customers": document["customers"][:1]}
    file = directory / "letters.yaml"
    file.write_text(json.dumps(document), encoding="utf-8")
    done = await deployment.async_run_operator_command(
        "document",
        "apply",
        str(file),
        f"--expected-version={before[PLAIN_SERVICE_NAME]}",
    )
    assert done.process.returncode == 0, list(done.output)
    expected = {**before, PLAIN_SERVICE_NAME: before[PLAIN_SERVICE_NAME] + 1}
    await async_wait_in_force(deployment, expected)
    return expected


async def async_wait_in_force(
    deployment: Deployment, expected: dict[str, int], entries: int = 3
) -> None:
    """Wait until ``entries`` entries answer and report exactly these versions."""

    async def are_in_force() -> bool:
        reported = await deployment.async_in_force()
        return len(reported) == entries and all(
            v == expected for v in reported.values()
        )

    await async_wait_until(are_in_force)


async def async_wait_serving(deployment: Deployment, number: int) -> None:
    """Wait until a new entry serves calls.

    Until then, it must reject each call with the run state "not run".
    """

    async def is_serving() -> bool:
        call = make_call("is the new entry there?", entry=number)
        outcome = (await async_complete(deployment, call))[0]
        assert outcome.whole or outcome.failure.endswith("not run")
        return outcome.whole

    await async_wait_until(is_serving)


async def test_customers_with_same_prompt_share_no_blocks(
    deployment: Deployment,
) -> None:
    prompt = long_prompt("same dossier of both", BLOCKS)

    async def is_cached() -> bool:
        found = await async_complete(deployment, make_call(prompt, customer=0))
        assert_correct(found)
        return found[0].cached_tokens > 0

    await async_wait_until(is_cached)
    others = await async_complete(deployment, make_call(prompt, customer=1))

    assert_correct(others)
    assert {(o.cached_tokens, o.imported_tokens) for o in others} == {(0, 0)}


async def test_api_key_grants_only_its_customers_services(
    deployment: Deployment, tmp_path: Path
) -> None:
    body, url = "letter of the second customer", entry_of(deployment, 0).url
    plain_url, model_url = url + SMALL_LAYOUT.plain_service.path, url + MODEL_PATH
    prompt = {"model": "claims", "prompt": "whose is it?"}
    client = deployment.client

    await async_apply_plain_document(deployment, tmp_path, "first-team")
    refused = [
        await client.post(plain_url, content=body, headers=authorization(1)),
        await client.post(plain_url, content=body),
        await client.post(
            model_url, json=prompt, headers={"Authorization": "Bearer no"}
        ),
        await client.post(
            model_url, json={**prompt, "model": "other"}, headers=authorization(1)
        ),
    ]
    accepted = await client.post(model_url, json=prompt, headers=authorization(1))

    # Other services still list the second customer's key, so 404 is expected: it has no
    # service at this path. 401 (key unknown) refuses the call as well.
    assert refused[0].status_code in (401, 404)
    assert [answer.status_code for answer in refused[1:]] == [401, 401, 404]
    assert {answer.headers["x-run-state"] for answer in refused} == {"not run"}
    assert not [a for a in refused if SMALL_LAYOUT.customers[0].name in a.text]
    assert accepted.status_code == 200
    assert await async_count_runs(deployment, body) == 0


async def test_entry_started_during_outage_serves_documents_in_force(
    deployment: Deployment,
) -> None:
    entry = entry_of(deployment, 2)
    before = (await deployment.async_in_force())["entry-1"]
    seeds = [
        f"--seed-peer={entry_of(deployment, number).peer_url}" for number in (0, 1)
    ]

    await deployment.async_set_fault(deployment.platform, "outage")
    try:
        await process_of(entry).kill()
        entry.arguments = (*entry.arguments, *seeds)
        await async_restart(deployment, entry)
        await async_wait_in_force(deployment, before)

        await async_wait_serving(deployment, 2)
        outcomes = await async_complete(
            deployment, *(make_call(f"in outage {n}", entry=n % 3) for n in range(6))
        )
    finally:
        await deployment.async_set_fault(deployment.platform, "outage", on=False)

    assert_correct(outcomes)
    assert set(map(str, (await deployment.async_in_force()).values())) == {str(before)}


async def test_stale_platform_reads_revert_no_document(
    deployment: Deployment, tmp_path: Path
) -> None:
    entry = entry_of(deployment, 1)
    seeds = [
        f"--seed-peer={entry_of(deployment, number).peer_url}" for number in (0, 2)
    ]

    await deployment.async_set_fault(deployment.platform, "stale_reads")
    try:
        expected = await async_apply_plain_document(deployment, tmp_path, "second-team")
        await process_of(entry).kill()
        entry.arguments = (*entry.arguments, *seeds)
        await async_restart(deployment, entry)
        await async_wait_in_force(deployment, expected)
        await async_wait_serving(deployment, 1)
        outcomes = await async_complete(
            deployment, make_call("stale platform", entry=1)
        )
    finally:
        await deployment.async_set_fault(deployment.platform, "stale_reads", on=False)

    assert_correct(outcomes)
    assert set(map(str, (await deployment.async_in_force()).values())) == {
        str(expected)
    }


async def test_replacing_all_entries_keeps_documents_and_keys(
    deployment: Deployment,
) -> None:
    entries = deployment.of_role("entry")
    before = (await deployment.async_in_force())["entry-1"]
    body, key = "demand before the replacement", "key-replaced"
    first = await async_send_plain_call(deployment, entries[0], body, key)

    await asyncio.gather(*(process_of(vm).kill() for vm in entries))
    for vm in entries:
        vm.arguments = tuple(a for a in vm.arguments if "--seed-peer" not in a)
    await async_restart(deployment, *entries)
    await async_wait_in_force(deployment, before)
    await deployment.async_wait_serving()
    again = [await async_send_plain_call(deployment, vm, body, key) for vm in entries]
    outcomes = await async_complete(
        deployment, *(make_call(f"replaced {n}", entry=n % 3) for n in range(6))
    )

    assert first.status == 200
    assert {answer.status for answer in again} == {409}
    assert await async_count_runs(deployment, body) == 1
    assert_correct(outcomes)
