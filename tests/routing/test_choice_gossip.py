"""Tests of telling other entries what was sent."""

from __future__ import annotations

from gypsumsail.peers.port import EntryId
from gypsumsail.routing.choice_gossip import ChoiceGossip
from gypsumsail.routing.const import DEFAULT_PREFILL_TOKENS_PER_SECOND as RATE
from gypsumsail.routing.loads import EngineLoads, SentWork
from tests.common import ManualClock
from tests.context.common import FakeNetwork

from .common import make_report


async def test_what_peers_sent_counts_until_the_next_report() -> None:
    networks: dict[EntryId, FakeNetwork] = {}
    clock = ManualClock(100.0)
    gossips = [
        ChoiceGossip(
            FakeNetwork(EntryId(name=name, incarnation="1", zone="a"), networks),
            EngineLoads(),
            clock,
        )
        for name in ("a", "b")
    ]
    for gossip in gossips:
        await gossip.async_setup()
    first, second = gossips
    second.loads.on_report("e", make_report(), now=99.0)
    work = SentWork(tokens=500, tokens_ahead=0.0, priority=3, sent_at=99.8)
    first.loads.on_sent("e", "1", work)
    await first.async_tell()
    await first.async_tell()
    assert second.loads.backlog_seconds(["e"], now=100.0) * RATE == 500
    second.loads.on_report("e", make_report(age=0.3), now=100.0)
    assert second.loads.backlog_seconds(["e"], now=100.0) * RATE == 500
    second.loads.on_report("e", make_report(age=0.1), now=100.0)
    assert second.loads.backlog_seconds(["e"], now=100.0) == 0
    for gossip in gossips:
        await gossip.async_unload()
