"""Tests of the VM list as one entry sees it."""

from __future__ import annotations

from gypsumsail.membership.models import TargetLeaving, VmsChanged
from gypsumsail.membership.vms import VmIncarnation, VmView
from gypsumsail.object_api.port import VmRecord, VmRole, VmState
from tests.membership.common import vm


def _ids(view: VmView) -> set[str]:
    return {record.vm_id for record in view.targets("claims")}


def test_leaving_vm_gets_no_new_work_after_a_stale_reading() -> None:
    view = VmView()
    view.apply_reading((vm("t1"), vm("t2")), read_at=1.0, now=1.0)
    changes = view.apply_reading(
        (vm("t1", state=VmState.LEAVING), vm("t2")), read_at=2.0, now=2.0
    )
    assert changes == (VmsChanged(), TargetLeaving(vm_id="t1", incarnation="v1"))
    view.apply_reading((vm("t1"), vm("t2")), read_at=3.0, now=3.0)
    assert _ids(view) == {"t2"}
    view.apply_reading((vm("t1", incarnation="v2"), vm("t2")), read_at=4.0, now=4.0)
    assert _ids(view) == {"t1", "t2"}


def test_older_reading_is_ignored() -> None:
    view = VmView()
    view.apply_reading((vm("t1"),), read_at=2.0, now=2.0)
    assert not view.apply_reading((vm("t2"),), read_at=1.0, now=3.0)
    assert _ids(view) == {"t1"}


def test_leaving_report_takes_effect_before_the_list_shows_it() -> None:
    view = VmView()
    leaving = VmIncarnation(vm_id="t1", incarnation="v1")
    view.mark_leaving(leaving, now=0.0)
    view.apply_reading((vm("t1"), vm("s", role=VmRole.STORE)), read_at=1.0, now=1.0)
    assert not _ids(view)
    assert [record.vm_id for record in view.stores("claims")] == ["s"]
    assert view.recent_leaving_reports(1.0) == (leaving,)


def test_exchanging_differing_buckets_makes_two_readings_equal() -> None:
    first, second = VmView(), VmView()
    records = tuple(vm(f"t{index}") for index in range(200))
    first.apply_reading(records, read_at=1.0, now=1.0)
    second.apply_reading((*records[1:], vm("new")), read_at=2.0, now=2.0)
    buckets = first.digest().differing(second.digest().bucket_digests)
    assert 0 < len(buckets) <= 2
    first.apply_buckets(
        buckets, second.in_buckets(buckets), read_at=2.0, reading_number=4, now=2.0
    )
    assert first.records == second.records
    assert first.reading_number == 4


def test_text_of_a_record_in_the_digest_is_fixed() -> None:
    """A renamed class, field or enum makes digests differ between releases."""
    record = VmRecord(
        vm_id="e1",
        incarnation="v1",
        zone="z1",
        role=VmRole.ENTRY,
        service="claims",
        state=VmState.LEAVING,
        url="http://127.0.0.1:1",
        peer_url="ws://127.0.0.1:2",
    )
    assert repr(record) == (
        "VmRecord(vm_id='e1', incarnation='v1', zone='z1', "
        "role=<VmRole.ENTRY: 'entry'>, service='claims', "
        "state=<VmState.LEAVING: 'leaving'>, url='http://127.0.0.1:1', "
        "peer_url='ws://127.0.0.1:2')"
    )
    assert [repr(role) for role in VmRole] == [
        "<VmRole.ENTRY: 'entry'>",
        "<VmRole.ENGINE: 'engine'>",
        "<VmRole.STORE: 'store'>",
        "<VmRole.PLAIN: 'plain'>",
    ]
    assert [repr(state) for state in VmState] == [
        "<VmState.LIVE: 'live'>",
        "<VmState.LEAVING: 'leaving'>",
    ]
