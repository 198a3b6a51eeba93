"""Tests of the clients for targets against the stand-in processes."""

from __future__ import annotations

import httpx
import pytest

from bench.processes import Launcher
from gypsumsail.core.errors import TransportError
from gypsumsail.targets.errors import OldFenceError
from gypsumsail.targets.http import HttpEngineClient
from gypsumsail.targets.plain import HttpPlainServiceClient
from gypsumsail.targets.port import (
    AnswerEnd,
    AnswerToken,
    EngineRole,
    ExportBlocks,
    LoadedModel,
    PlainRequest,
    SetState,
    StoredBlocks,
)
from gypsumsail.transport.errors import BrokenStreamError
from stand_ins.expected import expected_answer
from tests.stand_ins.common import (
    ENGINE_ARGUMENTS,
    LONG_PROMPT,
    SALT,
    counters,
    hashes_of,
    set_fault,
)
from tests.targets.common import engine_request

LONG_REQUEST = engine_request(prompt=LONG_PROMPT, cache_salt=SALT)
HASHES = tuple(hashes_of(LONG_PROMPT))


async def read_answer(
    engine: HttpEngineClient, kept: StoredBlocks | None = None
) -> tuple[tuple[str, ...], AnswerEnd]:
    """Return the token texts and the final event of an answer."""
    parts: list[AnswerToken | AnswerEnd] = []
    request = engine_request(prompt=LONG_PROMPT, cache_salt=SALT, kept=kept)
    async for batch in engine.stream(request):
        parts += batch
    answer_end = parts.pop()
    assert isinstance(answer_end, AnswerEnd)
    return tuple(p.text for p in parts if isinstance(p, AnswerToken)), answer_end


def right_answer() -> tuple[str, ...]:
    return expected_answer(
        prompt=LONG_PROMPT,
        max_tokens=LONG_REQUEST.max_tokens,
        model=LONG_REQUEST.model,
        adapter=LONG_REQUEST.adapter,
        weight_version=LONG_REQUEST.weight_version,
        cache_salt=SALT,
    )


async def test_answer_export_and_import(launcher: Launcher) -> None:
    first = await launcher.start_module("e", "stand_ins.engine", ENGINE_ARGUMENTS)
    second = await launcher.start_module("f", "stand_ins.engine", ENGINE_ARGUMENTS)
    store = await launcher.start_module("s", "stand_ins.store")
    engine, other = HttpEngineClient(first.url), HttpEngineClient(second.url)
    assert (await read_answer(engine))[0] == right_answer()
    order = ExportBlocks(
        cache_salt=SALT,
        weight_version="v1",
        block_hashes=HASHES,
        generation="g1",
        store_url=store.url,
        tier="memory",
    )
    assert (await engine.async_export(order)).stored == HASHES
    names = tuple(f"{block_hash}.g1" for block_hash in HASHES)
    kept = StoredBlocks(store_url=store.url, names=names)
    texts, answer_end = await read_answer(other, kept)
    assert texts == right_answer()
    # The stand-in counts 256 tokens per block.
    assert answer_end.imported_tokens == 256 * len(HASHES)
    events = await other.async_cache_events(after=0, wait=20)
    assert events.events[0].block_hashes == HASHES
    contents = await other.async_cache_contents()
    assert contents.events[0].block_hashes == HASHES
    load = await other.async_load()
    # Default of the stand-in.
    assert load.cache_limit == 200_000
    for engine_client in (engine, other):
        await engine_client.async_close()


async def test_state_command_with_outdated_fencing_token_is_refused(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    arguments = ("--model", "claims:v1", "--prefill-tokens", "1", "--checks-fence")
    process = await launcher.start_module("e", "stand_ins.engine", arguments)
    engine = HttpEngineClient(process.url)
    await engine.async_cancel("unknown")
    model = LoadedModel(model="claims", weight_version="v2", adapters=("letters",))
    order = SetState(fence=7, role=EngineRole.STANDBY, models=(model,))
    state = await engine.async_set_state(order)
    assert state.highest_fence == 7
    with pytest.raises(OldFenceError) as caught:
        await engine.async_set_state(
            SetState(fence=6, role=EngineRole.SERVE, models=())
        )
    assert caught.value.highest_fence == 7
    state = await engine.async_state()
    assert (state.role, state.models) == (EngineRole.STANDBY, (model,))
    await engine.async_close()


async def test_answer_to_another_attempt_is_rejected(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    process = await launcher.start_module("e", "stand_ins.engine", ENGINE_ARGUMENTS)
    engine = HttpEngineClient(process.url)
    await set_fault(client, process, "cross_answers")
    with pytest.raises(BrokenStreamError):
        await read_answer(engine)
    await engine.async_close()


async def test_plain_call_rejects_crossed_and_lost_answers(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    process = await launcher.start_module("p", "stand_ins.plain")
    plain = HttpPlainServiceClient(process.url)
    request = PlainRequest(
        attempt_id="attempt-1",
        method="POST",
        path="/certificates/a b",
        query="member=7",
        content_type="application/json",
        body=b"{}",
        deadline=10.0,
    )
    answer = await plain.async_call(request)
    assert (answer.status, answer.content_type) == (200, "application/json")
    assert b'"/certificates/a b"' in answer.body
    # The stand-in now returns the id of the previous request, which is the same here.
    await set_fault(client, process, "cross_answers")
    await plain.async_call(request)
    for fault in ("cross_answers", "lose_answers"):
        await set_fault(client, process, fault)
        with pytest.raises(TransportError) as caught:
            await plain.async_call(
                PlainRequest(
                    attempt_id="attempt-2",
                    method="POST",
                    path="/p",
                    query="",
                    content_type="",
                    body=fault.encode(),
                    deadline=10.0,
                )
            )
        assert caught.value.sent
    # All calls ran: two of the first attempt and two of the second.
    runs = (await counters(client, process))["runs"]
    assert runs == 4
    await plain.async_close()
