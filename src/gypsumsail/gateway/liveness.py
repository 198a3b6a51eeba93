"""Liveness checks that open a connection to a target.

At full engines, calls wait long for their first token. If silence alone counted as a
failure, every VM would abandon working engines, and prompts would be prefilled twice.
After a failed connection attempt, a target gets no call until a check has opened a
connection, so that no call spends its time on another failed attempt.

What other VMs report of a target is a reason for a check and no proof: they may be cut
off themselves, and this VM would then never learn that it reaches the target.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.const import CHECK_VALID_SECONDS, CONNECT_SECONDS
from gypsumsail.gateway.port import TargetClient
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import TargetState


class LivenessChecks:
    """Runs liveness checks, at most one at a time for each target.

    Attributes
    ----------
    calls
        Client that runs the checks.
    on_checked
        Called with a target and a reason: after a failed check, why it failed; after a
        check that unblocks the target, an empty string.
    """

    def __init__(self, calls: TargetClient, targets: TargetTable, clock: Clock) -> None:
        self.calls = calls
        self.targets = targets
        self.clock = clock
        self.on_checked: Callable[[TargetState, str], None] = lambda state, reason: None
        self.running: dict[tuple[str, int], asyncio.Task[bool]] = {}

    async def async_is_connectable(self, state: TargetState) -> bool:
        """Return whether a target accepts connections; recent connections count."""
        if self.clock.monotonic() - state.connected_at < CHECK_VALID_SECONDS:
            return True
        return await asyncio.shield(self._check(state))

    @callback
    def tick(self, now: float) -> None:
        """Check targets whose block has expired or that others report.

        The same holds for targets that may have become cold, see ``ColdState``.
        """
        self.targets.note_time(now)
        for state in self.targets.states.values():
            if state.blocked_until > now:
                continue
            if (
                state.needs_check
                or state.is_contact_check_due(now)
                or state.is_reported_unreachable(now)
            ):
                self._check(state)

    @callback
    def check_links(self, now: float) -> None:
        """Check all targets if none has been heard since a failed attempt began.

        The links of this VM may be cut then, and no call should have to find that out
        for each target. Attempts last for ``CONNECT_SECONDS`` at most.
        """
        states = self.targets.states.values()
        if any(state.contact_at >= now - CONNECT_SECONDS for state in states):
            return
        for state in states:
            if not state.has_failed_attempt(now):
                self._check(state)

    @callback
    def stop(self) -> None:
        """Cancel the running checks."""
        for task in self.running.values():
            task.cancel()

    def _check(self, state: TargetState) -> asyncio.Task[bool]:
        key = (state.entry.name, state.entry.life)
        task = self.running.get(key)
        if task is None:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._async_check(state))
            self.running[key] = task
            task.add_done_callback(lambda _: self.running.pop(key, None))
        return task

    async def _async_check(self, state: TargetState) -> bool:
        try:
            await self.calls.async_check(state.entry)
        except TransportError as err:
            now = self.clock.monotonic()
            state.mark_unreachable(now)
            self.on_checked(state, str(err))
            self.check_links(now)
            return False
        was_blocked = state.needs_check
        state.mark_reachable(self.clock.monotonic())
        if was_blocked:
            self.on_checked(state, "")
        return True
