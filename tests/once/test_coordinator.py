"""Tests of reservations across entries, under failures."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from gypsumsail.core.errors import (
    DuplicateRequestError,
    ReservationUnavailableError,
    RunState,
)
from gypsumsail.once.const import CIRCUIT_OPEN_SECONDS, SEND_WINDOW_SECONDS
from gypsumsail.once.coordinator import AtMostOnceCoordinator
from gypsumsail.once.diagnostics import diagnostics
from gypsumsail.once.errors import KeyReusedError, ReservationStateError
from gypsumsail.once.keys import key_digest, owner_of, partition_of
from gypsumsail.once.models import Outcome, may_send
from tests.common import ManualClock

from .common import (
    FakeFleet,
    FakeObjectApi,
    at_most_once_request,
    coordinator,
    entry_id,
)

NAMES = tuple(f"entry-{number}" for number in range(7))
RAN = Outcome(run_state=RunState.RAN, status=200)


class Deployment:
    """Seven entries that share one platform."""

    def __init__(self) -> None:
        self.api = FakeObjectApi()
        self.clock = ManualClock()
        self.fleet = FakeFleet()
        self.entries = [
            coordinator(self.api, self.fleet, self.clock, name) for name in NAMES
        ]

    @property
    def now(self) -> float:
        return self.clock.now

    def owner(self) -> AtMostOnceCoordinator:
        partition = partition_of(key_digest("armor-claims", "letters", "k1"))
        owner = owner_of(partition, map(entry_id, NAMES))
        return self.entries[NAMES.index(owner.name)]

    def others(self) -> list[AtMostOnceCoordinator]:
        return [entry for entry in self.entries if entry is not self.owner()]

    async def async_duplicate(
        self, entry: AtMostOnceCoordinator
    ) -> DuplicateRequestError:
        with pytest.raises(DuplicateRequestError) as caught:
            await entry.async_reserve(at_most_once_request(), self.now)
        return caught.value


@pytest.fixture
async def deployment() -> AsyncIterator[Deployment]:
    deployment = Deployment()
    for entry in deployment.entries:
        await entry.async_setup()
    yield deployment
    for entry in deployment.entries:
        await entry.async_unload()


async def test_concurrent_retries_on_all_entries_run_once(
    deployment: Deployment,
) -> None:
    calls = [
        entry.async_reserve(at_most_once_request(), deployment.now)
        for entry in deployment.entries * 3
    ]
    results = await asyncio.gather(*calls, return_exceptions=True)
    granted = [item for item in results if not isinstance(item, BaseException)]
    assert len(granted) == 1
    refused = [item for item in results if isinstance(item, DuplicateRequestError)]
    assert len(refused) == len(calls) - 1
    assert {error.run_state for error in refused} == {RunState.MAY_HAVE_RUN}


async def test_entries_that_bypass_the_owner_do_not_both_run(
    deployment: Deployment,
) -> None:
    names = [(a, b) for a in NAMES for b in NAMES]
    deployment.fleet.cut.update(names)
    calls = [
        entry.async_reserve(at_most_once_request(), deployment.now)
        for entry in deployment.entries
    ]
    results = await asyncio.gather(*calls, return_exceptions=True)
    granted = [item for item in results if not isinstance(item, BaseException)]
    assert len(granted) == 1


async def test_duplicate_reports_the_outcome_of_the_first_run(
    deployment: Deployment,
) -> None:
    first, second = deployment.others()[:2]
    reservation = await first.async_reserve(at_most_once_request(), deployment.now)
    assert may_send(reservation, deployment.now)
    first.sent(reservation)
    assert (await deployment.async_duplicate(second)).retry_after is not None
    first.ended(reservation, RAN, deployment.now)
    await first.outcomes.async_flush()
    error = await deployment.async_duplicate(second)
    assert error.run_state is RunState.RAN
    assert error.retry_after is None


async def test_keys_are_scoped_and_bound_to_their_body(deployment: Deployment) -> None:
    entry = deployment.entries[0]
    await entry.async_reserve(at_most_once_request(), deployment.now)
    await entry.async_reserve(at_most_once_request(customer="celtic"), deployment.now)
    await entry.async_reserve(at_most_once_request(service="portal"), deployment.now)
    with pytest.raises(KeyReusedError) as caught:
        await entry.async_reserve(
            at_most_once_request(body_digest=b"other"), deployment.now
        )
    assert caught.value.run_state is RunState.NOT_RUN


async def test_lost_platform_answer_is_resolved_by_a_later_read(
    deployment: Deployment,
) -> None:
    deployment.api.lost_answers = 1
    await deployment.owner().async_reserve(at_most_once_request(), deployment.now)
    await deployment.async_duplicate(deployment.others()[0])


async def test_lost_owner_answer_is_resolved_by_a_later_commit(
    deployment: Deployment,
) -> None:
    deployment.fleet.lose_answers.update(NAMES)
    first, second = deployment.others()[:2]
    await first.async_reserve(at_most_once_request(), deployment.now)
    await deployment.async_duplicate(second)


async def test_stale_read_after_a_lost_answer_neither_grants_twice_nor_blocks(
    deployment: Deployment,
) -> None:
    owner, other = deployment.owner(), deployment.others()[0]
    await owner.async_reserve(at_most_once_request("k0"), deployment.now)
    deployment.api.snapshot = dict(deployment.api.objects)
    deployment.api.lost_answers = 1
    deployment.api.stale_listings = 2
    await owner.async_reserve(at_most_once_request(), deployment.now)
    await deployment.async_duplicate(other)


async def test_unconfirmed_attempt_written_late_does_not_block_a_retry(
    deployment: Deployment,
) -> None:
    owner = deployment.owner()
    deployment.api.late_writes = 10
    with pytest.raises(ReservationUnavailableError) as caught:
        await owner.async_reserve(at_most_once_request(), deployment.now)
    assert caught.value.run_state is RunState.NOT_RUN
    assert caught.value.retry_after is not None
    deployment.api.late_writes = 0
    assert deployment.api.release_late() == 1
    deployment.clock.now += CIRCUIT_OPEN_SECONDS
    await owner.outcomes.async_flush()
    await deployment.others()[0].async_reserve(at_most_once_request(), deployment.now)


async def test_abandoned_reservation_frees_its_key(
    deployment: Deployment,
) -> None:
    owner, other = deployment.owner(), deployment.others()[0]
    reservation = await other.async_reserve(at_most_once_request(), deployment.now)
    other.abandoned(reservation, deployment.now)
    await other.outcomes.async_flush()
    again = await owner.async_reserve(at_most_once_request(), deployment.now)
    assert again.attempt_id != reservation.attempt_id
    owner.abandoned(again, deployment.now)
    await owner.outcomes.async_flush()
    third = await other.async_reserve(at_most_once_request(), deployment.now)
    assert may_send(third, deployment.now)


async def test_outage_refuses_immediately_with_not_run(deployment: Deployment) -> None:
    deployment.api.outage = True
    entry = deployment.others()[0]
    for _ in range(50):
        with pytest.raises(ReservationUnavailableError) as caught:
            await entry.async_reserve(at_most_once_request(), deployment.now)
        assert caught.value.run_state is RunState.NOT_RUN
    calls = deployment.api.reads + deployment.api.writes
    assert calls <= 2
    deployment.api.outage = False
    deployment.clock.now += CIRCUIT_OPEN_SECONDS
    await entry.async_reserve(at_most_once_request(), deployment.now)


async def test_request_without_key_needs_no_platform(deployment: Deployment) -> None:
    deployment.api.outage = True
    entry = deployment.entries[0]
    reservation = await entry.async_reserve(at_most_once_request(None), deployment.now)
    entry.sent(reservation)
    assert not may_send(reservation, deployment.now)
    assert deployment.api.reads + deployment.api.writes == 0


async def test_resumed_entry_does_not_send_after_the_send_window(
    deployment: Deployment,
) -> None:
    entry = deployment.entries[0]
    reservation = await entry.async_reserve(at_most_once_request(), deployment.now)
    assert may_send(reservation, deployment.now + SEND_WINDOW_SECONDS / 2)
    assert not may_send(reservation, deployment.now + SEND_WINDOW_SECONDS)


async def test_sending_and_abandoning_are_mutually_exclusive(
    deployment: Deployment,
) -> None:
    entry = deployment.entries[0]
    abandoned = await entry.async_reserve(at_most_once_request("a"), deployment.now)
    entry.abandoned(abandoned, deployment.now)
    assert not may_send(abandoned, deployment.now)
    with pytest.raises(ReservationStateError):
        entry.sent(abandoned)
    sent = await entry.async_reserve(at_most_once_request("b"), deployment.now)
    entry.sent(sent)
    with pytest.raises(ReservationStateError):
        entry.abandoned(sent, deployment.now)
    with pytest.raises(ReservationStateError):
        entry.sent(sent)


async def test_caller_disconnect_while_reserving_queues_an_abandonment(
    deployment: Deployment,
) -> None:
    owner = deployment.owner()
    deployment.api.hanging = True
    call = asyncio.create_task(
        owner.async_reserve(at_most_once_request(), deployment.now)
    )
    await deployment.api.called.wait()
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    report = diagnostics(owner, deployment.now + 3.0)
    assert (report.outcomes_waiting, report.oldest_outcome_seconds) == (1, 3.0)


async def test_unload_records_pending_outcomes(deployment: Deployment) -> None:
    first = deployment.owner()
    reservation = await first.async_reserve(at_most_once_request(), deployment.now)
    first.sent(reservation)
    first.ended(reservation, RAN, deployment.now)
    await first.async_unload()
    deployment.fleet.leave(first.ledger.entry)
    error = await deployment.async_duplicate(deployment.others()[0])
    assert error.run_state is RunState.RAN
