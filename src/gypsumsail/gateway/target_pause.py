"""Pause that a target asks this VM for when it turns a call away."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.gateway.const import (
    DEFAULT_PAUSE_SECONDS,
    MAX_PAUSE_SPREAD_SECONDS,
    PAUSE_SPREAD_SHARE,
    RETURN_INTERVAL_SECONDS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class NamedPause:
    """The target wants no call from this VM for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class InvalidPause:
    """The target names a pause that is not a number of seconds."""

    text: str


PauseStatement = NamedPause | InvalidPause


@dataclass(slots=True)
class TargetPause:
    """Pause of one target for this VM.

    After the pause, single calls find out whether the target takes calls again, so that
    the calls that wait don't reach it all at once.

    Attributes
    ----------
    until
        End of the pause.
    is_returning
        Whether no answer has shown since the pause that the target takes calls.
    returned_at
        Time of the latest call since the end of the pause.
    """

    until: float = float("-inf")
    is_returning: bool = False
    returned_at: float = float("-inf")

    def record(
        self, statement: PauseStatement, random_value: float, now: float
    ) -> float:
        """Extend the pause and return its seconds; a shorter one does not end it.

        Parameters
        ----------
        random_value
            Uniform random number from 0 to 1. It spreads the return of the VMs that
            were paused together.
        """
        seconds = (
            statement.seconds
            if isinstance(statement, NamedPause)
            else DEFAULT_PAUSE_SECONDS
        )
        spread = min(seconds * PAUSE_SPREAD_SHARE, MAX_PAUSE_SPREAD_SECONDS)
        self.until = max(self.until, now + seconds + spread * random_value)
        self.is_returning = True
        return seconds

    def record_answer(self, sent_at: float) -> None:
        """Record an answer without a pause to a call."""
        if sent_at >= self.until:
            self.is_returning = False

    def is_active(self, now: float) -> bool:
        """Return whether the target is to be left alone."""
        return now < self.until

    def allows(self, now: float) -> bool:
        """Return whether this VM may send the target a call."""
        if self.is_active(now):
            return False
        return (
            not self.is_returning or now - self.returned_at >= RETURN_INTERVAL_SECONDS
        )

    def count_call(self, now: float) -> None:
        """Record that a call is about to be sent."""
        self.returned_at = now
