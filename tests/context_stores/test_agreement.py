"""Tests of the rules by which a part may be fetched, or saved."""

from __future__ import annotations

import pytest

from gypsumsail.context_stores.agreement import Saver, StoreAgreement, reported_hash
from gypsumsail.context_stores.const import (
    MAX_LISTING_AGE_SECONDS,
    MAX_REPORT_GAP_SECONDS,
    MISMATCH_SECONDS,
    SAVE_BEGIN_SECONDS,
    SAVE_END_SECONDS,
)
from gypsumsail.core import cbor
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gossip.store_messages import (
    NO_VIEW,
    StoreReport,
    StoreReports,
    VmStart,
    encode_store_reports,
    parse_store_reports,
)
from tests.common import ManualClock
from tests.context_stores.common import answer, change, job_at, view

NOW = 1_000.0
LONGEST_SAVE = 8.0
KEY = ("1", "own")
OTHER: VmStart = ("10.0.0.2", 5)
SAVERS = (Saver(vm_start=OTHER),)


def report(agreement: StoreAgreement, **changes: object) -> StoreReport:
    """Return the report of a VM with the same view and no saves."""
    values: dict[str, object] = {
        "store": "s",
        "life": agreement.view.life,
        "number": agreement.view.next_number,
        "digest": agreement.view.digest,
    }
    return StoreReport(**(values | changes))  # type: ignore[arg-type]


def fetchable(agreement: StoreAgreement, now: float = NOW) -> list[tuple[str, str]]:
    return agreement.fetchable_parts(SAVERS, LONGEST_SAVE, now)


def test_part_is_fetched_once_all_others_know_it() -> None:
    agreement = StoreAgreement(view(change()))
    assert fetchable(agreement) == []
    agreement.record(OTHER, report(agreement), NOW)
    assert fetchable(agreement) == [KEY]


@pytest.mark.parametrize(
    "changes",
    [
        {"saving": (reported_hash(KEY),)},
        {"digest": 7},
        {"number": 0},
        {"life": 8},
        {"life": NO_VIEW},
    ],
    ids=["it saves the part", "other parts", "too early", "other run", "no view"],
)
def test_part_that_another_vm_may_save_is_not_fetched(
    changes: dict[str, object],
) -> None:
    """MIXED (review/12): a save that waits at its engine fills the next run."""
    agreement = StoreAgreement(view(change()))
    agreement.record(OTHER, report(agreement, **changes), NOW)
    assert fetchable(agreement) == []


def test_vm_without_a_view_lists_what_was_complete_at_its_report() -> None:
    agreement = StoreAgreement(view(change()))
    agreement.record(OTHER, report(agreement, life=NO_VIEW), NOW + 1.5)
    assert fetchable(agreement, NOW + 1.5) == [KEY]


def test_report_on_an_earlier_copy_of_a_part_does_not_count() -> None:
    agreement = StoreAgreement(view(change()))
    agreement.record(OTHER, report(agreement), NOW)
    assert fetchable(agreement) == [KEY]
    agreement.view.apply_changes(answer(change(tokens=0), next_number=2), NOW)
    agreement.view.apply_changes(answer(change(), next_number=3), NOW)
    assert fetchable(agreement) == []


def test_part_is_fetched_without_a_silent_vm_after_the_longest_save() -> None:
    agreement = StoreAgreement(view(change()))
    later = NOW + LONGEST_SAVE + MAX_LISTING_AGE_SECONDS
    agreement.view.apply_changes(answer(), later - 0.1)
    assert fetchable(agreement, later - 0.1) == []
    agreement.view.apply_changes(answer(), later)
    assert fetchable(agreement, later) == [KEY]


def test_ended_vm_has_told_of_its_saves_if_it_was_heard_shortly_before() -> None:
    agreement = StoreAgreement(view(change()))
    agreement.record(OTHER, report(agreement, number=0), NOW)
    soon = Saver(vm_start=OTHER, ended_at=NOW + MAX_REPORT_GAP_SECONDS)
    late = Saver(vm_start=OTHER, ended_at=NOW + MAX_REPORT_GAP_SECONDS + 0.1)
    assert agreement.fetchable_parts([late], LONGEST_SAVE, NOW) == []
    assert agreement.fetchable_parts([soon], LONGEST_SAVE, NOW) == [KEY]
    saving = report(agreement, number=0, saving=(reported_hash(KEY),))
    agreement.record(OTHER, saving, NOW)
    assert agreement.fetchable_parts([soon], LONGEST_SAVE, NOW) == []


