"""Tests of broadcasting routing choices to other entries."""

from __future__ import annotations

from gypsumsail.peers.port import EntryId
from gypsumsail.routing.choice_broadcast import ChoiceBroadcaster
from gypsumsail.routing.const import DEFAULT_PREFILL_TOKENS_PER_SECOND as RATE
from gypsumsail.routing.loads import EngineLoads, SentWork
from tests.common import ManualClock
from tests.context.common import FakeNetwork

from .common import make_report


async def test_work_sent_by_peers_counts_until_the_next_report() -> None:
    networks: dict[EntryId, FakeNetwork] = {}
    clock = ManualClock(100.0)
    broadcasters = [
        ChoiceBroadcaster(
            FakeNetwork(EntryId(name=name, incarnation="1", zone="a"), networks),
            EngineLoads(),
            clock,
        )
        for name in ("a", "b")
    ]
    for broadcaster in broadcasters:
        await broadcaster.async_setup()
    first, second = broadcasters
    second.loads.on_report("e", make_report(), now=99.0)
    work = SentWork(tokens=500, tokens_ahead=0.0, priority=3, sent_at=99.8)
    first.loads.on_sent("e", "1", work)
    await first.async_broadcast()
    await first.async_broadcast()
    assert second.loads.backlog_seconds(["e"], now=100.0) * RATE == 500
    second.loads.on_report("e", make_report(age=0.3), now=100.0)
    assert second.loads.backlog_seconds(["e"], now=100.0) * RATE == 500
    second.loads.on_report("e", make_report(age=0.1), now=100.0)
    assert second.loads.backlog_seconds(["e"], now=100.0) == 0
    for broadcaster in broadcasters:
        await broadcaster.async_unload()
