"""Limit that a target names for the rate of calls from all VMs together.

A target names its limit in each answer, for as long as the limit holds. An answer
without a limit ends it, but only the answer to a call that was sent after the limit was
last heard of: answers on other connections may be older.
"""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.core.units import MILLISECONDS_PER_SECOND


@dataclass(frozen=True, slots=True, kw_only=True)
class NamedLimit:
    """The answer names a limit in calls per second."""

    calls_per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class NoLimit:
    """The answer names no limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class InvalidLimit:
    """The answer names a limit that is not a number, or is negative or infinite."""

    text: str


NO_LIMIT = NoLimit()

LimitStatement = NamedLimit | NoLimit | InvalidLimit


@dataclass(slots=True, kw_only=True)
class CallLimit:
    """Limit that is assumed for a target.

    Attributes
    ----------
    calls_per_second
        The limit; ``None`` if the target names none.
    heard_at
        Time at which the limit was last heard of.
    stamp
        Order of the statements of the target, over all VMs: about the wall-clock time
        in milliseconds at which the target last said so; 0 before any statement.
    """

    calls_per_second: float | None = None
    heard_at: float = float("-inf")
    stamp: int = 0

    def record(
        self,
        statement: LimitStatement,
        sent_at: float,
        now: float,
        wall_ms: int,
    ) -> bool:
        """Apply what an answer says; return whether the limit changed.

        Parameters
        ----------
        sent_at
            Time at which the call was sent that the answer belongs to.
        wall_ms
            Wall-clock time in milliseconds.
        """
        match statement:
            case NamedLimit():
                # An answer that arrives now may have been given now.
                return self._record_limit(statement.calls_per_second, now, wall_ms)
            case NoLimit() if sent_at >= self.heard_at:
                # The target may have given the answer as soon as the call was sent,
                # and have named a limit to other VMs since then.
                transit_ms = round((now - sent_at) * MILLISECONDS_PER_SECOND)
                return self._record_end(wall_ms - transit_ms)
            case _:
                return False

    def _record_limit(self, calls_per_second: float, now: float, wall_ms: int) -> bool:
        self.heard_at = now
        if calls_per_second == self.calls_per_second:
            self.stamp = max(wall_ms, self.stamp)
            return False
        self._replace(calls_per_second, wall_ms)
        return True

    def _record_end(self, said_at_ms: int) -> bool:
        if self.calls_per_second is None:
            if self.stamp:
                self.stamp = max(said_at_ms, self.stamp)
            return False
        self._replace(None, said_at_ms)
        return True

    def _replace(self, calls_per_second: float | None, said_at_ms: int) -> None:
        self.calls_per_second = calls_per_second
        # A clock that is behind must not make this statement older than the last one.
        self.stamp = max(said_at_ms, self.stamp + 1)

    def apply(self, calls_per_second: float | None, stamp: int, now: float) -> bool:
        """Apply a statement that another VM heard; return whether it is newer."""
        if stamp <= self.stamp:
            return False
        has_changed = calls_per_second != self.calls_per_second
        self.calls_per_second = calls_per_second
        self.stamp = stamp
        self.heard_at = now
        return has_changed
