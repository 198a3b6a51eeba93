"""Cold engines with the ``/v1/`` API, and entries that are listed late.

Only the soak uses them, in its own process.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
import random
from typing import Any, Final, NamedTuple

WINDOW_SECONDS: Final = 1.0
"""Window in which the requests to a cold engine are counted."""
CRASH_FACTOR: Final = 2.0
"""A cold engine crashes at this multiple of the requests that it may get."""
ENTRY_SECONDS: Final = 1.2
"""Interval at which an engine writes its entry."""
MIN_LISTING_SECONDS: Final = 0.1
MAX_LISTING_SECONDS: Final = 0.8
"""Least and longest time until a written entry is in the list of targets."""
NOTICE_SECONDS: Final = 2.0
"""Time that VMs have to learn that an engine is cold without having been down.

An entry is listed up to 0.8 s late, and a VM may then be reading the list again.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdLimits:
    """What engines tolerate while they are cold.

    Attributes
    ----------
    seconds
        Time for which an engine is cold after a start (``cold_s``).
    per_second
        Requests per second that a cold engine tolerates (``cold_per_s``).
    over, slack
        Bound on the requests in any second: ``per_second`` times ``over``, plus
        ``slack`` (``cold_over``, ``cold_slack``).
    """

    seconds: float
    per_second: float
    over: float
    slack: float

    def allowed(self, late_seconds: float = 0.0) -> float:
        """Return the most requests that may arrive in a second.

        Parameters
        ----------
        late_seconds
            Time by which requests may have arrived late, and so in a shorter time than
            that in which they were sent.
        """
        return self.per_second * self.over * (1.0 + late_seconds) + self.slack


class ColdTime(NamedTuple):
    """Time for which an engine is cold; times are monotonic, in seconds.

    Attributes
    ----------
    notice_seconds
        Time after ``since`` that VMs have to learn it; 0 if they know it without the
        engine's entry.
    """

    since: float
    until: float
    notice_seconds: float


class EngineRequest(NamedTuple):
    """Request that has reached an engine and was meant for it.

    Attributes
    ----------
    at
        Monotonic time of the arrival, in seconds.
    cold
        Cold time in which it arrived; ``None`` if the engine was warm or answered 421.
    """

    at: float
    engine: str
    zone: str
    request_id: str
    cold: ColdTime | None


class ColdPhase:
    """Whether one engine is cold, and the requests that it gets while it is.

    Attributes
    ----------
    time
        Last cold time.
    recent
        Monotonic times of the requests in the last window.
    """

    def __init__(self, limits: ColdLimits) -> None:
        self.limits = limits
        self.time = ColdTime(0.0, 0.0, 0.0)
        self.recent: deque[float] = deque()

    def begin(self, now: float, notice_seconds: float) -> None:
        """Become cold; requests of the same cold life still count."""
        if self.time_at(now) is None:
            self.recent.clear()
        self.time = ColdTime(now, now + self.limits.seconds, notice_seconds)

    def restart(self, now: float, notice_seconds: float) -> None:
        """Become cold as a new life, which has got no request."""
        self.recent.clear()
        self.begin(now, notice_seconds)

    def left_ms(self, now: float) -> int:
        """Return the milliseconds for which the engine stays cold."""
        return max(round((self.time.until - now) * 1000), 0)

    def time_at(self, now: float) -> ColdTime | None:
        """Return the cold time at ``now``; ``None`` if the engine is warm."""
        return self.time if now < self.time.until else None

    def crashes_at(self, now: float) -> bool:
        """Count a request; return whether the engine crashes at it."""
        if self.time_at(now) is None:
            return False
        self.recent.append(now)
        while self.recent[0] <= now - WINDOW_SECONDS:
            self.recent.popleft()
        return len(self.recent) > CRASH_FACTOR * self.limits.allowed()


class LateEntries:
    """Lists the entries of one engine some time after it has written them.

    An entry that was written before the last one listed is dropped.
    """

    def __init__(
        self, name: str, put: Callable[[dict[str, Any]], Awaitable[None]]
    ) -> None:
        self.random = random.Random(f"entries {name}")
        self.put = put
        self.written = 0
        self.listed = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def write(self, spec: dict[str, Any]) -> None:
        """Write an entry, which is in the list some 100s of ms later."""
        self.written += 1
        self._start(self._async_list(self.written, spec))

    def start_writing(self, write: Callable[[], Awaitable[None]]) -> None:
        """Call a function that writes the entry about every ``ENTRY_SECONDS``."""
        self._start(self._async_write(write))

    def stop(self) -> None:
        """End all tasks; entries that are not listed yet are lost."""
        for task in list(self.tasks):
            task.cancel()

    def _start(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _async_list(self, number: int, spec: dict[str, Any]) -> None:
        await asyncio.sleep(
            self.random.uniform(MIN_LISTING_SECONDS, MAX_LISTING_SECONDS)
        )
        if number > self.listed:
            self.listed = number
            await self.put(spec)

    async def _async_write(self, write: Callable[[], Awaitable[None]]) -> None:
        while True:
            await asyncio.sleep(ENTRY_SECONDS * self.random.uniform(0.9, 1.1))
            await write()
