"""Tests of the list of VMs as one entry sees it."""

from __future__ import annotations

from gypsumsail.membership.models import TargetLeaving, VmsChanged
from gypsumsail.membership.vms import Life, VmView
from gypsumsail.object_api.port import VmRole, VmState
from tests.membership.common import vm


def _ids(view: VmView) -> set[str]:
    return {record.vm_id for record in view.targets("claims")}


def test_leaving_life_gets_no_new_work_even_after_a_slower_reading() -> None:
    view = VmView()
    view.take((vm("t1"), vm("t2")), read_at=1.0, now=1.0)
    changes = view.take(
        (vm("t1", state=VmState.LEAVING), vm("t2")), read_at=2.0, now=2.0
    )
    assert changes == (VmsChanged(), TargetLeaving(vm_id="t1", incarnation="v1"))
    view.take((vm("t1"), vm("t2")), read_at=3.0, now=3.0)
    assert _ids(view) == {"t2"}
    view.take((vm("t1", incarnation="v2"), vm("t2")), read_at=4.0, now=4.0)
    assert _ids(view) == {"t1", "t2"}


def test_older_reading_is_not_taken() -> None:
    view = VmView()
    view.take((vm("t1"),), read_at=2.0, now=2.0)
    assert not view.take((vm("t2"),), read_at=1.0, now=3.0)
    assert _ids(view) == {"t1"}


def test_own_word_counts_before_the_list_shows_it() -> None:
    view = VmView()
    life = Life(vm_id="t1", incarnation="v1")
    view.mark_leaving(life, now=0.0)
    view.take((vm("t1"), vm("s", role=VmRole.STORE)), read_at=1.0, now=1.0)
    assert not _ids(view)
    assert [record.vm_id for record in view.stores("claims")] == ["s"]
    assert view.shared_marks(1.0) == (life,)


def test_differing_buckets_make_two_readings_alike() -> None:
    one, two = VmView(), VmView()
    records = tuple(vm(f"t{index}") for index in range(200))
    one.take(records, read_at=1.0, now=1.0)
    two.take((*records[1:], vm("new")), read_at=2.0, now=2.0)
    buckets = one.digest().differing(two.digest().buckets)
    assert 0 < len(buckets) <= 2
    one.take_buckets(buckets, two.in_buckets(buckets), read_at=2.0, turn=4, now=2.0)
    assert one.records == two.records
    assert one.turn == 4
