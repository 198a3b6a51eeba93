"""Tests of the detection of prompt parts that crash engines."""

from __future__ import annotations

from functools import partial

import pytest

from gypsumsail.gateway.part_suspects import (
    MAX_PARTS,
    MAX_UNSENT,
    MIN_CRASHES,
    REPLY_SECONDS,
    SUSPICION_SECONDS,
    TRIAL_DELAYS_SECONDS,
    PartAnswered,
    PartCrash,
    PartSuspects,
)
from tests.gateway.part_crash_model import CrashModel

HEAD_AND_BAD = ("head", "bad")
HEAD_AND_SOUND = ("head", "sound")


def crash(suspects: PartSuspects, *parts: str, life: int, now: float = 0.0) -> None:
    """Let a call sent now crash a life of a target."""
    suspects.record_crash(suspects.orders(parts, now), "e1", life, now)


def blocked_suspects() -> PartSuspects:
    """Return suspects in which the part ``bad`` is blocked and the head is not."""
    suspects = PartSuspects()
    for life in range(MIN_CRASHES):
        crash(suspects, *HEAD_AND_BAD, life=life)
        suspects.record_answer(HEAD_AND_SOUND, 0.0)
    return suspects


def test_part_without_answers_is_blocked_and_the_shared_head_is_not() -> None:
    suspects = blocked_suspects()
    assert suspects.blocked_part(HEAD_AND_BAD, 1.0) == "bad"
    assert suspects.blocked_part(HEAD_AND_SOUND, 1.0) is None
    assert suspects.blocked_part(("bad", "other"), 1.0) == "bad"


def test_targets_that_fail_at_the_same_time_block_no_part() -> None:
    """Their calls were sent before any of the crashes was known."""
    suspects = PartSuspects()
    orders = suspects.orders(["head"], 0.0)
    for life in range(9):
        suspects.record_crash(orders, "e1", life, 0.1)
    assert suspects.blocked_part(["head"], 0.2) is None


def test_copies_of_a_crash_count_once() -> None:
    suspects = PartSuspects()
    for _ in range(MIN_CRASHES):
        crash(suspects, "bad", life=1)
    assert suspects.blocked_part(["bad"], 0.0) is None


def test_sound_part_that_was_always_next_to_the_bad_one_is_not_refused() -> None:
    suspects = PartSuspects()
    for life in range(MIN_CRASHES):
        crash(suspects, "neighbour", "bad", life=life)
    crash(suspects, "bad", life=8)
    crash(suspects, "bad", life=9)
    assert suspects.blocked_part(["neighbour", "own"], 0.0) is None
    assert suspects.blocked_part(["other", "bad"], 0.0) == "bad"
    assert suspects.blocked_part(["neighbour", "bad"], 0.0) == "bad"


def test_part_that_turns_bad_is_blocked_although_it_was_answered_before() -> None:
    suspects = PartSuspects()
    for _ in range(100):
        suspects.record_answer(["bad"], 0.0)
    for life in range(MIN_CRASHES):
        crash(suspects, "bad", life=life)
    assert suspects.blocked_part(["bad"], 1.0) == "bad"


def test_two_bad_parts_are_both_blocked() -> None:
    suspects = PartSuspects()
    for life in range(MIN_CRASHES):
        crash(suspects, "head", "bad1", life=life)
        crash(suspects, "head", "bad2", life=100 + life)
        suspects.record_answer(HEAD_AND_SOUND, 0.0)
    assert suspects.blocked_part(["head", "bad1"], 0.0) == "bad1"
    assert suspects.blocked_part(["head", "bad2"], 0.0) == "bad2"
    assert suspects.blocked_part(["bad1", "bad2"], 0.0) == "bad1"


def test_one_vm_tries_a_blocked_part_again_after_a_time() -> None:
    suspects = blocked_suspects()
    due_at = TRIAL_DELAYS_SECONDS[0]
    assert suspects.admit(HEAD_AND_BAD, due_at - 1.0) == "bad"
    suspects.may_try = lambda part, now: False
    assert suspects.admit(HEAD_AND_BAD, due_at + 1.0) == "bad"
    suspects.may_try = lambda part, now: True
    assert suspects.admit(HEAD_AND_BAD, due_at + 1.0) is None
    assert suspects.admit(HEAD_AND_BAD, due_at + 1.1) == "bad"


def test_trials_become_rarer_with_each_crash() -> None:
    suspects = blocked_suspects()
    now = 0.0
    for life, delay in enumerate((*TRIAL_DELAYS_SECONDS, TRIAL_DELAYS_SECONDS[-1])):
        assert suspects.admit(HEAD_AND_BAD, now + delay - 1.0) == "bad"
        now += delay + 1.0
        assert suspects.admit(HEAD_AND_BAD, now) is None
        crash(suspects, "bad", life=100 + life, now=now)
        suspects.record_answer(HEAD_AND_SOUND, now)


def test_answer_to_a_trial_releases_the_part() -> None:
    suspects = blocked_suspects()
    released: list[str] = []
    suspects.on_released = released.append
    suspects.record_answer(HEAD_AND_BAD, 30.0)
    assert suspects.blocked_part(HEAD_AND_BAD, 30.0) is None
    assert released == ["bad"]


def test_crash_that_is_heard_after_the_answer_that_refutes_it_does_not_count() -> None:
    suspects = PartSuspects()
    for life in range(MIN_CRASHES):
        suspects.apply(PartAnswered(part="head", target="e1", life=life), 0.0)
    for life in range(MIN_CRASHES):
        update = PartCrash(part="head", target="e1", life=life, order=life + 1)
        suspects.apply(update, 0.1)
    assert suspects.blocked_part(["head"], 0.2) is None


