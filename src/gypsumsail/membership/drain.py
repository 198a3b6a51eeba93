"""Graceful shutdown of an entry: when it becomes unready and when it may stop."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

BALANCER_NOTICE_SECONDS: Final = 5.0
"""Time after the first signal in which the balancer may still send requests."""
IDLE_SECONDS: Final = 2.0
"""Time without a running request after which an entry is idle."""
LIMIT_SECONDS: Final = 600.0
"""Time after the first signal at which an entry stops in any case."""


class DrainPhase(StrEnum):
    """Lifecycle phase of an entry."""

    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class StopReason(StrEnum):
    """Reason why a draining entry stopped."""

    IDLE = "idle"
    SECOND_SIGNAL = "second signal"
    LIMIT = "limit"


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningRequest:
    """A request whose answer is not complete yet."""

    request_id: str
    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MarkUnready:
    """Report unreadiness to the balancer, and continue to serve requests."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseDuties:
    """Release leases and other duties, and accept no new ones."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Stop:
    """Stop the process.

    Attributes
    ----------
    seconds
        Seconds since the first signal.
    cut
        Requests that are cut off; empty when the entry is idle.
    """

    reason: StopReason
    seconds: float
    cut: tuple[RunningRequest, ...]


DrainAction = MarkUnready | ReleaseDuties | Stop


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainSettings:
    """Settings of a graceful shutdown.

    Attributes
    ----------
    balancer_notice_seconds
        Seconds for which the balancer may still send new requests.
    idle_seconds
        Seconds without a running request after which the entry is idle.
    limit_seconds
        Seconds after which the entry stops in any case.
    """

    balancer_notice_seconds: float = BALANCER_NOTICE_SECONDS
    idle_seconds: float = IDLE_SECONDS
    limit_seconds: float = LIMIT_SECONDS


class Drain:
    """Graceful shutdown of one entry.

    Attributes
    ----------
    phase
        Present phase; a draining entry is unready but still serves requests.
    started_at
        Monotonic seconds of the first signal.
    last_busy_at
        Monotonic seconds at which a request was last running.
    """

    def __init__(self, settings: DrainSettings) -> None:
        self.settings = settings
        self.phase = DrainPhase.READY
        self.started_at = 0.0
        self.last_busy_at = 0.0

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new requests here."""
        return self.phase is DrainPhase.READY

    def accepts(self, *, deadline_at: float, now: float) -> bool:
        """Return whether a request that arrives now is taken.

        The balancer's requests are. Later ones come on connections that are still
        open, and must have ended before the entry stops in any case.

        Parameters
        ----------
        deadline_at
            Monotonic seconds at which the request ends at the latest.
        """
        if self.phase is DrainPhase.READY:
            return True
        if now - self.started_at < self.settings.balancer_notice_seconds:
            return True
        return deadline_at <= self.started_at + self.settings.limit_seconds

    def signal(
        self, *, now: float, running: tuple[RunningRequest, ...]
    ) -> tuple[DrainAction, ...]:
        """Handle a stop signal."""
        match self.phase:
            case DrainPhase.READY:
                self.phase = DrainPhase.DRAINING
                self.started_at = self.last_busy_at = now
                return MarkUnready(), ReleaseDuties()
            case DrainPhase.DRAINING:
                return self._stop(StopReason.SECOND_SIGNAL, now, running)
            case DrainPhase.STOPPED:
                return ()

    def tick(
        self, *, now: float, running: tuple[RunningRequest, ...]
    ) -> tuple[DrainAction, ...]:
        """Return the actions that are due; call this several times per second."""
        if self.phase is not DrainPhase.DRAINING:
            return ()
        if running:
            self.last_busy_at = now
        if now - self.started_at >= self.settings.limit_seconds:
            reason = StopReason.LIMIT if running else StopReason.IDLE
            return self._stop(reason, now, running)
        in_notice_period = now - self.started_at < self.settings.balancer_notice_seconds
        if in_notice_period or now - self.last_busy_at < self.settings.idle_seconds:
            return ()
        return self._stop(StopReason.IDLE, now, running)

    def _stop(
        self, reason: StopReason, now: float, running: tuple[RunningRequest, ...]
    ) -> tuple[DrainAction, ...]:
        self.phase = DrainPhase.STOPPED
        return (Stop(reason=reason, seconds=now - self.started_at, cut=running),)
