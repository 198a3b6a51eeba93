"""Fixtures for tests of the peer links."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from gypsumsail.peers.network import WebsocketPeerNetwork
from tests.peers.common import entry_id, network


@pytest.fixture
async def pair() -> AsyncIterator[tuple[WebsocketPeerNetwork, WebsocketPeerNetwork]]:
    """Yield two networks that know each other's address."""
    first, second = network(entry_id("a")), network(entry_id("b"))
    for one in (first, second):
        await one.async_setup()
    first.set_addresses({second.entry: second.peer_url})
    second.set_addresses({first.entry: first.peer_url})
    yield first, second
    for one in (first, second):
        await one.async_unload()
