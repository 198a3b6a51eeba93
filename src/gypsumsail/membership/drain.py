"""Graceful shutdown of an entry: when it turns unready and when it may end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

BALANCER_GRACE_SECONDS: Final = 5.0
IDLE_SECONDS: Final = 2.0
LIMIT_SECONDS: Final = 600.0


class DrainPhase(StrEnum):
    """Phase of an entry's life."""

    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class StopReason(StrEnum):
    """Why a draining entry ended."""

    IDLE = "idle"
    SECOND_SIGNAL = "second signal"
    LIMIT = "limit"


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningRequest:
    """A request that is not answered whole yet."""

    request_id: str
    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MarkUnready:
    """Tell the balancer that another entry is better; go on serving."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseDuties:
    """Give up leases and other duties, and take no new ones."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Stop:
    """End the process.

    Attributes
    ----------
    seconds
        Time since the first signal.
    cut
        Requests that are cut off; empty when the entry ends idle.
    """

    reason: StopReason
    seconds: float
    cut: tuple[RunningRequest, ...]


DrainAction = MarkUnready | ReleaseDuties | Stop


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainSettings:
    """Settings of a shutdown.

    Attributes
    ----------
    grace
        Seconds for which the balancer may still send new requests.
    idle
        Seconds without a request after which the entry is idle.
    limit
        Seconds after which the entry ends in any case.
    """

    grace: float = BALANCER_GRACE_SECONDS
    idle: float = IDLE_SECONDS
    limit: float = LIMIT_SECONDS


class Drain:
    """Shutdown of one entry.

    Attributes
    ----------
    phase
        Present phase; an entry that drains is unready and serves on.
    started_at
        Monotonic seconds of the first signal.
    busy_at
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

    def signal(
        self, *, now: float, running: tuple[RunningRequest, ...]
    ) -> tuple[DrainAction, ...]:
        """Take a signal to end."""
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
        """Look whether the entry may end; call it several times a second."""
        if self.phase is not DrainPhase.DRAINING:
            return ()
        if running:
            self.last_busy_at = now
        if now - self.started_at >= self.settings.limit:
            reason = StopReason.LIMIT if running else StopReason.IDLE
            return self._stop(reason, now, running)
        in_grace = now - self.started_at < self.settings.grace
        if in_grace or now - self.last_busy_at < self.settings.idle:
            return ()
        return self._stop(StopReason.IDLE, now, running)

    def _stop(
        self, reason: StopReason, now: float, running: tuple[RunningRequest, ...]
    ) -> tuple[DrainAction, ...]:
        self.phase = DrainPhase.STOPPED
        return (Stop(reason=reason, seconds=now - self.started_at, cut=running),)
