"""Whether one target is cold, and the sends of this VM to it.

A target states in its entry and in headers for how long it stays cold. When contact
with a target was lost, it may have started again, and its entry may not say so yet. It
then counts as cold from the loss until some time after the first contact, unless an
entry that was written after that contact says otherwise.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from gypsumsail.cold_targets.const import ENTRY_LAG_SECONDS, MAX_ENTRY_GAP_SECONDS
from gypsumsail.cold_targets.models import (
    ColdBound,
    ColdStatement,
    ColdTerms,
    NamedCold,
)
from gypsumsail.cold_targets.senders import ColdSharing, send_interval


@dataclass(frozen=True, slots=True, kw_only=True)
class _Choice:
    """Interval of the sends of this VM, with what it was computed from."""

    members: frozenset[str]
    terms: ColdTerms
    bound: ColdBound
    interval: float


@dataclass(slots=True)
class ColdState:
    """Cold time of one life of a target.

    Attributes
    ----------
    name, life, zone
        The target.
    terms
        What its service states; ``None`` if its targets are never cold.
    on_cold
        Called with the remaining seconds, the source and the time when the target
        turns cold.
    entry_until
        End of the cold time that the latest valid entry states.
    header_until
        End of the cold time that the latest header states. Entries don't shorten it:
        they may have been written before.
    unstated_since
        Time since which entries state no valid time; ``None`` if the latest does.
    has_invalid_header
        Whether the latest header could not be read.
    presumed_since
        Time of an event from which the target counts as cold without a statement: the
        first contact after a loss, or the end of an evacuation.
    event_at
        Time of the latest event; a statement that is older says nothing about it.
    entry_at, cold_entry_at
        Time of the latest entry, and of the latest that states a cold time.
    is_contact_lost
        Whether contact was lost and not made again.
    until
        End of the cold time by all of this; it applies where ``terms`` is set.
    sent_at
        Time of this VM's latest send.
    """

    name: str
    life: int
    zone: str = ""
    terms: ColdTerms | None = None
    on_cold: Callable[[float, str, float], None] = lambda seconds, source, now: None
    entry_until: float = -inf
    header_until: float = -inf
    unstated_since: float | None = None
    has_invalid_header: bool = False
    presumed_since: float = -inf
    event_at: float = -inf
    entry_at: float = -inf
    cold_entry_at: float = -inf
    is_contact_lost: bool = False
    until: float = -inf
    sent_at: float = -inf
    choice: _Choice | None = None

    def set_terms(self, terms: ColdTerms | None, now: float) -> None:
        """Apply the terms of the target's service."""
        if terms == self.terms:
            return
        was_cold = self.is_cold(now)
        self.terms = terms
        self._update(was_cold, "document", now)

    def record_entry(self, seconds: float | None, now: float) -> None:
        """Apply an entry that was read now.

        Parameters
        ----------
        seconds
            Cold time that the entry states; ``None`` if it states no valid one.
        """
        was_cold = self.is_cold(now)
        self.entry_at = now
        # The entry may have been written before the event.
        is_current = now - self.event_at >= ENTRY_LAG_SECONDS
        if seconds is None:
            if self.unstated_since is None:
                self.unstated_since = now
            self._update(was_cold, "unreadable entry", now)
            return
        self.unstated_since = None
        if seconds:
            self.entry_until = now + seconds
            self.cold_entry_at = now
        else:
            self.entry_until = -inf
            if is_current and not self.is_contact_lost:
                self.presumed_since = -inf
        self._update(was_cold, "entry", now)

    def record_header(
        self, statement: ColdStatement, sent_at: float, now: float
    ) -> bool:
        """Apply the header of an answer; return whether it is newly invalid.

        Parameters
        ----------
        sent_at
            Time at which the request of the answer was sent.
        """
        was_cold = self.is_cold(now)
        if not isinstance(statement, NamedCold):
            if self.has_invalid_header:
                return False
            self.has_invalid_header = True
            self._presume(now)
            self._update(was_cold, "unreadable header", now)
            return True
        self.has_invalid_header = False
        if statement.seconds:
            self.header_until = now + statement.seconds
            self.event_at = now
        elif sent_at >= max(self.event_at, self.cold_entry_at):
            self.header_until = self.entry_until = self.presumed_since = -inf
            self.unstated_since = None
        self._update(was_cold, "header", now)
        return False

    def lose_contact(self, now: float) -> None:
        """Record that a connection failed or broke, or that the target stopped."""
        if self.is_contact_lost:
            return
        was_cold = self.is_cold(now)
        self.is_contact_lost = True
        self.event_at = now
        self._update(was_cold, "contact lost", now)

    def note_silence(self, now: float) -> None:
        """Record that calls at the target are overdue.

        They are under high load as well, but then the target goes on to write its
        entry. Without new entries, contact counts as lost.
        """
        if now - self.entry_at >= MAX_ENTRY_GAP_SECONDS:
            self.lose_contact(now)

    def record_contact(self, now: float) -> None:
        """Record that the target was reached; it is cold if contact was lost before."""
        if not self.is_contact_lost:
            return
        was_cold = self.is_cold(now)
        self.is_contact_lost = False
        self._presume(now)
        self._update(was_cold, "contact", now)

    def expect_cold(self, now: float) -> None:
        """Record that an evacuation of the target's zone ended."""
        was_cold = self.is_cold(now)
        self._presume(now)
        self._update(was_cold, "evacuation", now)

    def is_cold(self, now: float) -> bool:
        """Return whether the target counts as cold."""
        if self.terms is None:
            return False
        return self.is_contact_lost or now < self.until

    def seconds_left(self, now: float) -> float:
        """Return the seconds for which the target is expected to stay cold."""
        if self.terms is None:
            return 0.0
        if self.is_contact_lost:
            return max(self.until - now, self.terms.seconds)
        return max(self.until - now, 0.0)

    def allows(self, sharing: ColdSharing, now: float) -> bool:
        """Return whether this VM may send the target a call now."""
        if self.terms is None or not self.is_cold(now):
            return True
        interval = self.interval(sharing, now)
        return interval < inf and now - self.sent_at >= interval

    def count_call(self, now: float) -> None:
        """Count a call that is about to be sent."""
        self.sent_at = now

    def seconds_until_allowed(self, sharing: ColdSharing, now: float) -> float:
        """Return the seconds until this VM may send the target a call."""
        left = self.seconds_left(now)
        if not left:
            return 0.0
        interval = self.interval(sharing, now)
        if interval == inf:
            return left
        return min(max(self.sent_at + interval - now, 0.0), left)

    def interval(self, sharing: ColdSharing, now: float) -> float:
        """Return the seconds between two sends to the cold target.

        It is infinite if this VM may not send.
        """
        if self.terms is None:
            return 0.0
        if self.zone != sharing.zone:
            return inf
        members = sharing.members(now)
        if members is None:
            return inf
        choice = self.choice
        if (
            choice is None
            or choice.members is not members
            or choice.terms is not self.terms
            or choice.bound is not sharing.bound
        ):
            key = f"{self.name}\0{self.life}"
            interval = send_interval(key, sharing, members, self.terms.per_second)
            self.choice = choice = _Choice(
                members=members,
                terms=self.terms,
                bound=sharing.bound,
                interval=interval,
            )
        return choice.interval

    def _presume(self, now: float) -> None:
        self.presumed_since = self.event_at = now

    def _update(self, was_cold: bool, source: str, now: float) -> None:
        """Compute the end of the cold time, and report a target that turned cold."""
        if self.terms is None:
            return
        unstated_since = -inf if self.unstated_since is None else self.unstated_since
        self.until = max(
            self.entry_until,
            self.header_until,
            max(self.presumed_since, unstated_since) + self.terms.seconds,
        )
        if not was_cold and self.is_cold(now):
            self.on_cold(self.seconds_left(now), source, now)
