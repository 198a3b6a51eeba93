"""Tests that a lost contact with a target is noticed and ended by the gateway."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from gypsumsail.cold_targets.models import NamedCold
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.notices import AnswerNotices
from tests.cold_targets.common import TERMS
from tests.gateway.common import (
    PORTAL,
    RecordedReply,
    ScriptedExchange,
    ScriptedTargets,
    call,
    document,
    gateway,
    route,
    target,
)

BROKEN = TransportError("the connection was lost", sent=True)
REFUSED = TransportError("connect: refused", sent=False)
COLD = AnswerNotices(cold=NamedCold(seconds=7.0))


@pytest.mark.parametrize(
    "answer", [REFUSED, ScriptedExchange(head_error=BROKEN)], ids=["refused", "broken"]
)
async def test_failed_target_is_cold_until_a_check_and_after_it(
    answer: ScriptedExchange | TransportError,
) -> None:
    """Calls that wait must not reach it at once when it accepts connections again."""
    services = document().services
    cold = {**services, PORTAL: replace(services[PORTAL], cold=TERMS)}
    calls = ScriptedTargets(answer, ScriptedExchange(notices=COLD))
    gw = gateway(
        calls, target("t1"), target("t2"), routing=document(route(), services=cold)
    )
    await gw.async_handle(call(), RecordedReply())
    states = sorted(
        gw.view.targets.states.values(), key=lambda state: state.cold.is_contact_lost
    )
    other, failed = states
    assert failed.cold.is_contact_lost
    assert other.cold.seconds_left(gw.clock.monotonic()) == pytest.approx(7.0, abs=0.5)
    calls.is_connectable = True
    gw.tick(gw.clock.monotonic() + 0.6)
    await asyncio.sleep(0.05)
    assert failed.entry.name in calls.checked
    assert not failed.cold.is_contact_lost
    left = failed.cold.seconds_left(gw.clock.monotonic())
    assert left == pytest.approx(TERMS.seconds, abs=0.5)
