"""Tests of the state that outlives all VMs."""

from __future__ import annotations

import cbor2
import pytest

from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.part_suspects import (
    MAX_KEPT_CRASHES_PER_PART,
    MAX_KEPT_PARTS,
    PartCrash,
    PartSuspects,
)
from gypsumsail.vm.kept_state import (
    MAX_STATE_AGE_SECONDS,
    MIN_WRITE_INTERVAL_SECONDS,
    KeptState,
    decode_state,
    encode_state,
)
from tests.common import ManualClock
from tests.vm.common import KIND, HistoryStore, KeepingVm

MAX_STATE_BYTES = 6_000
KEY = f"{KIND}/v1"
STATE = KeptState(blocked=(PartCrash(part="bad", target="e1", life=3, order=2),))


async def test_vm_that_starts_after_all_others_ended_knows_blocked_parts() -> None:
    api, clock = HistoryStore(), ManualClock()
    ended = KeepingVm(api, "v1", clock)
    await ended.kept_state.async_read()
    ended.block("bad")
    await ended.async_write()
    started = KeepingVm(api, "v2", clock)
    await started.kept_state.async_read()
    assert started.suspects.blocked_part(["bad"], clock.now) == "bad"


async def test_part_that_was_released_is_not_blocked_after_a_start() -> None:
    api, clock = HistoryStore(), ManualClock()
    ended = KeepingVm(api, "v1", clock)
    ended.block("bad")
    await ended.async_write()
    ended.suspects.record_answer(["bad"], clock.now)
    await ended.async_write()
    started = KeepingVm(api, "v1", clock)
    await started.kept_state.async_read()
    assert not started.suspects.blocked


async def test_nothing_is_written_without_a_change() -> None:
    api, clock = HistoryStore(), ManualClock()
    vm = KeepingVm(api, "v1", clock)
    await vm.kept_state.async_read()
    for _ in range(10):
        await vm.async_write()
    assert api.writes == 0
    vm.block("bad")
    for _ in range(10):
        await vm.async_write()
    assert api.writes == 1
    restarted = KeepingVm(api, "v1", clock)
    await restarted.kept_state.async_read()
    await restarted.async_write()
    assert api.writes == 1


async def test_changes_in_quick_succession_are_written_a_few_times() -> None:
    api, clock = HistoryStore(), ManualClock()
    vm = KeepingVm(api, "v1", clock)
    for number in range(60):
        vm.block(f"bad{number}")
        await vm.async_write(seconds=1.0)
    assert api.writes <= 60.0 / MIN_WRITE_INTERVAL_SECONDS


async def test_write_whose_answer_was_lost_is_made_again() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.loses_answers = True
    vm = KeepingVm(api, "v1", clock)
    vm.block("bad1")
    await vm.async_write()
    api.loses_answers = False
    vm.block("bad2")
    await vm.async_write()
    await vm.async_write()
    state, _ = decode_state(api.objects[KEY].value or b"")
    assert {crash.part for crash in state.blocked} == {"bad1", "bad2"}


async def test_state_that_a_restored_store_lost_is_written_again() -> None:
    api, clock = HistoryStore(), ManualClock()
    vm = KeepingVm(api, "v1", clock)
    await vm.kept_state.async_read()
    vm.block("bad")
    await vm.async_write()
    api.remove(KEY)
    vm.eras.observe(2, clock.now)
    await vm.async_write()
    await vm.async_write()
    assert KEY in api.objects


async def test_state_of_a_vm_that_ended_long_ago_is_ignored() -> None:
    api, clock = HistoryStore(), ManualClock()
    ended = KeepingVm(api, "v1", clock)
    ended.block("bad")
    await ended.async_write()
    clock.now += MAX_STATE_AGE_SECONDS
    started = KeepingVm(api, "v2", clock)
    await started.kept_state.async_read()
    assert not started.suspects.blocked


async def test_malformed_state_of_a_vm_hides_no_other() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.write(f"{KIND}/v0", b"\xff")
    api.write(KEY, encode_state(STATE, clock.now))
    started = KeepingVm(api, "v2", clock)
    await started.kept_state.async_read()
    assert started.suspects.orders(["bad"], clock.now) == {"bad": 2}


async def test_store_that_is_away_is_reported() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.is_down = True
    vm = KeepingVm(api, "v1", clock)
    with pytest.raises(TransportError):
        await vm.kept_state.async_read()
    vm.block("bad")
    await vm.async_write()
    assert not vm.kept_state.has_read


def test_fields_of_later_builds_are_ignored() -> None:
    fields = cbor2.loads(encode_state(STATE, 5.0))
    assert decode_state(cbor2.dumps(fields | {"more": [1]})) == (STATE, 5.0)


@pytest.mark.parametrize("fields", [[], {}, {"at": -1}, {"at": 1, "blocked": [[1]]}])
def test_malformed_state_is_rejected(fields: object) -> None:
    with pytest.raises(ValueInvalidError):
        decode_state(cbor2.dumps(fields))


def test_size_is_bounded() -> None:
    suspects = PartSuspects()
    for number in range(MAX_KEPT_PARTS * 2):
        for life in range(MAX_KEPT_CRASHES_PER_PART * 2):
            part = f"{number:016x}"
            orders = suspects.orders([part], 0.0)
            suspects.record_crash(
                orders, f"i-{life:010x}", 1_700_000_000_000 + life, 0.0
            )
    kept = suspects.updates_to_keep()
    assert len(kept) == MAX_KEPT_PARTS * MAX_KEPT_CRASHES_PER_PART
    assert len(encode_state(KeptState(blocked=tuple(kept)), 1e9)) <= MAX_STATE_BYTES
