"""Lag of documents and its alarms."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.documents.const import (
    LAG_LIMIT_SECONDS,
    LAG_STALLED_SECONDS,
    UNCONFIRMED_LIMIT_SECONDS,
)
from gypsumsail.documents.models import AlarmKind, DocumentLag, LagAlarm


@dataclass(slots=True, kw_only=True)
class _ServiceLag:
    """Lag of a service whose newest known version is not in force.

    Attributes
    ----------
    since
        Monotonic time at which the lag began, in seconds.
    min_missing
        Smallest number of missing versions so far.
    decreased_at
        Monotonic time at which that number last decreased, in seconds.
    """

    since: float
    min_missing: int
    decreased_at: float


class LagMonitor:
    """Tracks known versions and versions in force.

    Attributes
    ----------
    confirmed_at
        Latest monotonic time, in seconds, for which everything that was on the
        platform is known to have been received, and accepted or rejected.
    """

    def __init__(self) -> None:
        self.highest_known: dict[str, int] = {}
        self.in_force: dict[str, int] = {}
        self.behind: dict[str, _ServiceLag] = {}
        self.confirmed_at: float | None = None

    def record_known(self, service: str, version: int, *, now: float) -> None:
        """Record that a version exists."""
        if version > self.highest_known.get(service, 0):
            self.highest_known[service] = version
            self._update(service, now)

    def record_in_force(self, service: str, version: int, *, now: float) -> None:
        """Record the version in force."""
        self.in_force[service] = version
        self.highest_known[service] = max(version, self.highest_known.get(service, 0))
        self._update(service, now)

    def confirm(self, platform_read_at: float) -> None:
        """Record that everything on the platform at the given time was received."""
        if self.confirmed_at is None or platform_read_at > self.confirmed_at:
            self.confirmed_at = platform_read_at

    def unconfirmed_seconds(self, now: float) -> float | None:
        """Return the seconds since the last comparison; ``None`` if there was none."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def lags(self, now: float) -> tuple[DocumentLag, ...]:
        """Return the lag of each service."""
        return tuple(self._lag(service, now) for service in sorted(self.highest_known))

    def alarms(self, now: float) -> tuple[LagAlarm, ...]:
        """Return the active alarms.

        There are alarms for lags that are long or do not shrink, and one if the
        documents were not compared with the platform recently.
        """
        found: list[LagAlarm] = []
        for service, behind in sorted(self.behind.items()):
            duration, stalled = now - behind.since, now - behind.decreased_at
            if duration > LAG_LIMIT_SECONDS:
                found.append(_alarm(AlarmKind.LARGE, service, duration))
            if stalled > LAG_STALLED_SECONDS:
                found.append(_alarm(AlarmKind.NOT_SHRINKING, service, stalled))
        unconfirmed = self.unconfirmed_seconds(now)
        if unconfirmed is None or unconfirmed > UNCONFIRMED_LIMIT_SECONDS:
            found.append(_alarm(AlarmKind.UNCONFIRMED, "", unconfirmed or 0.0))
        return tuple(found)

    def _update(self, service: str, now: float) -> None:
        missing = self.highest_known.get(service, 0) - self.in_force.get(service, 0)
        behind = self.behind.get(service)
        if missing <= 0:
            self.behind.pop(service, None)
        elif behind is None:
            self.behind[service] = _ServiceLag(
                since=now, min_missing=missing, decreased_at=now
            )
        elif missing < behind.min_missing:
            behind.min_missing = missing
            behind.decreased_at = now

    def _lag(self, service: str, now: float) -> DocumentLag:
        behind = self.behind.get(service)
        return DocumentLag(
            service=service,
            in_force=self.in_force.get(service, 0),
            highest_known=self.highest_known[service],
            behind_seconds=0.0 if behind is None else now - behind.since,
            unconfirmed_seconds=self.unconfirmed_seconds(now),
        )


def _alarm(kind: AlarmKind, service: str, seconds: float) -> LagAlarm:
    return LagAlarm(kind=kind, service=service, seconds=seconds)
