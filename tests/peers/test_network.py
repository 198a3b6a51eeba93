"""Tests of links over loopback."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

from gypsumsail.core.errors import TransportError
from gypsumsail.peers.const import (
    IDLE_SECONDS,
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    REUSE_SECONDS,
)
from gypsumsail.peers.errors import HandshakeError, MessageInvalidError, OtherEntryError
from gypsumsail.peers.handshake import Seal, Side
from gypsumsail.peers.network import WebsocketPeerNetwork
from gypsumsail.peers.port import EntryId, Message
from gypsumsail.timeline.recorder import TimelineRecorder
from gypsumsail.timeline.records import ProcessId
from tests.peers.common import SetClock, Words, async_until, entry_id, network

Pair = tuple[WebsocketPeerNetwork, WebsocketPeerNetwork]


async def _async_echo(peer: EntryId, words: Words) -> Message | None:
    return Words(text=f"{peer.name} said {words.text}")


async def test_request_and_answer_use_one_link_both_ways(pair: Pair) -> None:
    first, second = pair
    for one in pair:
        one.subscribe(Words, _async_echo)
    asked = [
        first.async_request(second.entry, Words(text=str(index)), timeout=10)
        for index in range(50)
    ]
    answers = await asyncio.gather(*asked)
    assert answers == [Words(text=f"a said {index}") for index in range(50)]
    back = await second.async_request(first.entry, Words(text="x"), timeout=10)
    assert back == Words(text="b said x")
    large = Words(text="x", parts=(bytes(MAX_FRAME_BYTES // 2),))
    await first.async_request(second.entry, large, timeout=10)
    too_large = Words(text="x", parts=(bytes(MAX_FRAME_BYTES),))
    with pytest.raises(TransportError) as refused:
        await first.async_request(second.entry, too_large, timeout=10)
    assert not refused.value.sent
    assert first.counters.links_opened == 1
    assert first.counters.links_opened == second.counters.links_opened == 1


async def test_nobody_gets_in_without_the_secret(pair: Pair) -> None:
    first, _ = pair
    seen: list[Message] = []

    async def async_note(peer: EntryId, words: Words) -> None:
        seen.append(words)

    first.subscribe(Words, async_note)
    stranger = network(entry_id("b"), secret=b"a secret from elsewhere")
    with pytest.raises(HandshakeError):
        await stranger.async_meet(first.peer_url)
    async with connect(first.peer_url, compression=None, proxy=None) as raw:
        with contextlib.suppress(ConnectionClosed):
            await raw.send(b"\x83\x00\x6atest.words\x81\x61t")
            await raw.recv()
    await async_until(lambda: first.counters.refused >= 1)
    assert not first.links
    assert not seen


async def test_other_incarnation_at_the_address_is_not_taken_for_the_old(
    pair: Pair,
) -> None:
    first, second = pair
    old = entry_id("b", incarnation="i0")
    first.set_addresses({old: second.peer_url})
    with pytest.raises(OtherEntryError) as caught:
        await first.async_request(old, Words(text="t"), timeout=10)
    assert caught.value.found == second.entry
    assert not caught.value.sent


async def test_sent_is_true_once_the_peer_may_have_acted(pair: Pair) -> None:
    first, second = pair
    arrived = asyncio.Event()

    async def async_hang(peer: EntryId, words: Words) -> None:
        arrived.set()
        await asyncio.Event().wait()

    second.subscribe(Words, async_hang)
    request = asyncio.create_task(
        first.async_request(second.entry, Words(text="t"), timeout=60)
    )
    await arrived.wait()
    await second.async_unload()
    with pytest.raises(TransportError) as lost:
        await request
    assert lost.value.sent
    with pytest.raises(TransportError) as refused:
        await first.async_request(second.entry, Words(text="t"), timeout=10)
    assert not refused.value.sent


def test_frames_are_refused_when_repeated_reordered_or_reflected() -> None:
    sender = Seal(b"secret", Side.CONNECTS, b"proofs")
    receiver = Seal(b"secret", Side.CONNECTS, b"proofs")
    frames = [sender.close(b"one"), sender.close(b"two")]
    assert receiver.open(frames[0]) == b"one"
    with pytest.raises(MessageInvalidError):
        receiver.open(frames[0])
    with pytest.raises(MessageInvalidError):
        Seal(b"secret", Side.CONNECTS, b"proofs").open(frames[1])
    with pytest.raises(MessageInvalidError):
        Seal(b"secret", Side.ACCEPTS, b"proofs").open(frames[0])


async def test_link_closes_when_neither_side_uses_it() -> None:
    clock = SetClock(0.0)
    asker, answerer = (network(entry_id(name), clock=clock) for name in "ab")
    for one in (asker, answerer):
        await one.async_setup()
        one.subscribe(Words, _async_echo)
    asker.set_addresses({answerer.entry: answerer.peer_url})
    for at, links in ((0.0, 1), (REUSE_SECONDS + 1, 2), (IDLE_SECONDS - 5, 2)):
        clock.shown = at
        await asker.async_request(answerer.entry, Words(text="t"), timeout=10)
        assert answerer.counters.links_opened == links
    clock.shown = REUSE_SECONDS + IDLE_SECONDS + 2
    await answerer.async_close_idle()
    await async_until(lambda: len(answerer.links[asker.entry]) == 1)
    await answerer.async_close_idle()
    assert answerer.links[asker.entry][0].connection.close_code is None
    for one in (asker, answerer):
        await one.async_unload()


async def test_stranger_can_not_send_large_messages(pair: Pair) -> None:
    first, _ = pair
    async with connect(first.peer_url, compression=None, proxy=None) as raw:
        await raw.send(b"x" * (MAX_HANDSHAKE_BYTES + 1))
        with pytest.raises(ConnectionClosed) as caught:
            await raw.recv()
    assert caught.value.rcvd is not None
    assert caught.value.rcvd.code == CloseCode.MESSAGE_TOO_BIG


async def test_events_follow_a_message_though_the_clock_is_behind() -> None:
    clocks = [SetClock(1_000.0), SetClock(997.0)]
    recorders = [
        TimelineRecorder(ProcessId(name=name, incarnation="i1"), clock)
        for name, clock in zip("ab", clocks, strict=True)
    ]
    pair = [
        network(entry_id(name), stamps=recorder)
        for name, recorder in zip("ab", recorders, strict=True)
    ]
    for one in pair:
        await one.async_setup()
        one.subscribe(Words, _async_echo)
    first, second = pair
    first.set_addresses({second.entry: second.peer_url})
    cause = recorders[0].timestamp()
    await first.async_request(second.entry, Words(text="t"), timeout=10)
    assert recorders[1].timestamp() > cause
    for one in pair:
        await one.async_unload()
