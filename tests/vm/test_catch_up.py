"""Tests that a VM which depends on others for changes has them in time."""

from __future__ import annotations

from gypsumsail.gossip.const import UNCHANGED_INTERVAL_SECONDS
from tests.catalog.common import BOUNDS
from tests.vm.peer_servers import (
    FIRST_REVISION,
    MESSAGE_SECONDS,
    catalog_at,
    lagging_vm,
)

# Time that is left of the bound when a VM has heard of a change.
LEFT_SECONDS = BOUNDS.document - UNCHANGED_INTERVAL_SECONDS
PEERS = 5
LIMIT_SECONDS = 8.0


async def test_change_is_taken_in_time_although_kept_connections_are_silent() -> None:
    """A VM that the store turns away has no other way to a change."""
    async with lagging_vm(PEERS) as (vm, peers):
        await vm.async_open_connections(peers)
        for peer in peers:
            peer.silence_open_connections()
        seconds = await vm.async_seconds_until_changed(peers, LIMIT_SECONDS)
        assert seconds < LEFT_SECONDS


async def test_change_is_taken_in_time_although_most_vms_hang() -> None:
    async with lagging_vm(PEERS) as (vm, peers):
        for peer in peers[1:]:
            peer.is_hanging = True
        seconds = await vm.async_seconds_until_changed(peers, LIMIT_SECONDS)
        assert seconds < LEFT_SECONDS


async def test_vm_whose_update_lacks_what_it_told_is_asked_once_a_message() -> None:
    """Otherwise each tick of the main loop asks it again, 20 times a second."""
    async with lagging_vm(1) as (vm, peers):
        peers[0].catalog = catalog_at(FIRST_REVISION)
        seconds = await vm.async_seconds_until_changed(peers, 1.0)
        assert 1 <= peers[0].requests <= seconds / MESSAGE_SECONDS + 1
