"""Finds out whether silent targets still take connections.

Answers the load in which engines are so full that calls wait long for their first
token: silence alone would make each VM leave engines that work, and have prompts read
twice. A target that can't be connected gets no call before a connection opens, so that
no call has to find out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.const import CHECK_VALID_SECONDS
from gypsumsail.gateway.port import TargetCalls
from gypsumsail.gateway.targets import TargetState, TargetTable


class LivenessChecks:
    """Connections that are opened only to see whether a target takes them.

    Attributes
    ----------
    on_checked
        Called with each target that was checked, and with the reason where it failed.
    """

    def __init__(self, calls: TargetCalls, targets: TargetTable, clock: Clock) -> None:
        self.calls = calls
        self.targets = targets
        self.clock = clock
        self.on_checked: Callable[[TargetState, str], None] = lambda state, reason: None
        self.running: dict[tuple[str, int], asyncio.Task[bool]] = {}

    async def async_is_connectable(self, state: TargetState) -> bool:
        """Return whether a target takes a connection, now or a moment ago."""
        if self.clock.monotonic() - state.connected_at < CHECK_VALID_SECONDS:
            return True
        return await asyncio.shield(self._check(state))

    @callback
    def tick(self, now: float) -> None:
        """Check blocked targets whose pause is over."""
        for state in self.targets.states.values():
            if state.needs_check and state.blocked_until <= now:
                self._check(state)

    @callback
    def stop(self) -> None:
        """End the checks."""
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
            state.mark_unreachable(self.clock.monotonic())
            self.on_checked(state, str(err))
            return False
        was_blocked = state.needs_check
        state.mark_reachable(self.clock.monotonic())
        if was_blocked:
            self.on_checked(state, "")
        return True
