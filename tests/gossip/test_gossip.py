"""Tests of the gossip between VMs."""

from __future__ import annotations

from collections.abc import Sequence
import contextlib

import cbor2
from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.core.rendezvous import rank
from gypsumsail.gateway.arrivals import PeerServiceLoad
from gypsumsail.gateway.const import PEER_LOAD_MAX_AGE_SECONDS
from gypsumsail.gateway.models import PromptPart
from gypsumsail.gateway.part_suspects import MIN_CRASHES
from gypsumsail.gateway.targets import InFlightCall
from gypsumsail.gossip.const import (
    CROSS_ZONE_ALIVE_TIMEOUT_SECONDS,
    CROSS_ZONE_MESSAGES_PER_SECOND,
    PART_REPEAT_MIN_SECONDS,
    PEER_RETENTION_SECONDS,
    SAME_ZONE_MESSAGES_PER_SECOND,
)
from gypsumsail.gossip.messages import (
    CachedPrompt,
    ContextStoreUpdate,
    CrashReport,
    GossipMessage,
    LoadingTarget,
    ObservedWeights,
    RemovedTarget,
    ServiceLoad,
    TargetLoad,
    UnreachableTarget,
    decode,
    encode,
)
from gypsumsail.gossip.peers import PeerTable
from tests.common import ManualClock
from tests.gateway.common import MODEL, engine
from tests.gossip.common import Member, Net, message

FULL = message(
    last_changed_revisions=(("config", 7),),
    loads=(
        TargetLoad(
            target="e1", life=1, calls=2, tokens=900, pending_prefill_tokens=100
        ),
    ),
    cached=(
        CachedPrompt(
            target="e1", life=1, scope="2", parts=(PromptPart(name="p", tokens=64),)
        ),
    ),
    crash_reports=(CrashReport(fingerprint="f", target="e1", life=1),),
    loading=(LoadingTarget(target="e1", life=1),),
    weights=(ObservedWeights(target="e1", life=1, model=MODEL, version=2),),
    hosts=("10.0.0.9",),
    unreachable=(UnreachableTarget(target="e1", life=1),),
    removed=(RemovedTarget(target="e2", life=1),),
    waiting=(
        ServiceLoad(service="engines", calls=2, work_ms=300, arriving_ms_per_second=50),
    ),
    context_store_updates=(
        ContextStoreUpdate(
            store="10.9.9.9:1",
            sequence_number=3,
            life=8,
            clock_ms=5,
            changes=(("2", "p", 64),),
        ),
    ),
)


def flight(tokens: int = 9_000) -> InFlightCall:
    return InFlightCall(
        tokens=tokens,
        pending_prefill_tokens=100,
        tokens_ahead=0,
        placed_at=0.0,
        progress_at=0.0,
        expected_at=9e9,
    )


def make_pair() -> tuple[Net, Member, Member]:
    net = Net(ManualClock())
    one, other = Member(net, "v1"), Member(net, "v2")
    for member in (one, other):
        member.targets.update(engine("e1"), net.clock.now)
        member.targets.states["e1"].cache.capacity_tokens = 10_000
    net.tick(1.0)
    return net, one, other


def test_message_round_trip() -> None:
    assert decode(encode(FULL)) == FULL


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    with contextlib.suppress(ValueInvalidError):
        assert isinstance(decode(data), GossipMessage)


@pytest.mark.parametrize("place", range(17))
def test_message_with_an_invalid_field_is_rejected(place: int) -> None:
    fields = cbor2.loads(encode(FULL))
    fields[place] = {"not": "it"}
    with pytest.raises(ValueInvalidError):
        decode(cbor2.dumps(fields))


@pytest.mark.parametrize("place", [6, 7, 8, 9, 10, 11, 13, 14, 15, 16])
@pytest.mark.parametrize("bad", [-1, 1.5, None, b"bytes", {"not": "it"}])
def test_row_with_an_invalid_field_is_rejected(place: int, bad: object) -> None:
    row_length = len(cbor2.loads(encode(FULL))[place][0])
    for field in range(row_length):
        fields = cbor2.loads(encode(FULL))
        fields[place][0][field] = bad
        with pytest.raises(ValueInvalidError):
            decode(cbor2.dumps(fields))
        fields[place][0] = fields[place][0][:-1]
        with pytest.raises(ValueInvalidError):
            decode(cbor2.dumps(fields))


