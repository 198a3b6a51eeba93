"""Process with the links and membership of one entry; prints its timeline events."""

from __future__ import annotations

import asyncio
import random
import sys

import click

from gypsumsail.core.clock import SystemClock
from gypsumsail.membership.coordinator import MembershipCoordinator
from gypsumsail.membership.models import MembershipSettings
from gypsumsail.timeline.models import Event
from tests.membership.common import FakeVmList
from tests.peers.common import entry_id, network


class _Printer:
    def record(self, event: Event) -> None:
        click.echo(f"{event.kind.value} {event.detail}")


async def async_main(name: str, zone: str, seeds: tuple[str, ...]) -> None:
    """Run until killed."""
    links = network(entry_id(name, zone=zone))
    await links.async_setup()
    membership = MembershipCoordinator(
        MembershipSettings(seeds=seeds),
        vm_list=FakeVmList(),
        network=links,
        recorder=_Printer(),
        clock=SystemClock(),
        rng=random.Random(name),
    )
    await membership.async_setup()
    click.echo(f"listening {links.peer_url}")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(async_main(sys.argv[1], sys.argv[2], tuple(sys.argv[3:])))
