"""Tests of the tables against simple models in which arrival order has no effect."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumsail.membership.models import MemberStatus
from gypsumsail.membership.table import MembershipTable
from gypsumsail.membership.vms import VmView
from gypsumsail.object_api.port import VmRecord, VmState
from tests.membership.common import identity, member, vm

# A reported death counts only as a suspicion.
RANK = {MemberStatus.ALIVE: 0, MemberStatus.SUSPECT: 1, MemberStatus.DEAD: 1}

_beliefs = st.tuples(
    st.sampled_from(["a", "b"]), st.sampled_from(MemberStatus), st.integers(0, 3)
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(_beliefs, max_size=20), st.permutations(range(20)))
def test_merge_result_is_independent_of_arrival_order(
    beliefs: list[tuple[str, MemberStatus, int]], order: list[int]
) -> None:
    naive: dict[str, tuple[int, int]] = {"a": (0, 0), "b": (0, 0)}
    for name, status, counter in beliefs:
        naive[name] = max(naive[name], (counter, RANK[status]))
    arrived = [beliefs[place] for place in order if place < len(beliefs)]
    for sequence in (beliefs, arrived):
        table = MembershipTable(identity("me"), now=0.0)
        for name in naive:
            table.add_verified(identity(name), now=0.0)
        for name, status, counter in sequence:
            table.merge(member(name, status, counter=counter), now=0.0)
        believed = {
            one.entry.name: (one.counter, RANK[one.status])
            for one in table.members.values()
        }
        assert believed == naive
        assert all(one.is_present for one in table.members.values())


_readings = st.lists(
    st.tuples(
        st.integers(1, 30),
        st.dictionaries(
            st.sampled_from(["t1", "t2", "t3"]),
            st.tuples(st.sampled_from(["v1", "v2"]), st.sampled_from(VmState)),
        ),
    ),
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(_readings)
def test_newest_reading_is_used_and_leaving_vms_stay_excluded(
    readings: list[tuple[int, dict[str, tuple[str, VmState]]]],
) -> None:
    view = VmView()
    newest, shown = 0, dict[str, tuple[str, VmState]]()
    left: set[tuple[str, str]] = set()
    for read_at, reading in readings:
        view.apply_reading(_records(reading), read_at=float(read_at), now=0.0)
        if read_at <= newest:
            continue
        newest, shown = read_at, reading
        left |= {
            (vm_id, incarnation)
            for vm_id, (incarnation, state) in reading.items()
            if state is VmState.LEAVING
        }
    expected = {
        vm_id
        for vm_id, (incarnation, _) in shown.items()
        if (vm_id, incarnation) not in left
    }
    assert {record.vm_id for record in view.targets("claims")} == expected


def _records(reading: dict[str, tuple[str, VmState]]) -> tuple[VmRecord, ...]:
    return tuple(
        vm(vm_id, incarnation=incarnation, state=state)
        for vm_id, (incarnation, state) in reading.items()
    )
