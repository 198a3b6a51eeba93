"""Tests of how calls are placed, queued and refused while targets are cold."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gypsumsail.cold_targets.models import InvalidCold, NamedCold
from gypsumsail.cold_targets.senders import ColdSharing
from gypsumsail.gateway.job import Job
from gypsumsail.gateway.placement import Placed, Wait
from gypsumsail.gateway.placer import JobPlacer
from gypsumsail.gateway.queue_policy import calls_to_shed, expected_wait
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import TargetReportedLoad, TargetState
from tests.cold_targets.common import START, TERMS, ZONE
from tests.gateway.common import (
    ENGINES,
    RecordedReply,
    ScriptedExchange,
    ScriptedTargets,
    call,
    document,
    engine,
    fleet_view,
    gateway,
    job,
    prompt,
    stream_route,
)


class Placing:
    """One VM that places calls on engines."""

    def __init__(self, *cold_seconds: float | None, hosts: int = 1) -> None:
        self.targets = TargetTable()
        service = replace(document().services[ENGINES], cold=TERMS)
        self.targets.set_cold_terms({ENGINES: service}, START)
        for number, seconds in enumerate(cold_seconds):
            entry = engine(f"e{number}", cold_seconds=seconds)
            self.targets.update(entry, START)
        members = frozenset(f"v{number}" for number in range(hosts))
        self.view = fleet_view(self.targets)
        self.view.cold_sharing = ColdSharing(
            host="v0", zone=ZONE, members=lambda now: members
        )
        self.held: list[str] = []
        self.view.on_cold_held = self.held.append
        self.jobs: dict[int, Job] = {}
        self.placer = JobPlacer(self.view, service, self.jobs)

    def place(self, now: float, kept: int = 0) -> str | None:
        """Return the target of a new call; ``None`` if it waits."""
        its_call = call(now=now, prompt=prompt(10, 10, 10))
        self.jobs[kept] = job(kept, its_call, stream_route(), service=ENGINES)
        placed = self.placer.place(kept, now)
        assert isinstance(placed, (Placed, Wait))
        return placed.name if isinstance(placed, Placed) else None

    def is_refused(self, now: float) -> bool:
        """Return whether a call with a deadline after 4 s is refused."""
        waiting = self.jobs[0].queued_call(0.1)
        return bool(calls_to_shed([waiting], self.placer.capacity(now), now))

    @property
    def state(self) -> TargetState:
        """Return the first target."""
        return self.targets.states["e0"]


def test_second_call_waits_for_the_spacing_and_is_counted_once() -> None:
    placing = Placing(10.0)
    assert placing.place(START) == "e0"
    assert placing.place(START + 0.05) is None
    assert placing.placer.place(0, START + 0.06) == Wait()
    assert placing.held == [ENGINES]
    assert not placing.is_refused(START + 0.06)
    assert expected_wait([], placing.placer.capacity(START + 0.06)) < 0.1


def test_calls_go_to_warm_targets_without_limit() -> None:
    placing = Placing(10.0, 0.0, hosts=64)
    assert {placing.place(START + step, step) for step in range(5)} == {"e1"}


@pytest.mark.parametrize(("left", "is_refused"), [(1.0, False), (15.0, True)])
def test_vm_that_is_no_sender_keeps_calls_if_the_cold_time_is_short(
    left: float, is_refused: bool
) -> None:
    """The VM has no worker, and yet calls must not be refused as unserveable."""
    placing = Placing(left)
    placing.view.cold_sharing.zone = "z2"
    assert placing.place(START) is None
    assert placing.is_refused(START) is is_refused
    assert expected_wait([], placing.placer.capacity(START)) == pytest.approx(left)
    placing.targets.noted_at = START + left  # The VM was not suspended.
    assert placing.place(START + left, 1) == "e0"


def test_presumption_ends_only_with_an_entry_written_after_the_contact() -> None:
    placing = Placing(0.0)
    placing.state.record_break(START)
    placing.targets.update(engine("e0"), START + 5.0)
    assert placing.state.cold.is_cold(START + 5.0)
    placing.state.mark_reachable(START + 6.0)
    placing.targets.update(engine("e0"), START + 7.0)
    assert placing.state.cold.is_cold(START + 7.0)
    placing.targets.update(engine("e0"), START + 8.0)
    assert not placing.state.cold.is_cold(START + 8.0)


def test_unreadable_entries_mean_cold_for_the_usual_time() -> None:
    """Each further one must not begin that time anew."""
    placing = Placing(None)
    for step in range(int(TERMS.seconds)):
        placing.targets.update(engine("e0", cold_seconds=None), START + step)
    assert placing.state.cold.seconds_left(START) == TERMS.seconds


def test_header_that_is_older_than_a_cold_entry_changes_nothing() -> None:
    placing = Placing(10.0)
    warm = NamedCold(seconds=0.0)
    assert not placing.state.cold.record_header(warm, START - 1.0, START + 0.1)
    assert placing.state.cold.is_cold(START + 0.1)
    placing.state.cold.record_header(warm, START + 0.2, START + 0.3)
    assert not placing.state.cold.is_cold(START + 0.3)
    assert placing.state.cold.record_header(InvalidCold(text="x"), START, START + 0.4)
    assert placing.state.cold.is_cold(START + 0.4)


def test_targets_are_cold_after_an_evacuation_and_after_a_suspension() -> None:
    placing = Placing(0.0)
    placing.targets.expect_cold_zone("z2", START)
    assert not placing.state.cold.is_cold(START)
    placing.targets.expect_cold_zone(ZONE, START)
    assert placing.state.cold.seconds_left(START) == TERMS.seconds
    suspended = Placing(0.0)
    assert suspended.place(START) == "e0"
    assert suspended.place(START + 5.0, 1) == "e0"
    assert suspended.place(START + 5.05, 2) is None


def test_stalled_target_that_writes_its_entry_is_not_cold() -> None:
    """High load makes calls overdue; sound targets then lost most of their capacity."""
    placing = Placing(0.0)
    assert placing.place(START) == "e0"
    for step in range(1, 9):
        now = START + step
        placing.targets.update(engine("e0"), now)
        placing.state.is_contact_check_due(now)
        placing.state.record_silence(now)
        assert not placing.state.cold.is_cold(now)
    assert placing.state.is_stalled_locally(now)
    assert placing.placer.capacity(now).workers == 1
    assert not placing.state.is_contact_check_due(now + 2.4)
    assert placing.state.is_contact_check_due(now + 2.5)
    placing.state.mark_reachable(now + 2.5)
    placing.targets.update(engine("e0"), now + 2.6)
    assert placing.state.cold.is_cold(now + 2.6)


@pytest.mark.parametrize(
    ("placed_at", "is_cold"), [(None, True), (START + 2.0, True), (START, False)]
)
def test_reports_of_cut_vms_make_no_target_with_an_earlier_call_cold(
    placed_at: float | None, is_cold: bool
) -> None:
    """Two VMs that lost their own links made all targets cold for the whole zone.

    A later call may be at a process that has started since.
    """
    placing = Placing(0.0)
    if placed_at is not None:
        assert placing.place(placed_at) == "e0"
    now = START + 3.0
    placing.targets.update(engine("e0"), now)
    for vm in ("v2", "v3"):
        placing.state.record_unreachable_report(vm, now)
    placing.state.is_contact_check_due(now)
    placing.state.mark_reachable(now)
    assert placing.state.cold.is_cold(now) is is_cold


async def test_target_whose_connection_ended_within_an_event_is_cold() -> None:
    """A stream without framing ends like that when its target is killed."""
    broken = ScriptedExchange(body=[b"id: 1\n"], weight_version=1, is_framed=False)
    routing = document(stream_route(max_targets=1))
    gw = gateway(ScriptedTargets(broken), engine("e0"), routing=routing)
    state = gw.view.targets.states["e0"]
    state.cold.set_terms(TERMS, gw.clock.monotonic())
    await gw.async_handle(call("/s/x", prompt=prompt()), RecordedReply())
    assert state.cold.is_cold(gw.clock.monotonic())


def test_services_without_cold_time_are_never_cold() -> None:
    placing = Placing(10.0)
    placing.targets.set_cold_terms({}, START)
    placing.state.record_break(START)
    placing.state.cold.expect_cold(START)
    assert [placing.place(START, number) for number in range(3)] == ["e0"] * 3


def test_work_factor_moves_calls_from_a_slow_machine_for_half_a_second() -> None:
    placing = Placing(0.0, 0.0)
    for name, factor in (("e0", 1.0), ("e1", 3.0)):
        placing.targets.states[name].reported = TargetReportedLoad(
            running=0, waiting=0, at=START, work_factor=factor
        )
    assert placing.place(START) == "e0"
    assert placing.targets.states["e1"].work_factor(START + 0.5) == 1.0
