"""Tests of documents coming into force on a fleet, under failures."""

from __future__ import annotations

import asyncio

from gypsumsail.documents.codec import document_key
from gypsumsail.documents.const import WATCH_TIMEOUT_SECONDS
from gypsumsail.documents.models import AlarmKind, Candidate, Source
from tests.documents.common import (
    SERVICE,
    DocumentFleet,
    FakeObjectApi,
    async_documents,
    text,
)
from tests.membership.common import ZONES
from tests.peers.virtual import run_virtual

PROPAGATION_LIMIT_SECONDS = 7.0


async def _async_assert_in_force(fleet: DocumentFleet, note: object) -> None:
    """Wait for the limit; assert that the document is in force everywhere."""
    await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
    assert fleet.texts() == {text(note)}


def test_change_is_in_force_everywhere_and_few_entries_watch() -> None:
    async def async_main() -> None:
        fleet = await async_documents(24)
        for note in range(5):
            fleet.api.write(note)
            await _async_assert_in_force(fleet, note)
        assert fleet.api.watching <= 6
        fleet.assert_never_reverted()

    run_virtual(async_main())


def test_silent_watch_and_expired_revision_stay_within_the_time_bound() -> None:
    async def async_main() -> None:
        fleet = await async_documents(9)
        fleet.api.silent = True
        fleet.api.write("silent")
        await _async_assert_in_force(fleet, "silent")
        fleet.api.silent = False
        fleet.api.oldest_watchable_revision = len(fleet.api.log) + 1
        fleet.api.write("forgotten")
        await _async_assert_in_force(fleet, "forgotten")

    run_virtual(async_main())


def test_stale_reads_and_late_events_revert_nothing() -> None:
    async def async_main() -> None:
        fleet = await async_documents(9)
        stale = await fleet.api.async_list("documents/")
        fleet.api.write("second")
        await _async_assert_in_force(fleet, "second")
        fleet.api.stale = stale
        await fleet.async_kill("e4")
        await fleet.async_attach(await fleet.fleet.async_add("e4-new", zone=ZONES[1]))
        await asyncio.sleep(30.0)
        assert fleet.texts() == {text("second")}
        fleet.assert_never_reverted()

    run_virtual(async_main())


def test_entry_restarted_in_an_outage_gets_the_documents_from_others() -> None:
    async def async_main() -> None:
        fleet = await async_documents(7)
        fleet.api.down = fleet.fleet.vm_list.down = True
        for name in ("e3", "e4"):
            await fleet.async_kill(name)
            await fleet.async_attach(
                await fleet.fleet.async_add(f"{name}-new", zone=ZONES[0])
            )
        await asyncio.sleep(30.0)
        assert fleet.texts() == {text("first")}
        new = fleet.documents["e3-new"]
        kinds = {alarm.kind for alarm in new.alarms(new.clock.monotonic())}
        assert kinds == {AlarmKind.UNCONFIRMED}

    run_virtual(async_main())


def test_version_known_only_to_a_non_relay_entry_spreads() -> None:
    """An entry that is no relay alone has the version during an outage.

    This happens if the relay that sent it crashes before another relay has it.
    """

    async def async_main() -> None:
        fleet = await async_documents(9)
        fleet.api.down = fleet.fleet.vm_list.down = True
        last = Candidate(
            service=SERVICE, version=2, text=text("last"), source=Source.PEER
        )
        next(
            fleet.documents[name]
            for name, node in fleet.fleet.nodes.items()
            if not node.membership.calls_platform(node.membership.clock.monotonic())
        ).offer(last)
        await _async_assert_in_force(fleet, "last")

    run_virtual(async_main())


def test_partitioned_zone_catches_up_without_reverting_others() -> None:
    async def async_main() -> None:
        fleet = await async_documents(9)
        inside = fleet.fleet.in_zone(ZONES[0])
        fleet.fleet.hub.cut(inside, fleet.fleet.names() - inside)
        for name in inside:
            fleet.documents[name].watcher.api = FakeObjectApi(down=True)
        await asyncio.sleep(WATCH_TIMEOUT_SECONDS)
        fleet.api.write("second")
        await asyncio.sleep(60.0)
        for name, documents in fleet.documents.items():
            note = "first" if name in inside else "second"
            known = documents.in_force(SERVICE)
            assert known is not None
            assert known.text == text(note)
        fleet_report = await fleet.documents["e1"].async_collect_reports(timeout=1.0)
        assert set(fleet_report.unanswered) == inside
        fleet.fleet.hub.cuts.clear()
        await asyncio.sleep(30.0)
        assert fleet.texts() == {text("second")}
        fleet.assert_never_reverted()

    run_virtual(async_main())


def test_deleted_and_invalid_objects_keep_the_last_valid_document() -> None:
    async def async_main() -> None:
        fleet = await async_documents(7)
        # Not a stored document, as if written without the CLI.
        fleet.api.write_raw(b"past the command line")
        await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
        findings = [
            service.findings
            for report in (
                await fleet.documents["e0"].async_collect_reports(timeout=1.0)
            ).entries
            for service in report.services
        ]
        assert any("object version 2" in found[0] for found in findings if found)
        assert fleet.texts() == {text("first")}
        fleet.api.write("third")
        await _async_assert_in_force(fleet, "third")
        fleet.api.delete(document_key(SERVICE))
        await _async_assert_in_force(fleet, "third")
        fleet.api.write("lower")
        await _async_assert_in_force(fleet, "third")
        fleet.api.write("above", base=3)
        await _async_assert_in_force(fleet, "above")
        assert not any(one.rejected() for one in fleet.documents.values())

    run_virtual(async_main())
