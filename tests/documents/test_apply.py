"""Tests of writes by operators, with concurrent writes and lost responses."""

from __future__ import annotations

import asyncio
import random

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.documents.apply import (
    Applied,
    ApplyConflict,
    ApplyUnknownError,
    async_apply,
)
from gypsumsail.documents.codec import StoredValueError, decode_stored, document_key
from gypsumsail.documents.const import RECREATION_VERSION_GAP
from tests.documents.common import SERVICE, FakeObjectApi, text
from tests.peers.virtual import run_virtual

KEY = document_key(SERVICE)


def _stored_version(api: FakeObjectApi) -> int:
    found = api.objects[KEY]
    assert found.value is not None
    return decode_stored(found.value).base + found.version


def test_concurrent_apply_returns_a_conflict_with_the_difference() -> None:
    async def async_main() -> None:
        api = FakeObjectApi()
        first = await async_apply(
            api, SERVICE, text("one"), expected_version=None, highest_in_force=0
        )
        assert first == Applied(version=1)
        outcomes = await asyncio.gather(
            *(
                async_apply(
                    api, SERVICE, text(note), expected_version=1, highest_in_force=1
                )
                for note in ("left", "right")
            )
        )
        lost = [one for one in outcomes if isinstance(one, ApplyConflict)]
        assert Applied(version=2) in outcomes
        assert len(lost) == 1
        assert "-claims: left" in lost[0].difference
        assert "+claims: right" in lost[0].difference
        assert lost[0].version == 2

    run_virtual(async_main())


def test_recreated_object_continues_above_the_highest_version() -> None:
    async def async_main() -> None:
        api = FakeObjectApi()
        for note in range(4):
            api.write(note)
        api.delete(KEY)
        applied = await async_apply(
            api, SERVICE, text("again"), expected_version=4, highest_in_force=4
        )
        assert isinstance(applied, Applied)
        assert applied.version == _stored_version(api) == 4 + RECREATION_VERSION_GAP + 1
        highest_in_force = applied.version
        api.write_raw(b"not json")
        assert await async_apply(
            api,
            SERVICE,
            text("mended"),
            expected_version=highest_in_force,
            highest_in_force=highest_in_force,
        ) == Applied(version=highest_in_force + 1)

    run_virtual(async_main())


def test_lost_answers_are_resolved_by_a_later_read() -> None:
    async def async_main() -> None:
        api = FakeObjectApi(lose_answers=1.0)
        for edit in range(5):
            applied = await async_apply(
                api, SERVICE, text(edit), expected_version=edit, highest_in_force=edit
            )
            assert applied == Applied(version=edit + 1)

    run_virtual(async_main())


def test_outage_during_apply_raises_apply_unknown() -> None:
    async def async_main() -> None:
        api = FakeObjectApi(lose_answers=1.0)
        write = asyncio.create_task(
            async_apply(
                api, SERVICE, text("x"), expected_version=None, highest_in_force=0
            )
        )
        await asyncio.sleep(0.1)
        api.down = True
        with pytest.raises(ApplyUnknownError):
            await write

    run_virtual(async_main())


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 2**32), st.integers(2, 4), st.sampled_from([0.0, 0.3, 0.6]))
def test_concurrent_operators_lose_no_update_with_faults(
    seed: int, operators: int, share: float
) -> None:
    """Each applied text was written once, directly after the version it is based on."""

    async def async_main() -> None:
        rng = random.Random(seed)
        api = FakeObjectApi(
            lose_answers=share, delay_writes=share / 2, rng=random.Random(seed + 1)
        )
        applied: dict[int, tuple[int, str]] = {}

        async def async_operate(name: int) -> None:
            seen = 0
            for edit in range(4):
                await asyncio.sleep(rng.uniform(0.0, 0.5))
                own = text(f"{name}/{edit}")
                try:
                    outcome = await async_apply(
                        api, SERVICE, own, expected_version=seen, highest_in_force=seen
                    )
                except ApplyUnknownError:
                    continue
                if isinstance(outcome, Applied):
                    assert outcome.version not in applied
                    applied[outcome.version] = (seen, own)
                seen = outcome.version

        await asyncio.gather(*(async_operate(name) for name in range(operators)))
        await asyncio.gather(*api.late)
        history = [decode_stored(one.value or b"").text for one in api.log]
        for version, (seen, own) in applied.items():
            assert history[version - 1] == own
            assert version == seen + 1

    run_virtual(async_main())


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b'{"base":-1,"text":""}', b'{"base":1}', b'{"base":1.5,"text":""}'],
)
def test_values_in_another_format_are_rejected(value: bytes) -> None:
    with pytest.raises(StoredValueError) as caught:
        decode_stored(value)
    assert caught.value.findings
