"""Keeps the local copy of one kind up to date."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from gypsumsail.catalog.const import (
    CONFIRM_SHARE,
    CONFIRM_TIMEOUT_SECONDS,
    CONFIRM_WAIT_SECONDS,
    FIRST_RETRY_SECONDS,
    MAX_RETRY_SECONDS,
    OUTAGE_WATCH_SECONDS,
    RETRY_SECONDS,
    WATCH_OVERRUN_SECONDS,
    WATCHER_CHECK_SECONDS,
)
from gypsumsail.catalog.freshness import ChangeDelay, is_too_old, watch_seconds
from gypsumsail.catalog.kind_state import Changes, KindState
from gypsumsail.catalog.store_health import StoreHealth
from gypsumsail.core.aligned_sleep import async_sleep_aligned
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import ObjectApi, WatchExpiredError

_LOGGER = logging.getLogger(__name__)


class KindWatch:
    """Lists a kind once and then watches it for changes.

    Attributes
    ----------
    must_list
        Whether the next call lists the kind instead of watching it.
    has_just_listed
        Whether no watch has succeeded since the last listing.
    on_changes
        Called with the kind and its changes.
    bound
        Seconds in which a change of the kind must be in force.
    is_watcher
        Returns whether this VM is assigned to watch a kind.
    is_relied_on
        Returns whether other VMs depend on what this one reads of a kind.
    on_availability
        Called with whether the store is available, and the reason of an outage.
    on_reading
        Called with the kind when this VM starts or stops to read it from the store.
    confirmed_at, read_at
        Time at which the store is known to have had no change that the copy lacks, by
        this VM or others, and by this VM alone.
    confirmed_before
        The time ``confirmed_at`` before the last reading of this VM.
    behind_since
        Time at which another VM first told of a change that the copy lacks; ``None``
        if none has.
    """

    def __init__(
        self,
        api: ObjectApi,
        kind: str,
        health: StoreHealth,
        clock: Clock,
        on_changes: Callable[[str, Changes], None],
        on_availability: Callable[[bool, str], None],
        is_watcher: Callable[[str], bool],
        bound: float,
    ) -> None:
        self.api = api
        self.kind = kind
        self.health = health
        self.clock = clock
        self.state = KindState()
        self.bound = bound
        self.must_list = True
        self.has_just_listed = False
        self.on_changes = on_changes
        self.on_availability = on_availability
        self.is_watcher = is_watcher
        self.on_reading: Callable[[str, bool], None] = lambda kind, is_reading: None
        self.is_relied_on: Callable[[str], bool] = lambda kind: False
        self.confirm_lock = asyncio.Lock()
        self.confirmed_at = float("-inf")
        self.read_at = float("-inf")
        self.confirmed_before = float("-inf")
        self.behind_since: float | None = None
        self.is_reading = False

    @property
    def reads_store(self) -> bool:
        """Return whether this VM reads the kind from the store.

        It does so when it is a watcher, while it has no copy yet, and when its copy
        may be too old. Otherwise it receives the changes from its peers.
        """
        return (
            not self.state.revision
            or self.is_watcher(self.kind)
            or is_too_old(self.age(self.clock.monotonic()), self.bound)
        )

    async def async_run(self) -> None:
        """Follow the kind until the task is cancelled."""
        pause = RETRY_SECONDS
        while True:
            reads_store = self.reads_store
            if reads_store != self.is_reading:
                self.is_reading = reads_store
                self.on_reading(self.kind, reads_store)
            if not reads_store:
                await async_sleep_aligned(WATCHER_CHECK_SECONDS)
                continue
            if not self.is_watcher(self.kind) and await self._async_read_old_copy():
                continue
            try:
                changes = await self._async_step()
            except WatchExpiredError:
                if self.has_just_listed:
                    # The store does not know the revision that it has just stated, so
                    # another listing would not help yet.
                    await asyncio.sleep(pause)
                self.must_list = True
                continue
            except TransportError as err:
                # No new listing is needed: if the store no longer keeps the changes,
                # the next watch raises `WatchExpiredError`.
                if self.health.record_failure():
                    self.on_availability(False, str(err))
                    await asyncio.sleep(FIRST_RETRY_SECONDS)
                    continue
                await asyncio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_SECONDS)
                continue
            pause = RETRY_SECONDS
            self._record_answer()
            if changes.objects:
                self.on_changes(self.kind, changes)

    async def _async_step(self) -> Changes:
        started_at = self.clock.monotonic()
        if self.must_list:
            listing = await self.api.async_list(self.kind)
            self._record_confirmation(started_at)
            self.must_list = False
            self.has_just_listed = True
            changes = self.state.replace(listing)
            if changes.is_restored and self.health.record_failure():
                # The store has lost records of live targets until they write again.
                reason = "the store was restored from an older copy"
                self.on_availability(False, reason)
            return changes
        # A short wait shows sooner whether a failing store has recovered.
        wait = OUTAGE_WATCH_SECONDS if self.health.is_failing else self._wait()
        listing = await self.api.async_watch(
            self.kind, after_revision=self.state.revision, wait=wait
        )
        self.has_just_listed = False
        now = self.clock.monotonic()
        if now - started_at > wait + WATCH_OVERRUN_SECONDS:
            # The store was unavailable for a while, so records may have expired
            # although their targets are alive.
            self.health.record_failure()
        # Only an answer that took the whole wait is known to be as late as its end.
        is_late = not listing.objects and now - started_at >= wait
        self._record_confirmation(started_at + wait if is_late else started_at)
        return self.state.apply(listing)

    async def _async_read_old_copy(self) -> bool:
        """Read the changes until now of a copy that others no longer confirm.

        A watch would not show for the length of its wait that its call hangs. Returns
        whether the store has answered.
        """
        if self.health.is_failing:
            return False
        has_answered = await self.async_confirm(self.bound * CONFIRM_SHARE)
        if has_answered:
            self._record_answer()
        return has_answered

    def _record_answer(self) -> None:
        if self.health.record_answer(self.clock.monotonic()):
            self.on_availability(True, "")

    def _wait(self) -> float:
        is_relied_on = self.is_relied_on(self.kind) or not self.is_watcher(self.kind)
        return watch_seconds(self.bound, is_relied_on=is_relied_on)

    @callback
    def confirm(self, changed_revision: int, at: float) -> bool:
        """Record that another VM has read the store; return whether it is not ahead.

        Parameters
        ----------
        changed_revision
            Revision of the newest change that the store had.
        at
            Time at which it had no newer one.
        """
        if changed_revision > self.state.revision:
            return False
        if self.state.revision:
            self.confirmed_at = max(self.confirmed_at, at)
        return True

    async def async_confirm(self, limit: float = CONFIRM_TIMEOUT_SECONDS) -> bool:
        """Read the changes until now; return whether the copy has them all.

        Callers that wait for each other share one call that began after theirs.

        Parameters
        ----------
        limit
            Time limit of the call in seconds.
        """
        asked_at = self.clock.monotonic()
        async with self.confirm_lock:
            if self.read_at < asked_at and self.state.revision and not self.must_list:
                try:
                    async with asyncio.timeout(limit):
                        await self._async_read_changes()
                except (TransportError, WatchExpiredError, TimeoutError) as err:
                    _LOGGER.debug("Copy of %s is not confirmed: %s", self.kind, err)
        return self.read_at >= asked_at

    async def _async_read_changes(self) -> None:
        started_at = self.clock.monotonic()
        listing = await self.api.async_watch(
            self.kind, after_revision=self.state.revision, wait=CONFIRM_WAIT_SECONDS
        )
        self._record_confirmation(started_at)
        changes = self.state.apply(listing)
        if changes.objects:
            self.on_changes(self.kind, changes)

    @callback
    def doubt(self) -> None:
        """Forget when the copy was confirmed, so that the store is read again."""
        self.confirmed_at = float("-inf")

    def age(self, now: float) -> float:
        """Return the seconds since the store is known to have confirmed the copy."""
        return now - self.confirmed_at

    @callback
    def note_behind(self, now: float) -> None:
        """Record that another VM tells of a change that the copy lacks."""
        if self.behind_since is None:
            self.behind_since = now

    @callback
    def take_delay(self, *, was_read: bool, now: float) -> ChangeDelay:
        """Return how long a change may have been unknown that is applied now.

        Parameters
        ----------
        was_read
            Whether this VM has read the change from the store itself.
        """
        complete_at = self.confirmed_before if was_read else self.confirmed_at
        behind_since, self.behind_since = self.behind_since, None
        return ChangeDelay(
            at_most=now - complete_at,
            at_least=now - behind_since if behind_since is not None else 0.0,
        )

    def _record_confirmation(self, at: float) -> None:
        self.confirmed_before = self.confirmed_at
        self.read_at = max(self.read_at, at)
        self.confirmed_at = max(self.confirmed_at, at)
