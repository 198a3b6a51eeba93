"""Test of a circuit breaker probe whose submitter is cancelled before its batch starts.

The committer drops the records of a cancelled submitter, so that no commit ends the
probe. The breaker must not refuse all later commits of the entry because of that.
"""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.once.circuit_breaker import PlatformCircuitBreaker
from gypsumsail.once.committer import CommitCounters, GroupCommitter
from gypsumsail.once.const import CIRCUIT_OPEN_SECONDS
from gypsumsail.once.errors import LedgerUnavailableError
from gypsumsail.once.ledger import SubmitResultKind
from gypsumsail.once.records import Reserved
from tests.common import ManualClock

from .common import FakeObjectApi

PARTITION = 3


def reserved(name: bytes) -> Reserved:
    return Reserved(key=name, attempt=name, body=name)


async def test_a_commit_succeeds_after_a_cancelled_probe() -> None:
    api, clock = FakeObjectApi(outage=True), ManualClock()
    breaker, counters = PlatformCircuitBreaker(), CommitCounters()
    committer = GroupCommitter(api, clock, PARTITION, breaker, counters)
    async with asyncio.timeout(1.0):
        with pytest.raises(LedgerUnavailableError, match=r"commit failed.*outage"):
            await committer.async_submit([reserved(b"failed")])
        api.outage = False
        clock.now += CIRCUIT_OPEN_SECONDS
        probe = asyncio.create_task(committer.async_submit([reserved(b"cancelled")]))
        await asyncio.sleep(0)
        run = committer.task
        assert run is not None
        assert breaker.probing
        assert counters.attempted_commits == 1
        probe.cancel()
        with pytest.raises(asyncio.CancelledError):
            await probe
        await run
        clock.now += CIRCUIT_OPEN_SECONDS
        (result,) = await committer.async_submit([reserved(b"later")])
    assert result.kind is SubmitResultKind.GRANTED
