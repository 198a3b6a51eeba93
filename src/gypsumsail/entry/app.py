"""Runs an entry process until a stop signal arrives."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import Final
from urllib.parse import urlsplit

import click

from gypsumsail.core.clock import SystemClock
from gypsumsail.core.signals import handle_signal
from gypsumsail.entry.operator_models import EntryState
from gypsumsail.entry.runtime import EntryRuntime
from gypsumsail.entry.settings import EntrySettings
from gypsumsail.logs.setup import setup_logs
from gypsumsail.membership.drain import (
    Drain,
    DrainSettings,
    MarkUnready,
    ReleaseDuties,
    Stop,
)
from gypsumsail.timeline.models import Event, EventKind

DRAIN_POLL_SECONDS: Final = 0.1
EXIT_REQUESTS_ABORTED: Final = 1

_LOGGER = logging.getLogger(__name__)


async def async_run_entry(settings: EntrySettings) -> int:
    """Run an entry and return the exit status of the process."""
    setup_logs(settings)
    runtime = EntryRuntime(settings, SystemClock())
    stops = StopSignals()
    stops.listen()
    await runtime.async_setup()
    peer_port = urlsplit(runtime.shared.network.peer_url).port
    click.echo(f"listening {runtime.server.port} peers {peer_port}")
    warm_up = asyncio.create_task(runtime.async_become_ready())
    await stops.async_wait_first()
    warm_up.cancel()
    stop = await _async_drain(runtime, stops)
    _report_shutdown(runtime, stop)
    await runtime.async_unload()
    return EXIT_REQUESTS_ABORTED if stop.cut else 0


class StopSignals:
    """Records the first and the second signal to stop the process."""

    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()

    def listen(self) -> None:
        """Install the handlers of SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            handle_signal(number, self.on_signal)

    def on_signal(self) -> None:
        """Record one signal."""
        event = self.second if self.first.is_set() else self.first
        event.set()

    async def async_wait_first(self) -> None:
        """Wait for the first signal."""
        await self.first.wait()


async def _async_drain(runtime: EntryRuntime, stops: StopSignals) -> Stop:
    """Become unready, release the order lease and wait until the entry may stop."""
    clock = runtime.clock
    drain = Drain(DrainSettings(limit_seconds=runtime.settings.drain_seconds))
    actions = drain.signal(now=clock.monotonic(), running=runtime.running())
    runtime.caller_api.accepts = drain.accepts
    runtime.shared.recorder.record(Event(kind=EventKind.ENTRY_DRAINING))
    while True:
        for action in actions:
            match action:
                case MarkUnready():
                    runtime.status.state = EntryState.DRAINING
                case ReleaseDuties():
                    await runtime.async_release_order_lease()
                case Stop():
                    return action
        await asyncio.sleep(DRAIN_POLL_SECONDS)
        now = clock.monotonic()
        running = runtime.running()
        if stops.second.is_set():
            actions = drain.signal(now=now, running=running)
        else:
            actions = drain.tick(now=now, running=running)


def _report_shutdown(runtime: EntryRuntime, stop: Stop) -> None:
    """Log and record why the drain ended and which requests it aborts."""
    for request in stop.cut:
        _LOGGER.warning("Request %s was cut off", request.request_id)
    _LOGGER.info(
        "Drain ended after %.1f s (%s); requests cut off: %d",
        stop.seconds,
        stop.reason.value,
        len(stop.cut),
    )
    runtime.shared.recorder.record(
        Event(
            kind=EventKind.ENTRY_STOPPED,
            detail=f"{stop.reason.value}, {len(stop.cut)} cut off",
        )
    )