def test_boolean_is_rejected_as_a_count() -> None:
    fields = cbor2.loads(encode(FULL))
    fields[7][0][2] = True
    with pytest.raises(ValueInvalidError):
        decode(cbor2.dumps(fields))


def test_vms_discover_each_other_through_one_seed() -> None:
    net = Net(ManualClock())
    members = [Member(net, f"v{number}") for number in range(1, 4)]
    net.tick(3.0)
    assert all(len(member.peers.alive(net.clock.now)) == 2 for member in members)


def test_peer_loads_are_added_and_removed() -> None:
    net, one, other = make_pair()
    number = one.targets.states["e1"].begin(flight())
    net.tick(0.3)
    state = other.targets.states["e1"]
    assert state.calls(net.clock.now) == 1
    assert state.tokens(net.clock.now) == 9_000
    one.targets.states["e1"].end(number)
    net.tick(0.3)
    assert state.calls(net.clock.now) == 0


def test_silent_vm_is_no_longer_counted() -> None:
    net, one, other = make_pair()
    one.targets.states["e1"].begin(flight())
    net.tick(0.3)
    del net.members["10.0.0.1"]
    net.tick(4.0)
    assert other.targets.states["e1"].calls(net.clock.now) == 0
    assert other.peers.count(net.clock.now) == 1


def test_older_message_is_ignored() -> None:
    table = PeerTable("v1", "10.0.0.1", "z1")
    assert table.record_message(message(sequence_number=5), 0.0) is not None
    assert table.record_message(message(sequence_number=4), 0.0) is None
    assert (
        table.record_message(message(sequence_number=1, started_at_ms=2), 0.0)
        is not None
    )


def test_engine_updates_are_sent_immediately() -> None:
    net, one, other = make_pair()
    one.gossip.announce_loading(one.targets.states["e1"])
    assert other.targets.states["e1"].paused_until > net.clock.now
    one.gossip.announce_weights(one.targets.states["e1"], MODEL, 2)
    assert other.targets.states["e1"].weight_versions == {MODEL: 2}
    assert other.targets.states["e1"].paused_until <= net.clock.now


def test_update_for_another_incarnation_is_ignored() -> None:
    net, one, other = make_pair()
    other.targets.update(engine("e1", life=2), net.clock.now)
    one.gossip.announce_weights(one.targets.states["e1"], MODEL, 9)
    assert other.targets.states["e1"].weight_versions == {MODEL: 1}


def test_crash_reports_are_shared() -> None:
    net, one, other = make_pair()
    for life in range(3):
        one.crash_suspects.record_local(
            "f", "e1", life, sent_at=net.clock.now, now=net.clock.now
        )
    net.tick(0.5)
    assert other.crash_suspects.is_blocked("f")


@pytest.mark.parametrize("is_told_first", [True, False])
def test_crashes_of_an_answered_request_are_shared_once_the_lives_have_ended(
    is_told_first: bool,
) -> None:
    net, one, other = make_pair()
    for member in (one, other):
        member.crash_suspects.record_answered("f")
    for life in range(3):
        failed_at = net.clock.now
        one.crash_suspects.record_local(
            "f", "e1", life, sent_at=failed_at - 0.1, now=failed_at
        )
        net.tick(1.5)
        assert len(other.crash_suspects.failures.get("f", ())) == life
        members = (one, other) if is_told_first else (other, one)
        for member in members:
            member.crash_suspects.record_end("e1", life, net.clock.now)
            net.tick(1.5)
        assert one.crash_suspects.crashes("f") == life + 1
        assert other.crash_suspects.crashes("f") == life + 1
    assert other.crash_suspects.is_blocked("f")


def test_vm_behind_in_revisions_catches_up_from_the_announcing_vm() -> None:
    net, one, other = make_pair()
    other.reads_store = False
    one.revisions["config"] = 9
    net.tick(0.05)
    peer = other.gossip.peer_to_catch_up_from(net.clock.now)
    assert peer is not None
    assert peer.vm == "v1"
    assert one.gossip.peer_to_catch_up_from(net.clock.now) is None


