"""Tests of the choice of the VM that serves a forwarded call."""

from __future__ import annotations

from collections import Counter
from random import Random

from gypsumsail.forwarding.const import MAX_UNREACHABLE_HELPERS
from gypsumsail.forwarding.helpers import Helpers
from gypsumsail.gateway.forwarding import ForwardRefusal
from tests.forwarding.common import peer_table
from tests.gossip.common import message

NOW = 1_000.0
SERVICE = "portal"


def helpers(*vms: str) -> Helpers:
    """Return the helpers of ``v1``."""
    return Helpers(peer_table(*vms), Random(1))


def test_no_vm_of_an_older_build_is_chosen() -> None:
    found = helpers()
    found.peers.record_message(message("v2", 1, hosts=("",) * 3), NOW)
    assert found.choose(SERVICE, set(), None, NOW) is None


def test_silent_vm_is_not_chosen() -> None:
    found = helpers("v2")
    assert found.choose(SERVICE, set(), None, NOW + 1.0) == "10.0.0.2"
    assert found.choose(SERVICE, set(), None, NOW + 2.0) is None


def test_calls_of_a_cut_vm_spread_over_the_helpers() -> None:
    found = helpers("v2", "v3", "v4", "v5")
    chosen: Counter[str] = Counter()
    for _ in range(40):
        host = found.choose(SERVICE, set(), None, NOW)
        assert host is not None
        found.begin(host)
        found.record_served(host, SERVICE, NOW)
        chosen[host] += 1
    assert len(chosen) == 4
    assert max(chosen.values()) - min(chosen.values()) <= 4


def test_helper_that_reaches_no_target_is_left_out_for_this_service_only() -> None:
    found = helpers("v2", "v3")
    refusal = ForwardRefusal.UNREACHABLE
    found.record_refusal("10.0.0.2", SERVICE, refusal, NOW)
    hosts = {found.choose(SERVICE, set(), None, NOW) for _ in range(20)}
    assert hosts == {"10.0.0.3"}
    assert {found.choose("engines", set(), None, NOW) for _ in range(20)} == {
        "10.0.0.2",
        "10.0.0.3",
    }
    later = {found.choose(SERVICE, set(), None, NOW + 1.1) for _ in range(20)}
    assert "10.0.0.2" in later


def test_service_that_no_helper_reaches_is_not_searched_in_the_whole_fleet() -> None:
    found = helpers(*(f"v{number}" for number in range(2, 196)))
    asked = 0
    for _ in range(100):
        tried: set[str] = set()
        while (host := found.choose(SERVICE, tried, None, NOW)) is not None:
            asked += 1
            tried.add(host)
            found.record_refusal(host, SERVICE, ForwardRefusal.UNREACHABLE, NOW)
    assert asked <= MAX_UNREACHABLE_HELPERS


def test_few_helpers_are_tried_for_one_call() -> None:
    found = helpers(*(f"v{number}" for number in range(2, 12)))
    assert found.choose(SERVICE, {"a", "b", "c"}, None, NOW) is None


def test_few_good_helpers_are_found_again_among_many_cut_vms() -> None:
    """Nine of ten VMs are cut; those that serve are preferred once they are known."""
    vms = [f"v{number}" for number in range(2, 61)]
    found = helpers(*vms)
    good = {f"10.0.0.{number}" for number in range(2, 8)}
    served = 0
    for step in range(200):
        now = NOW + step * 0.005
        tried: set[str] = set()
        while (host := found.choose(SERVICE, tried, None, now)) is not None:
            tried.add(host)
            if host in good:
                found.record_served(host, SERVICE, now)
                served += 1
                break
            found.record_refusal(host, SERVICE, ForwardRefusal.UNREACHABLE, now)
    assert served >= 0.95 * 200
