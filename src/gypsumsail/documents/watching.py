"""Follows the documents on the platform, on entries that are relays.

Relays are the few entries of a zone that read documents from the platform. The other
entries receive them in the exchange of documents between entries.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
import logging
import random
from typing import Any

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.documents.const import (
    DOCUMENT_PREFIX,
    EMPTY_WATCH_DELAY_SECONDS,
    LIST_INTERVAL_SECONDS,
    LIST_TIMEOUT_SECONDS,
    RELAY_CHECK_SECONDS,
    RETRY_SECONDS,
    WATCH_TIMEOUT_SECONDS,
    WATCH_WAIT_SECONDS,
)
from gypsumsail.documents.models import Source
from gypsumsail.object_api.port import (
    Listing,
    ObjectApi,
    PlatformObject,
    WatchExpiredError,
)

_LOGGER = logging.getLogger(__name__)

ObjectHandler = Callable[[PlatformObject, Source], None]


class PlatformWatcher:
    """Watches the documents on the platform and lists them periodically.

    Listing covers a watch that silently delivers no events.

    Attributes
    ----------
    is_relay
        Returns whether this entry is a relay at a monotonic time.
    confirm
        Called after a list with the monotonic time at which it was requested: what was
        on the platform then has been handled.
    """

    def __init__(
        self,
        api: ObjectApi,
        *,
        clock: Clock,
        rng: random.Random,
        is_relay: Callable[[float], bool],
        handle_object: ObjectHandler,
        confirm: Callable[[float], None],
    ) -> None:
        self.api = api
        self.clock = clock
        self.rng = rng
        self.is_relay = is_relay
        self.handle_object = handle_object
        self.confirm = confirm
        self._tasks: list[asyncio.Task[None]] = []

    async def async_setup(self) -> None:
        """Start watching and listing."""
        self._tasks = [
            asyncio.create_task(self._async_repeat(step, pause))
            for step, pause in (
                (self._async_watch_while_relay, RELAY_CHECK_SECONDS),
                (self._async_list_if_relay, LIST_INTERVAL_SECONDS),
            )
        ]

    async def async_unload(self) -> None:
        """Stop watching and listing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_watch_while_relay(self) -> None:
        """List, then watch from that revision until the entry is no relay any more."""
        if not self.is_relay(self.clock.monotonic()):
            return
        revision = (await self._async_list()).revision
        while self.is_relay(self.clock.monotonic()):
            async with asyncio.timeout(WATCH_TIMEOUT_SECONDS):
                changed = await self.api.async_watch(
                    DOCUMENT_PREFIX, after_revision=revision, wait=WATCH_WAIT_SECONDS
                )
            self._handle_all(changed, Source.WATCH)
            revision = changed.revision
            if not changed.objects:
                await asyncio.sleep(EMPTY_WATCH_DELAY_SECONDS)

    async def _async_list_if_relay(self) -> None:
        if self.is_relay(self.clock.monotonic()):
            await self._async_list()

    async def _async_list(self) -> Listing:
        asked_at = self.clock.monotonic()
        async with asyncio.timeout(LIST_TIMEOUT_SECONDS):
            listing = await self.api.async_list(DOCUMENT_PREFIX)
        self._handle_all(listing, Source.LIST)
        self.confirm(asked_at)
        return listing

    def _handle_all(self, listing: Listing, source: Source) -> None:
        for found in listing.objects:
            self.handle_object(found, source)

    async def _async_repeat(
        self, step: Callable[[], Coroutine[Any, Any, None]], pause: float
    ) -> None:
        while True:
            try:
                await step()
                wait = pause
            except WatchExpiredError:
                wait = pause
            except (TransportError, TimeoutError) as error:
                _LOGGER.debug(
                    "Documents could not be read from the platform, retrying: %s", error
                )
                wait = max(pause, RETRY_SECONDS)
            except Exception:
                _LOGGER.exception("Unexpected error while following the documents")
                wait = max(pause, RETRY_SECONDS)
            await asyncio.sleep(wait * self.rng.uniform(0.8, 1.2))