def test_watching_vm_waits_for_the_store_before_asking_a_peer() -> None:
    net, one, other = make_pair()
    one.revisions["config"] = 9
    net.tick(0.05)
    assert other.gossip.peer_to_catch_up_from(net.clock.now) is None
    net.tick(0.4)
    assert other.gossip.peer_to_catch_up_from(net.clock.now) is not None


def test_large_fleet_sends_store_updates_only_within_the_zone() -> None:
    net = Net(ManualClock())
    members = [Member(net, f"v{number}", f"z{number % 3}") for number in range(1, 31)]
    net.tick(4.0)
    one = members[0]
    assert one.peers.is_large(net.clock.now)
    for member in members:
        member.context_store_updates.clear()
    one.gossip.publish_context_store_update(FULL.context_store_updates[0])
    net.tick(2.0)
    receiving_zones = {
        member.peers.zone for member in members if member.context_store_updates
    }
    assert receiving_zones == {one.peers.zone}


def test_unchanged_messages_are_sent_less_often() -> None:
    net = Net(ManualClock())
    for number in range(1, 8):
        Member(net, f"v{number}")
    net.tick(3.0)
    net.sent = 0
    net.tick(3.0)
    # 7 VMs send to 6 others for 3 s, about once per 0.6 s; the limit allows some more.
    assert net.sent <= 7 * 6 * 3.0 / 0.5


def test_duty_is_assigned_to_a_few_vms_of_a_zone() -> None:
    tables = []
    for number in range(1, 11):
        table = PeerTable(f"v{number}", f"10.0.0.{number}", "z1")
        for other in range(1, 11):
            table.record_message(message(f"v{other}"), 0.0)
        tables.append(table)
    assert sum(table.is_assigned("config", 3, 0.0) for table in tables) == 3
    alone = PeerTable("v1", "10.0.0.1", "z1")
    assert alone.is_assigned("config", 3, 0.0)


def make_table(zones: int, vms_in_a_zone: int) -> PeerTable:
    """Return the table of one VM that got a message from each VM at time 0."""
    table = PeerTable("v0", "10.0.0.0", "z0")
    for number in range(1, zones * vms_in_a_zone):
        zone = f"z{number % zones}"
        table.record_message(message(f"v{number}", zone=zone), 0.0)
    return table


def test_assignments_are_recomputed_only_when_the_vms_of_the_zone_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ranked: list[str] = []

    def counted(duty: str, names: list[str]) -> Sequence[str]:
        ranked.append(duty)
        return rank(duty, names)

    monkeypatch.setattr("gypsumsail.gossip.peers.rank", counted)
    table = make_table(5, 17)
    for tick in range(20):
        table.is_assigned("config", 3, tick * 0.1)
    assert len(ranked) == 1
    table.record_message(message("v100", zone="z1"), 2.0)
    table.is_assigned("config", 3, 2.1)
    assert len(ranked) == 1
    table.record_message(message("v101", zone="z0"), 2.2)
    table.is_assigned("config", 3, 2.3)
    assert len(ranked) == 2


def test_message_rate_to_one_vm_is_bounded_in_a_large_fleet() -> None:
    table = make_table(5, 18)
    full, reduced = table.split(0.0)
    assert len(full) / table.same_zone_interval(0.0) <= SAME_ZONE_MESSAGES_PER_SECOND
    assert (
        len(reduced) / table.cross_zone_interval(0.0) <= CROSS_ZONE_MESSAGES_PER_SECOND
    )


def test_loads_are_sent_again_before_they_expire() -> None:
    for zones, vms_in_a_zone in ((1, 7), (5, 18), (5, 68)):
        table = make_table(zones, vms_in_a_zone)
        assert table.same_zone_interval(0.0) < PEER_LOAD_MAX_AGE_SECONDS
        assert table.cross_zone_interval(0.0) < PEER_LOAD_MAX_AGE_SECONDS


def test_service_loads_of_other_vms_are_summed() -> None:
    net, one, other = make_pair()
    one.gossip.own_service_loads = lambda: (
        ServiceLoad(service="engines", calls=2, work_ms=300, arriving_ms_per_second=50),
    )
    net.tick(0.3)
    assert other.gossip.peer_service_load("engines", net.clock.now) == PeerServiceLoad(
        queued_work_seconds=0.3, offered_load=0.05
    )
    assert other.gossip.peer_service_load("portal", net.clock.now) == PeerServiceLoad()
    assert (
        other.gossip.peer_service_load("engines", net.clock.now + 5)
        == PeerServiceLoad()
    )


