"""Tests of peer links over the loopback interface."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

from gypsumsail.core.errors import TransportError
from gypsumsail.peers.const import (
    LINK_IDLE_SECONDS,
    LINK_REUSE_SECONDS,
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
)
from gypsumsail.peers.errors import HandshakeError, MessageInvalidError, OtherEntryError
from gypsumsail.peers.handshake import FrameAuthenticator, Side
from gypsumsail.peers.network import WebsocketPeerNetwork
from gypsumsail.peers.port import EntryId, Message
from gypsumsail.timeline.recorder import TimelineRecorder
from gypsumsail.timeline.records import ProcessId
from tests.peers.common import ManualClock, TextMessage, async_until, entry_id, network

Pair = tuple[WebsocketPeerNetwork, WebsocketPeerNetwork]


async def _async_echo(peer: EntryId, message: TextMessage) -> Message | None:
    return TextMessage(text=f"{peer.name} said {message.text}")


async def test_requests_in_both_directions_share_one_link(pair: Pair) -> None:
    first, second = pair
    for one in pair:
        one.subscribe(TextMessage, _async_echo)
    asked = [
        first.async_request(second.entry, TextMessage(text=str(index)), timeout=10)
        for index in range(50)
    ]
    answers = await asyncio.gather(*asked)
    assert answers == [TextMessage(text=f"a said {index}") for index in range(50)]
    back = await second.async_request(first.entry, TextMessage(text="x"), timeout=10)
    assert back == TextMessage(text="b said x")
    large = TextMessage(text="x", parts=(bytes(MAX_FRAME_BYTES // 2),))
    await first.async_request(second.entry, large, timeout=10)
    too_large = TextMessage(text="x", parts=(bytes(MAX_FRAME_BYTES),))
    with pytest.raises(TransportError) as refused:
        await first.async_request(second.entry, too_large, timeout=10)
    assert not refused.value.sent
    assert first.counters.links_opened == 1
    assert first.counters.links_opened == second.counters.links_opened == 1


async def test_connection_without_the_peer_secret_is_rejected(pair: Pair) -> None:
    first, _ = pair
    seen: list[Message] = []

    async def async_record(peer: EntryId, message: TextMessage) -> None:
        seen.append(message)

    first.subscribe(TextMessage, async_record)
    stranger = network(entry_id("b"), secret=b"a secret from elsewhere")
    with pytest.raises(HandshakeError):
        await stranger.async_connect(first.peer_url)
    async with connect(first.peer_url, compression=None, proxy=None) as raw:
        with contextlib.suppress(ConnectionClosed):
            # A notification frame without MAC and timestamp.
            await raw.send(b"\x83\x00\x6atest.words\x81\x61t")
            await raw.recv()
    await async_until(lambda: first.counters.refused >= 1)
    assert not first.links
    assert not seen


async def test_request_to_a_replaced_incarnation_is_not_sent(
    pair: Pair,
) -> None:
    first, second = pair
    old = entry_id("b", incarnation="i0")
    first.set_addresses({old: second.peer_url})
    with pytest.raises(OtherEntryError) as caught:
        await first.async_request(old, TextMessage(text="t"), timeout=10)
    assert caught.value.found == second.entry
    assert not caught.value.sent


async def test_error_reports_whether_the_request_may_have_been_handled(
    pair: Pair,
) -> None:
    first, second = pair
    arrived = asyncio.Event()

    async def async_hang(peer: EntryId, message: TextMessage) -> None:
        arrived.set()
        await asyncio.Event().wait()

    second.subscribe(TextMessage, async_hang)
    request = asyncio.create_task(
        first.async_request(second.entry, TextMessage(text="t"), timeout=60)
    )
    await arrived.wait()
    await second.async_unload()
    with pytest.raises(TransportError) as lost:
        await request
    assert lost.value.sent
    with pytest.raises(TransportError) as refused:
        await first.async_request(second.entry, TextMessage(text="t"), timeout=10)
    assert not refused.value.sent


def test_replayed_reordered_or_reflected_frames_are_rejected() -> None:
    sender = FrameAuthenticator(b"secret", Side.INITIATOR, b"proofs")
    receiver = FrameAuthenticator(b"secret", Side.INITIATOR, b"proofs")
    frames = [sender.sign(b"one"), sender.sign(b"two")]
    assert receiver.verify(frames[0]) == b"one"
    with pytest.raises(MessageInvalidError):
        receiver.verify(frames[0])
    with pytest.raises(MessageInvalidError):
        FrameAuthenticator(b"secret", Side.INITIATOR, b"proofs").verify(frames[1])
    with pytest.raises(MessageInvalidError):
        FrameAuthenticator(b"secret", Side.RESPONDER, b"proofs").verify(frames[0])


async def test_link_unused_by_both_sides_is_closed() -> None:
    clock = ManualClock(0.0)
    asker, answerer = (network(entry_id(name), clock=clock) for name in "ab")
    for one in (asker, answerer):
        await one.async_setup()
        one.subscribe(TextMessage, _async_echo)
    asker.set_addresses({answerer.entry: answerer.peer_url})
    # The second request opens another link, because the first one is too old to be
    # reused. The third request reuses the second link.
    for at, links in (
        (0.0, 1),
        (LINK_REUSE_SECONDS + 1, 2),
        (LINK_IDLE_SECONDS - 5, 2),
    ):
        clock.now = at
        await asker.async_request(answerer.entry, TextMessage(text="t"), timeout=10)
        assert answerer.counters.links_opened == links
    # Now only the first link has been unused for ``LINK_IDLE_SECONDS``.
    clock.now = LINK_REUSE_SECONDS + LINK_IDLE_SECONDS + 2
    await answerer.async_close_idle()
    await async_until(lambda: len(answerer.links[asker.entry]) == 1)
    await answerer.async_close_idle()
    assert answerer.links[asker.entry][0].connection.close_code is None
    for one in (asker, answerer):
        await one.async_unload()


async def test_unauthenticated_peer_cannot_send_large_messages(pair: Pair) -> None:
    first, _ = pair
    async with connect(first.peer_url, compression=None, proxy=None) as raw:
        await raw.send(b"x" * (MAX_HANDSHAKE_BYTES + 1))
        with pytest.raises(ConnectionClosed) as caught:
            await raw.recv()
    assert caught.value.rcvd is not None
    assert caught.value.rcvd.code == CloseCode.MESSAGE_TOO_BIG


async def test_receiver_timestamp_follows_the_sender_when_its_clock_is_behind() -> None:
    clocks = [ManualClock(1_000.0), ManualClock(997.0)]
    recorders = [
        TimelineRecorder(ProcessId(name=name, incarnation="i1"), clock)
        for name, clock in zip("ab", clocks, strict=True)
    ]
    pair = [
        network(entry_id(name), hybrid_clock=recorder)
        for name, recorder in zip("ab", recorders, strict=True)
    ]
    for one in pair:
        await one.async_setup()
        one.subscribe(TextMessage, _async_echo)
    first, second = pair
    first.set_addresses({second.entry: second.peer_url})
    cause = recorders[0].timestamp()
    await first.async_request(second.entry, TextMessage(text="t"), timeout=10)
    assert recorders[1].timestamp() > cause
    for one in pair:
        await one.async_unload()
