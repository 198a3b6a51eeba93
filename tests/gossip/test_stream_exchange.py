"""Tests of what VMs tell and ask each other on the builds of streams."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from gypsumsail.core import cbor
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.stream_builds import StreamBegin
from gypsumsail.gossip.stream_exchange import ANSWER_TIMEOUT_SECONDS
from gypsumsail.gossip.stream_messages import (
    BuildAnswer,
    BuildQuestion,
    StreamMessage,
    StreamsTold,
    encode_stream_message,
    parse_stream_message,
)
from tests.common import ManualClock
from tests.gateway.common import ENGINES, engine
from tests.gossip.common import Member, Net

V1 = engine("e1", build="v1")
V2 = engine("e2", build="v2")
BEGIN = StreamBegin(stream="s1", service=ENGINES, build="v1")


def fleet(count: int, *entries: TargetEntry) -> tuple[Net, list[Member]]:
    """Return a fleet of three zones whose VMs have listed targets for a while."""
    net = Net(ManualClock())
    members = [
        Member(net, f"v{number}", f"z{number % 3}") for number in range(1, count + 1)
    ]
    for member in members:
        member.stream_builds.return_seconds = 3.0
    pass_time(net, 4.0, *entries)
    return net, members


def pass_time(net: Net, seconds: float, *entries: TargetEntry) -> None:
    """Let time pass while all VMs list targets."""
    for _ in range(round(seconds / 0.5)):
        for member in net.members.values():
            member.stream_builds.note_targets(entries, net.clock.now)
        net.tick(0.5)


def begin_stream(net: Net, member: Member, begin: StreamBegin = BEGIN) -> None:
    """Let a VM begin a stream."""
    member.stream_builds.record(begin, net.clock.now, is_own=True)
    member.gossip.streams.tell(begin, net.clock.now)


async def test_build_is_known_after_the_vm_that_began_the_stream_has_ended() -> None:
    net, members = fleet(5, V1, V2)
    begin_stream(net, members[0])
    del net.members[members[0].peers.host]
    for member in members[1:]:
        assert member.stream_builds.find("s1", net.clock.now) == "v1"


async def test_few_vms_of_a_large_fleet_are_told_and_asked() -> None:
    net, members = fleet(30, V1, V2)
    begin_stream(net, members[0])
    told = [m for m in members if m.stream_builds.find("s1", net.clock.now)]
    assert 2 <= len(told) <= 4
    del net.members[members[0].peers.host]
    same_zone = [m for m in members[1:] if m.peers.zone == members[0].peers.zone]
    for member in same_zone:
        known = member.stream_builds.find("s1", net.clock.now)
        asked = await member.gossip.streams.async_ask("s1", ENGINES)
        assert "v1" in (known, asked)


async def test_nothing_is_told_while_one_build_serves() -> None:
    net, members = fleet(5, V1)
    begin_stream(net, members[0])
    assert members[1].stream_builds.find("s1", net.clock.now) is None
    assert members[1].stream_builds.sole_build(ENGINES, net.clock.now) == "v1"


async def test_earlier_streams_are_told_once_a_second_build_serves() -> None:
    net, members = fleet(5, V1)
    begin_stream(net, members[0])
    pass_time(net, 1.0, V1, V2)
    assert members[1].stream_builds.find("s1", net.clock.now) == "v1"


async def test_started_vm_asks_for_the_only_build() -> None:
    net, _ = fleet(5, V1)
    started = Member(net, "v9", "z1")
    pass_time(net, 1.0, V1)
    assert started.stream_builds.sole_build(ENGINES, net.clock.now) is None
    assert await started.gossip.streams.async_ask("s7", ENGINES) == "v1"


async def test_vms_that_have_all_just_started_name_no_build() -> None:
    """The old build's engines have left, and only one VM has a document so far."""
    net = Net(ManualClock())
    members = [Member(net, f"v{number}") for number in range(1, 4)]
    members[0].stream_builds.note_return(3.0)
    pass_time(net, 1.0, V2)
    for member in members:
        member.stream_builds.note_targets([V2], net.clock.now)
    assert members[0].stream_builds.sole_build(ENGINES, net.clock.now) is None
    assert await members[0].gossip.streams.async_ask("s1", ENGINES) is None


async def test_vm_whose_view_is_old_does_not_name_the_only_build() -> None:
    _, members = fleet(2, V1)

    async def async_deny() -> bool:
        return False

    members[1].gossip.streams.confirm_targets = async_deny
    assert await members[0].gossip.streams.async_ask("s7", ENGINES) is None


async def test_vm_that_is_cut_off_hears_no_vm_of_its_zone() -> None:
    net, members = fleet(9, V1)
    one = members[0]
    assert one.peers.hears_zone(net.clock.now)
    for member in members[1:]:
        del net.members[member.peers.host]
    pass_time(net, 2.0, V1)
    assert not one.peers.hears_zone(net.clock.now)


async def test_single_vm_is_not_cut_off() -> None:
    net, members = fleet(1, V1)
    assert members[0].peers.hears_zone(net.clock.now)


async def test_question_without_an_answer_ends_in_time() -> None:
    net, members = fleet(3, V1, V2)
    for member in members[1:]:
        del net.members[member.peers.host]
    async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS * 2):
        assert await members[0].gossip.streams.async_ask("s7", ENGINES) is None
    assert not members[0].gossip.streams.questions


def messages() -> Iterator[StreamMessage]:
    yield StreamsTold(host="10.0.0.1", begins=(BEGIN, BEGIN))
    yield BuildQuestion(host="10.0.0.1", number=3, stream="s1", service=ENGINES)
    yield BuildAnswer(host="10.0.0.1", number=3, build="v1")
    yield BuildAnswer(host="10.0.0.1", number=3, build="")
    yield BuildAnswer(host="10.0.0.1", number=3, build=None)


@pytest.mark.parametrize("message", list(messages()))
def test_messages_are_read_as_they_were_sent(message: StreamMessage) -> None:
    assert parse_stream_message(cbor.load(encode_stream_message(message))) == message


@pytest.mark.parametrize(
    "fields", [[5, "h", 9, 0, []], [5, "h", 1, 0, []], [5, "h", 2, 0, [[1, "", ""]]]]
)
def test_invalid_messages_are_rejected(fields: list[object]) -> None:
    with pytest.raises(cbor.ValueInvalidError):
        parse_stream_message(fields)