def test_vm_that_missed_an_answer_is_told_again() -> None:
    suspects = PartSuspects()
    crash(suspects, "head", life=1)
    suspects.record_answer(["head"], 0.0)
    suspects.take_unsent(10)
    late = PartCrash(part="head", target="e1", life=1, order=1)
    suspects.apply(late, REPLY_SECONDS / 2)
    assert not suspects.take_unsent(10)
    suspects.apply(late, REPLY_SECONDS)
    assert suspects.take_unsent(10) == [PartAnswered(part="head", target="e1", life=1)]


def test_two_halves_of_a_cut_fleet_count_the_crashes_of_both_once() -> None:
    one, other = PartSuspects(), PartSuspects()
    for life in range(2):
        crash(one, "bad", life=life)
        crash(other, "bad", life=100 + life)
    assert one.blocked_part(["bad"], 1.0) is None
    for sender, receiver in ((one, other), (other, one), (one, other)):
        for update in sender.updates_to_repeat():
            receiver.apply(update, 1.0)
    crash(one, "bad", life=5)
    assert one.blocked_part(["bad"], 1.0) == "bad"
    assert len(one.records["bad"].orders) == 5


def test_suspicion_without_a_block_is_forgotten() -> None:
    suspects = PartSuspects()
    crash(suspects, "part", life=1)
    assert suspects.orders(["part"], SUSPICION_SECONDS - 1.0) == {"part": 1}
    assert suspects.orders(["part"], SUSPICION_SECONDS + 1.0) == {"part": 0}


def test_many_parts_evict_no_blocked_one_and_bound_the_memory() -> None:
    suspects = blocked_suspects()
    for number in range(MAX_PARTS * 2):
        crash(suspects, f"part{number}", life=1_000 + number)
    assert len(suspects.records) <= MAX_PARTS
    assert suspects.blocked_part(HEAD_AND_BAD, 1.0) == "bad"
    suspects.take_unsent(1)
    assert len(suspects.unsent) <= MAX_UNSENT


def test_gravest_parts_are_told_first() -> None:
    suspects = PartSuspects()
    crash(suspects, "bad", life=1)
    suspects.take_unsent(1)
    for number in range(50):
        crash(suspects, f"part{number}", life=2)
    crash(suspects, "bad", life=2)
    assert suspects.take_unsent(1)[0].part == "bad"


FLEETS = {
    7: (9, 30.0, (0.05, 0.3)),
    60: (30, 100.0, (0.1, 1.0)),
    195: (78, 200.0, (0.1, 1.6)),
    340: (120, 300.0, (0.1, 1.8)),
}
"""Engines, calls a second and gossip delays in seconds, by number of VMs."""


def model(vms: int, seed: int, **changes: object) -> CrashModel:
    """Return a fleet in which calls with a bad part come twice a second."""
    engines, rate, delay = FLEETS[vms]
    values: dict[str, object] = {
        "seed": seed,
        "vms": vms,
        "engines": engines,
        "calls_per_second": rate,
        "gossip_delay": delay,
        "bad_parts": {"bad": 2.0},
    }
    return CrashModel(**(values | changes))  # type: ignore[arg-type]


@pytest.mark.parametrize("vms", FLEETS)
@pytest.mark.parametrize("is_bad_part_first", [False, True])
def test_fleet_stops_sending_a_bad_part(vms: int, is_bad_part_first: bool) -> None:
    """At most three calls with the part count, and sound calls go on as usual."""
    for seed in range(3):
        fleet = model(vms, seed, is_bad_part_first=is_bad_part_first)
        fleet.run(18.0)
        assert fleet.late_bad_sends("bad") <= 3
        assert fleet.begun_share(9.0, 17.0) >= 0.9


def test_fleet_stops_sending_two_bad_parts_that_come_often() -> None:
    fleet = model(7, 1, bad_parts={"bad1": 4.0, "bad2": 1.0}, engines=12)
    fleet.run(30.0)
    assert fleet.late_bad_sends("bad1") <= 3
    assert fleet.late_bad_sends("bad2") <= 3
    assert fleet.begun_share(20.0, 29.0) >= 0.9


def test_engines_that_are_killed_hide_no_bad_part_and_block_no_sound_one() -> None:
    fleet = model(7, 2)
    for second in range(2, 18):
        fleet.at(float(second), partial(fleet.crash_first, 3))
    fleet.run(20.0)
    assert fleet.late_bad_sends("bad") <= 3
    blocked = {part for vm in fleet.fleet for part in vm.blocked}
    assert blocked == {"bad"}


def test_loss_of_all_engines_at_once_blocks_no_sound_part() -> None:
    fleet = model(7, 3, bad_parts={})
    for second in (3.0, 7.0, 11.0):
        fleet.at(second, partial(fleet.crash_first, len(fleet.targets)))
    fleet.run(18.0)
    assert not any(vm.blocked for vm in fleet.fleet)
    assert fleet.begun_share(15.0, 17.0) >= 0.9


def test_part_is_served_again_after_the_engines_are_repaired() -> None:
    fleet = model(7, 4)
    fleet.at(10.0, lambda: fleet.healed_parts.add("bad"))
    fleet.run(10.0 + TRIAL_DELAYS_SECONDS[0] + TRIAL_DELAYS_SECONDS[1])
    assert not any(vm.blocked for vm in fleet.fleet)


@pytest.mark.parametrize("seed", range(12))
def test_part_stays_blocked_when_all_vms_are_replaced_at_once(seed: int) -> None:
    fleet = model(7, seed, bad_parts={"bad": 0.7})
    fleet.at(25.0, fleet.start_vms)
    fleet.run(60.0)
    assert fleet.late_bad_sends("bad") <= 3
