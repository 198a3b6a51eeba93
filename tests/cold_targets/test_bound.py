"""Tests that a cold target never gets more than the bound from all VMs together."""

from __future__ import annotations

from math import inf

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumsail.cold_targets.models import ColdBound
from gypsumsail.cold_targets.senders import ColdSharing, send_interval, sender_plan
from tests.cold_targets.common import (
    BOUND,
    STEP_SECONDS,
    TARGET,
    TERMS,
    make_zone,
)
from tests.fuzzing import fuzz_settings

MIN_USED_SHARE = 0.7
MAX_LAG_SECONDS = 0.8
LONG_SECONDS = 100.0


@pytest.mark.parametrize("vms", [1, 2, 7, 64])
def test_cold_target_gets_about_its_rate(vms: int) -> None:
    zone = make_zone(vms)
    zone.run(10.0)
    assert zone.most() <= BOUND
    expected = TERMS.per_second * 10.0
    assert MIN_USED_SHARE * expected <= len(zone.arrivals) <= 1.1 * expected


@pytest.mark.parametrize("clock_error", [0.0, 2.0])
def test_64_vms_that_do_not_hear_each_other_keep_the_bound(clock_error: float) -> None:
    """Each of them would be the only sender if it knew only the VMs that it hears."""
    zone = make_zone(64, are_heard=False, clock_error=clock_error)
    zone.run(TERMS.seconds - 1.0)
    assert 0 < zone.most() <= BOUND


def test_halves_that_restarted_apart_keep_the_bound() -> None:
    """Without the list of VMs, each half chooses its own senders."""
    zone = make_zone(64)
    for number, vm in enumerate(zone.vms):
        vm.restart(zone.now)
        vm.read_entry(TERMS.seconds, zone.now)
        for other in zone.vms[number % 2 :: 2]:
            vm.hear(other.host, zone.now)
    zone.run(10.0)
    assert TERMS.per_second < zone.most() <= BOUND


def test_zone_that_comes_back_cold_gets_no_queued_burst() -> None:
    """60 engines crashed: VMs sent what waited before they read that engines are cold.

    The old entries, which say warm, are still read for some time after the return.
    """
    zone = make_zone(64)
    for vm in zone.vms:
        vm.read_entry(0.0, zone.now)
        vm.lose_contact(zone.now)
    zone.run(14.0)
    assert not zone.arrivals
    back_at = zone.now
    for vm in zone.vms:
        vm.connect(zone.now)
    zone.run(MAX_LAG_SECONDS / 2)
    for vm in zone.vms:
        vm.read_entry(0.0, zone.now)
    zone.run(MAX_LAG_SECONDS / 2)
    for vm in zone.vms[::2]:
        vm.read_entry(TERMS.seconds, zone.now, life=2)
    zone.run(TERMS.seconds - 1.0)
    assert zone.most(since=back_at) <= BOUND
    assert zone.arrivals


def test_engine_that_turns_cold_while_calls_are_on_the_way() -> None:
    """Only what was sent before the VMs read of it comes on top."""
    zone = make_zone(64)
    for vm in zone.vms:
        vm.read_entry(0.0, zone.now)
    zone.run(STEP_SECONDS, delay=0.3)
    zone.arrivals.clear()
    for vm in zone.vms:
        vm.read_entry(TERMS.seconds, zone.now)
    read_at = zone.now
    zone.run(5.0, delay=0.3)
    assert zone.most(since=read_at) <= BOUND


def test_vm_that_was_frozen_does_not_send_all_at_once() -> None:
    zone = make_zone(1)
    zone.vms[0].is_running = False
    zone.run(5.0)
    zone.vms[0].is_running = True
    zone.run(1.0)
    assert zone.most() <= TERMS.per_second * 1.1


@st.composite
def histories(draw: st.DrawFn) -> list[tuple[str, int, float]]:
    """Return events by kind, VM and seconds until the next one."""
    kinds = ["restart", "freeze", "split", "heal", "cold", "old entry", "lost", "back"]
    events = st.tuples(st.sampled_from(kinds), st.integers(0, 15), st.floats(0.05, 1.5))
    return draw(st.lists(events, max_size=12))


@fuzz_settings(60)
@given(histories())
def test_bound_is_kept_in_any_history(
    history: list[tuple[str, int, float]],
) -> None:
    """The target is cold all the time; old entries say otherwise after a return."""
    zone = make_zone(16)
    split = 0
    for vm in zone.vms:
        vm.read_entry(LONG_SECONDS, zone.now)
    for kind, number, seconds in history:
        vm = zone.vms[number]
        match kind:
            case "restart":
                vm.restart(zone.now)
                vm.read_list(zone.hosts, zone.now)
                vm.read_entry(LONG_SECONDS, zone.now)
            case "freeze":
                vm.is_running = not vm.is_running
            case "split":
                split = number
            case "heal":
                split = 0
            case "cold":
                vm.read_entry(LONG_SECONDS if number % 2 else None, zone.now)
            case "lost":
                vm.lose_contact(zone.now)
            case "back" | "old entry":
                vm.lose_contact(zone.now)
                vm.connect(zone.now)
                if kind == "old entry":
                    zone.run(MAX_LAG_SECONDS)
                    vm.read_entry(0.0, zone.now)
        for hearer in zone.vms[:split], zone.vms[split:]:
            for one in hearer:
                for other in hearer:
                    one.hear(other.host, zone.now)
        zone.run(seconds)
        if kind == "old entry":
            vm.read_entry(LONG_SECONDS, zone.now)
    zone.run(1.0)
    assert zone.most() <= BOUND


@fuzz_settings(200)
@given(
    st.floats(0.01, 1_000.0),
    st.floats(0.0, 3.0),
    st.floats(0.0, 20.0),
    st.integers(1, 300),
)
def test_two_sets_of_senders_keep_any_bound(
    per_second: float, over: float, slack: float, vms: int
) -> None:
    bound = ColdBound(over=over, slack=slack).requests(per_second)
    plan = sender_plan(per_second, bound, vms)
    per_sender = int(1 / plan.interval) + 1
    assert plan.senders <= vms
    assert plan.senders / plan.interval <= per_second
    assert 2 * plan.senders * per_sender <= bound or plan.senders == 1


def test_senders_are_few_and_differ_between_targets_and_lives() -> None:
    hosts = frozenset(f"v{number}" for number in range(64))

    def senders(key: str) -> set[str]:
        sharings = (ColdSharing(host=host) for host in hosts)
        return {
            sharing.host
            for sharing in sharings
            if send_interval(key, sharing, hosts, TERMS.per_second) < inf
        }

    assert len(senders(f"{TARGET}\0001")) == 5
    assert senders(f"{TARGET}\0001") != senders(f"{TARGET}\0002")