def test_target_counts_as_stalled_when_two_vms_report_it() -> None:
    net = Net(ManualClock())
    members = [Member(net, f"v{number}") for number in range(1, 5)]
    for member in members:
        member.targets.update(engine("e1"), net.clock.now)
    net.tick(2.0)
    for number, member in enumerate(members[:2], start=1):
        silent = flight()
        silent.expected_at = net.clock.now - 5.0
        member.targets.states["e1"].begin(silent)
        member.targets.states["e1"].progress_at = net.clock.now - 9.0
        net.tick(0.3)
        states = [other.targets.states["e1"] for other in members[2:]]
        stalled = [state.is_stalled(net.clock.now) for state in states]
        assert stalled == [number == 2] * 2
    states[0].progress_at = net.clock.now
    assert not states[0].is_stalled(net.clock.now)


def test_unreachable_targets_are_shared_within_the_zone() -> None:
    net = Net(ManualClock())
    members = [Member(net, "v1"), Member(net, "v2"), Member(net, "v3", "z2")]
    for member in members:
        member.targets.update(engine("e1"), net.clock.now)
    net.tick(1.0)
    one, near, far = (member.targets.states["e1"] for member in members)
    one.mark_unreachable(net.clock.now)
    net.tick(0.3)
    assert set(near.unreachable_reports) == {"v1"}
    assert not far.unreachable_reports
    one.mark_reachable(net.clock.now)
    net.tick(0.3)
    assert not near.unreachable_reports


def test_repeated_reports_do_not_outweigh_an_own_connection() -> None:
    """Cut VMs repeat for as long as they are cut that a target is unreachable."""
    net = Net(ManualClock())
    members = [Member(net, f"v{number}") for number in range(1, 4)]
    for member in members:
        member.targets.update(engine("e1"), net.clock.now)
    net.tick(1.0)
    *cut, sound = (member.targets.states["e1"] for member in members)
    for state in cut:
        state.mark_unreachable(net.clock.now)
    net.tick(0.3)
    sound.mark_reachable(net.clock.now)
    for _ in range(10):
        net.tick(0.3)
        assert not sound.is_unreachable(net.clock.now)


def test_confirmed_removal_is_received_by_other_vms() -> None:
    net = Net(ManualClock())
    members = [Member(net, "v1"), Member(net, "v2"), Member(net, "v3", "z2")]
    confirmed: list[tuple[str, int]] = []
    for member in members:
        member.gossip.on_removal_confirmed = lambda target, life: confirmed.append(
            (target, life)
        )
    net.tick(1.0)
    members[0].gossip.announce_removal(engine("e1"))
    net.tick(0.5)
    assert confirmed.count(("e1", engine("e1").life)) >= 2


def test_vm_counts_immediately_when_it_sends_again() -> None:
    peers = PeerTable("v1", "10.0.0.1", "z1")
    assert peers.count(1_000.0) == 1
    assert peers.is_assigned("d", 1, 1_000.0)
    peers.record_message(message("v2"), 1_000.01)
    assert peers.count(1_000.02) == 2
    assignee = next(iter(rank("d", ["v1", "v2"])))
    assert peers.is_assigned("d", 1, 1_000.02) is (assignee == "v1")
    assert peers.count(1_003.2) == 1


def test_vm_restart_with_an_earlier_clock_is_accepted() -> None:
    """Guard against ignoring a restarted VM for 120 s.

    Its messages had earlier start times, so they counted as outdated until the VM
    was removed from the table.
    """
    peers = PeerTable("v1", "10.0.0.1", "z1")
    assert (
        peers.record_message(message("v2", 7, started_at_ms=5_000), 1_000.0) is not None
    )
    assert (
        peers.record_message(message("v2", 1, started_at_ms=2_600), 1_001.0) is not None
    )
    assert (
        peers.record_message(message("v2", 2, started_at_ms=2_600), 1_001.1) is not None
    )
    assert peers.record_message(message("v2", 8, started_at_ms=5_000), 1_001.2) is None
    assert peers.record_message(message("v2", 2, started_at_ms=2_600), 1_001.3) is None


