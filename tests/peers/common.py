"""Helpers for tests of the peer links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from gypsumsail.core.clock import Clock, SystemClock
from gypsumsail.peers.codec import message
from gypsumsail.peers.hybrid_clock import HybridClock
from gypsumsail.peers.network import WebsocketPeerNetwork
from gypsumsail.peers.port import EntryId, Message

SECRET: Final = b"a secret of the deployment"
WAIT_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.01


@message("test.words")
@dataclass(frozen=True, slots=True, kw_only=True)
class TextMessage(Message):
    """Message type for tests."""

    text: str
    parts: tuple[bytes, ...] = ()
    peer: EntryId | None = None


def entry_id(name: str, *, zone: str = "z1", incarnation: str = "i1") -> EntryId:
    """Build the identity of an entry."""
    return EntryId(name=name, incarnation=incarnation, zone=zone)


class ManualClock(SystemClock):
    """Clock that returns the time set by a test."""

    def __init__(self, now: float) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def network(
    entry: EntryId,
    *,
    secret: bytes = SECRET,
    hybrid_clock: HybridClock | None = None,
    clock: Clock | None = None,
) -> WebsocketPeerNetwork:
    """Build a network that listens on a free port."""
    return WebsocketPeerNetwork(
        entry,
        secret=secret,
        host="127.0.0.1",
        port=0,
        clock=clock or SystemClock(),
        hybrid_clock=hybrid_clock,
    )


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait up to ``WAIT_SECONDS`` for a condition to become true."""
    for _ in range(int(WAIT_SECONDS / POLL_SECONDS)):
        if condition():
            return
        await asyncio.sleep(POLL_SECONDS)
    raise TimeoutError("condition was not met in time")
