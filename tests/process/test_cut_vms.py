"""Tests of VMs that lose their links to all targets while other VMs keep theirs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from time import monotonic

import pytest

from soak.callers import CallResult
from soak.links import Link, LinkCut
from soak.run import Soak

VMS = 5
SECONDS = 14.0
CUT_AT_SECONDS = 3.0
CUT_SECONDS = 9.0
# Time after the start of a cut from which calls are compared.
CONTACT_SECONDS = 3.0
MIN_RELATIVE_SHARE = 2 / 3
MAX_FAILED_CALLS = 10
MAX_FAILED_SHARE = 1 / 50
# Two of the three VMs of one zone, so that reports from a zone can name all targets.
MOST_OF_ZONE = ("v0", "v2")
WHOLE_ZONE = ("v0", "v2", "v4")


@dataclass(slots=True)
class FirstTries:
    """Calls at a group of VMs, each of which is tried once.

    Attributes
    ----------
    failed
        Results of the calls that were not served.
    """

    calls: int = 0
    failed: list[CallResult] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """Return the share of the calls that were served."""
        return 1.0 - len(self.failed) / max(self.calls, 1)


class CutVmsRun(Soak):
    """Calls without other faults, while some VMs are cut from all targets.

    Attributes
    ----------
    cut_vms
        Names of these VMs.
    cut_at, healed_at
        Times of the start and the end of the cut.
    """

    uses_own_links = True

    def __init__(self, seed: int, how: LinkCut, cut_vms: tuple[str, ...]) -> None:
        super().__init__(seed, VMS, SECONDS)
        self.how = how
        self.cut_vms = cut_vms
        self.cut_at = 0.0
        self.healed_at = 0.0

    async def async_run_with_cut(self) -> None:
        """Send calls, and cut some VMs from all targets for a time."""
        try:
            await self._start()
            load = asyncio.create_task(self._send_load(self.seconds))
            await asyncio.sleep(CUT_AT_SECONDS)
            self.cut_at = monotonic()
            for link in self._cut_links():
                await link.async_cut(self.how)
            await asyncio.sleep(CUT_SECONDS)
            self.healed_at = monotonic()
            for link in self._cut_links():
                await link.async_heal()
            await load
        finally:
            await self._stop()
        self._complete_report()

    def _cut_links(self) -> list[Link]:
        return [link for vm in self.cut_vms for link in self.links[vm].values()]

    def first_tries(self, *, at_cut_vms: bool) -> FirstTries:
        """Return the calls that began in the compared time of the cut."""
        found = FirstTries()
        for result in self.results:
            is_cut = self.vm_by_request_id[result.request_id] in self.cut_vms
            is_compared = (
                self.cut_at + CONTACT_SECONDS <= result.began_at < self.healed_at
            )
            if is_cut is not at_cut_vms or not is_compared:
                continue
            found.calls += 1
            if result.status != 200:
                found.failed.append(result)
        return found


@pytest.mark.parametrize("how", list(LinkCut))
async def test_calls_at_vms_without_links_to_targets_are_served(how: LinkCut) -> None:
    """Other VMs reach every target, and all targets have room."""
    await async_check_cut(CutVmsRun(7, how, MOST_OF_ZONE))


async def test_calls_at_a_zone_without_links_to_targets_are_served() -> None:
    await async_check_cut(CutVmsRun(8, LinkCut.HANG, WHOLE_ZONE))


async def async_check_cut(run: CutVmsRun) -> None:
    """Check that cut VMs serve calls about as often as the others."""
    await run.async_run_with_cut()
    cut = run.first_tries(at_cut_vms=True)
    others = run.first_tries(at_cut_vms=False)
    assert cut.calls >= MAX_FAILED_CALLS
    assert others.calls >= MAX_FAILED_CALLS
    is_far_worse = cut.served_share < MIN_RELATIVE_SHARE * others.served_share
    allowed = MAX_FAILED_CALLS + MAX_FAILED_SHARE * cut.calls
    assert not (is_far_worse and len(cut.failed) > allowed)
    assert len(others.failed) <= MAX_FAILED_CALLS + MAX_FAILED_SHARE * others.calls
    assert run.report.findings == []