def test_silent_vm_stays_on_the_ring_until_its_retention_ends() -> None:
    """Its share of a target's limit is not given to the VMs that don't hear it."""
    peers = PeerTable("v1", "10.0.0.1", "z1")
    peers.record_message(message("v2"), 100.0)
    assert peers.ring(101.0).members == {"10.0.0.1", "10.0.0.2"}
    assert peers.ring(100.0 + PEER_RETENTION_SECONDS - 1.0) is peers.ring(101.0)
    late = 100.0 + PEER_RETENTION_SECONDS + 1.0
    assert peers.ring(late).members == {"10.0.0.1"}


def test_host_that_was_never_heard_leaves_the_ring_early() -> None:
    peers = PeerTable("v1", "10.0.0.1", "z1")
    peers.add("10.0.0.9", 100.0)
    assert "10.0.0.9" in peers.ring(101.0).members
    late = 100.0 + CROSS_ZONE_ALIVE_TIMEOUT_SECONDS + 1.0
    assert "10.0.0.9" not in peers.ring(late).members


def test_crashes_of_parts_are_shared_until_an_answer_refutes_them() -> None:
    net, one, other = make_pair()
    for life in range(MIN_CRASHES):
        orders = one.part_suspects.orders(["head", "bad"], net.clock.now)
        one.part_suspects.record_crash(orders, "e1", life, net.clock.now)
    net.tick(0.5)
    assert other.part_suspects.blocked == {"head", "bad"}
    other.part_suspects.record_answer(["head"], net.clock.now)
    net.tick(0.5)
    assert one.part_suspects.blocked == {"bad"}


def test_started_vm_hears_of_blocked_parts_before_its_first_call() -> None:
    net, one, _ = make_pair()
    for life in range(MIN_CRASHES):
        orders = one.part_suspects.orders(["bad"], net.clock.now)
        one.part_suspects.record_crash(orders, "e1", life, net.clock.now)
    net.tick(2.0)
    started = Member(net, "v3")
    while not started.gossip.notices.has_heard:
        net.tick(0.05)
    assert started.part_suspects.blocked == {"bad"}


def test_vm_that_was_cut_off_hears_of_blocked_parts() -> None:
    net, one, other = make_pair()
    cut_off = net.members.pop(other.peers.host)
    for life in range(MIN_CRASHES):
        orders = one.part_suspects.orders(["bad"], net.clock.now)
        one.part_suspects.record_crash(orders, "e1", life, net.clock.now)
    net.tick(8.0)
    net.members[other.peers.host] = cut_off
    net.tick(PART_REPEAT_MIN_SECONDS + 1.0)
    assert other.part_suspects.blocked == {"bad"}


def block_request(member: Member) -> None:
    """Let a member see a request crash as many targets as block it."""
    for life in range(3):
        member.crash_suspects.record_local("fp", "e1", life, sent_at=0.0, now=0.5)


def test_started_vm_hears_of_blocked_requests_before_its_first_call() -> None:
    net = Net(ManualClock())
    one = Member(net, "v1")
    Member(net, "v2")
    block_request(one)
    net.tick(5.0)
    started = Member(net, "v3")
    while not started.gossip.notices.has_heard:
        net.tick(0.05)
    assert started.crash_suspects.is_blocked("fp")


def test_vm_that_was_cut_off_hears_of_blocked_requests_afterwards() -> None:
    net = Net(ManualClock())
    one, two = Member(net, "v1"), Member(net, "v2")
    net.tick(1.0)
    del net.members[two.peers.host]
    block_request(one)
    net.tick(5.0)
    net.members[two.peers.host] = two
    net.tick(5.0)
    assert two.crash_suspects.is_blocked("fp")


def test_vms_that_are_restarted_in_turn_all_know_a_blocked_request() -> None:
    net = Net(ManualClock())
    members = [Member(net, f"v{number}") for number in range(1, 4)]
    block_request(members[0])
    net.tick(2.0)
    for number in range(1, 4):
        net.clock.now += 1.0
        started = Member(net, f"v{number}")
        while not started.gossip.notices.has_heard:
            net.tick(0.05)
        assert started.crash_suspects.is_blocked("fp")


def test_request_that_crashed_fewer_targets_is_not_told_as_blocked() -> None:
    net = Net(ManualClock())
    one = Member(net, "v1")
    one.crash_suspects.record_local("fp", "e1", 1, sent_at=0.0, now=0.5)
    assert not one.crash_suspects.blocked_to_tell()
