"""Tests of calls to a target behind a link that is cut."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest

from gypsumsail.gateway.const import REPORTED_LOAD_MAX_AGE_SECONDS
from gypsumsail.gateway.models import Address, CallKind
from gypsumsail.platform.calls import PlatformTargetCalls
from tests.gateway.common import (
    RecordedReply,
    ScriptedTargets,
    call,
    document,
    gateway,
    route,
    target,
)
from tests.held_bytes import holding_listener

DEADLINE_SECONDS: Final = 0.6
ARRIVAL_SECONDS: Final = 4.0


@pytest.mark.parametrize("kind", [CallKind.ONCE, CallKind.REPEATABLE])
async def test_call_that_times_out_in_a_cut_is_no_crash_of_its_target(
    kind: CallKind,
) -> None:
    """The kernel's limit must not end the connection before the call's deadline."""
    async with holding_listener() as listener:
        entry = target(address=Address(host="127.0.0.1", port=listener.port))
        routing = document(route(kind=kind, max_targets=1, is_public=True))
        gw = gateway(ScriptedTargets(), entry, routing=routing)
        calls = gw.calls = PlatformTargetCalls(gw.clock)
        await calls.async_check(entry)
        listener.hold()
        now = gw.clock.monotonic()
        cut = call(received_at=now, deadline=now + DEADLINE_SECONDS)
        reply = RecordedReply()
        await gw.async_handle(cut, reply)
        assert reply.status == 504
        assert not gw.crash_suspects.crashed_lives
        # A call that must not be repeated goes on without its caller for a moment.
        await asyncio.sleep(REPORTED_LOAD_MAX_AGE_SECONDS)
        await listener.async_release()
        assert await listener.async_read_arrivals(ARRIVAL_SECONDS) == []
