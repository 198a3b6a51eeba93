"""Tests of the VMs among which the senders to a cold target are chosen."""

from __future__ import annotations

from gypsumsail.gossip.const import PEER_RETENTION_SECONDS
from tests.cold_targets.common import START, SendingVm

HOSTS = [f"v{number}" for number in range(7)]
LATER = START + 2 * PEER_RETENTION_SECONDS


def members(vm: SendingVm, now: float) -> list[str] | None:
    """Return the members, after the table has forgotten silent VMs."""
    vm.peers.evict_silent(now)
    found = vm.peers.zone_members.hosts(now)
    return None if found is None else sorted(found)


def test_vm_that_knows_nothing_of_its_zone_has_no_members() -> None:
    vm = SendingVm("v0", START)
    vm.hear("v1", START, zone="z2")
    assert members(vm, START) is None
    vm.hear("v2", START + 1.0)
    assert members(vm, START + 1.0) == ["v0", "v2"]


def test_listed_vms_that_are_never_heard_stay_members() -> None:
    """Each of them would otherwise become the only sender after two minutes."""
    vm = SendingVm("v0", START)
    vm.read_list(HOSTS, START)
    assert members(vm, START) == HOSTS
    vm.hear("v1", LATER)
    assert members(vm, LATER) == HOSTS


def test_majority_leaves_out_vms_that_are_silent_for_long() -> None:
    vm = SendingVm("v0", START)
    vm.read_list([*HOSTS, "w0"], START)
    vm.hear("w0", START, zone="z2")
    assert members(vm, START) == HOSTS
    for host in HOSTS[:4]:
        vm.hear(host, LATER)
    assert members(vm, LATER) == HOSTS[:4]
