"""Tests of the parts that VMs may fetch after all of them have restarted."""

from __future__ import annotations

from gypsumsail.context_stores.kept_parts import (
    KeptParts,
    KeptPartsCoordinator,
    decode_parts,
    encode_parts,
)
from gypsumsail.context_stores.report_exchange import ReportExchange
from gypsumsail.context_stores.store_view import StoreView
from gypsumsail.gossip.peers import PeerTable
from tests.common import ManualClock
from tests.context_stores.common import answer, change, context_store, view
from tests.gateway.common import decision_log
from tests.vm.common import HistoryStore

KIND = "parts"


def kept_parts(found: StoreView, api: HistoryStore) -> KeptPartsCoordinator:
    """Return the coordinator of a VM that polls a store, alone."""
    clock = ManualClock()
    peers = PeerTable("v1", "10.0.0.1", "z1")
    exchange = ReportExchange(peers, lambda store: True, lambda store, now: False)
    exchange.add(found)
    views = {found.store.address: found}
    log = decision_log(clock)
    return KeptPartsCoordinator(KIND, api, exchange, views, clock, log)


async def test_parts_are_fetched_again_after_all_vms_have_restarted() -> None:
    api = HistoryStore()
    before = view(change(), change("new"))
    before.confirm(("1", "own"))
    await kept_parts(before, api).async_write_if_due(before, 1_000.0)
    after = view(change(), change("new"), change("later"))
    await kept_parts(after, api).async_read()
    assert set(after.unconfirmed) == {("1", "new"), ("1", "later")}


async def test_store_that_is_listed_after_the_kept_parts_were_read() -> None:
    api = HistoryStore()
    before = view(change())
    before.confirm(("1", "own"))
    await kept_parts(before, api).async_write_if_due(before, 1_000.0)
    after = StoreView(context_store())
    coordinator = kept_parts(after, api)
    await coordinator.async_read()
    after.load(answer(change()), 1_000.0)
    coordinator.confirm_kept(after)
    assert not after.unconfirmed


async def test_parts_of_another_run_are_not_fetched() -> None:
    """MIXED: the store may be filled again by saves of its earlier run."""
    api = HistoryStore()
    before = view(change())
    before.confirm(("1", "own"))
    await kept_parts(before, api).async_write_if_due(before, 1_000.0)
    after = StoreView(context_store())
    after.load(answer(change(), life=8), 1_000.0)
    await kept_parts(after, api).async_read()
    assert set(after.unconfirmed) == {("1", "own")}


async def test_same_parts_are_written_once() -> None:
    api = HistoryStore()
    found = view(change())
    coordinator = kept_parts(found, api)
    await coordinator.async_write_if_due(found, 1_000.0)
    await coordinator.async_write_if_due(found, 1_000.0)
    assert api.writes == 1


def test_parts_survive_their_encoding() -> None:
    parts = KeptParts(life=7, hashes=frozenset({1, 2**64 - 1}))
    assert decode_parts(encode_parts(parts)) == parts