def test_old_list_allows_saves_only_if_others_have_the_same_view() -> None:
    """MIXED (review/12): a change that never came is only seen by a list."""
    agreement = StoreAgreement(view(change()))
    later = NOW + MAX_LISTING_AGE_SECONDS + 0.1
    assert agreement.may_save(SAVERS, NOW)
    assert not agreement.may_save(SAVERS, later)
    assert agreement.wants_list
    agreement.record(OTHER, report(agreement), later)
    assert agreement.may_save(SAVERS, later)
    assert not agreement.may_save(SAVERS, later + MAX_LISTING_AGE_SECONDS + 0.1)


def test_store_is_listed_once_the_views_of_two_vms_differ_for_long() -> None:
    agreement = StoreAgreement(view(change()))
    start = NOW + MAX_LISTING_AGE_SECONDS + 1.0
    agreement.record(OTHER, report(agreement, digest=7), start)
    fetchable(agreement, start)
    assert not agreement.wants_list
    fetchable(agreement, start + MISMATCH_SECONDS)
    assert agreement.wants_list


def test_save_is_on_its_way_until_its_engine_has_begun_it() -> None:
    agreement = StoreAgreement(view())
    saves, clock = agreement.pending_saves, ManualClock(NOW)
    job, assignment = job_at(TargetTable(), "e1", clock)
    saves.add(KEY, job, assignment)
    job.may_have_run = True
    assert saves.unsettled(agreement.view, NOW + 4.0) == {KEY}
    saves.record_first_token(assignment, NOW + 4.0)
    assert saves.unsettled(agreement.view, NOW + 4.1) == {KEY}
    agreement.view.apply_changes(answer(change(), next_number=2), NOW + 4.2)
    assert saves.unsettled(agreement.view, NOW + 4.2) == set()


def test_part_that_was_complete_before_does_not_settle_a_save_by_an_old_answer() -> (
    None
):
    """The store may have restarted since, so that the save fills the new run."""
    agreement = StoreAgreement(view(change(), now=NOW))
    job, assignment = job_at(TargetTable(), "e1", ManualClock(NOW))
    agreement.pending_saves.add(KEY, job, assignment)
    job.may_have_run = True
    agreement.pending_saves.record_first_token(assignment, NOW + 1.0)
    assert agreement.pending_saves.unsettled(agreement.view, NOW + 1.1) == {KEY}
    agreement.view.apply_changes(answer(), NOW + 1.2)
    assert agreement.pending_saves.unsettled(agreement.view, NOW + 1.2) == set()


def test_save_that_is_never_reported_ends_with_its_call() -> None:
    agreement = StoreAgreement(view())
    saves, clock = agreement.pending_saves, ManualClock(NOW)
    job, assignment = job_at(TargetTable(), "e1", clock)
    job.may_have_run = True
    saves.add(KEY, job, assignment)
    assignment.state.end(assignment.in_flight_id)
    end = job.deadline + SAVE_END_SECONDS
    assert saves.unsettled(agreement.view, end - 0.1) == {KEY}
    assert saves.unsettled(agreement.view, end) == set()
    saves.add(KEY, job, assignment)
    saves.record_first_token(assignment, NOW)
    assert saves.unsettled(agreement.view, NOW + SAVE_BEGIN_SECONDS) == set()


def test_save_of_a_call_that_did_not_run_is_over() -> None:
    agreement = StoreAgreement(view())
    job, assignment = job_at(TargetTable(), "e1", ManualClock(NOW))
    agreement.pending_saves.add(KEY, job, assignment)
    assert agreement.pending_saves.unsettled(agreement.view, NOW) == {KEY}
    assignment.state.end(assignment.in_flight_id)
    assert agreement.pending_saves.unsettled(agreement.view, NOW) == set()


def test_reports_survive_their_encoding() -> None:
    agreement = StoreAgreement(view(change()))
    reports = (report(agreement, saving=(1, 2), relay_vm="v2", may_save=True),)
    message = StoreReports(
        host="10.0.0.1", started_at_ms=3, former_saves_ms=4, reports=reports
    )
    assert parse_store_reports(cbor.load(encode_store_reports(message))) == message
