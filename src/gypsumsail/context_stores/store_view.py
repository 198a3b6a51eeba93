"""Tracks the complete parts in a context store."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from gypsumsail.context_stores.const import (
    MAX_FILL_SHARE,
    OLD_FETCHES_SECONDS,
    SAVE_TIMEOUT_SECONDS,
    VIEW_MAX_AGE_SECONDS,
)
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.models import ContextStore, PromptPart

PartKey = tuple[str, str]
"""Cache scope, which contains the weight version, and name of a part of a prompt."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreChange:
    """A part that became complete in a store, or was removed from it.

    Attributes
    ----------
    scope
        Cache scope: the weight version and, if the customer's parts are isolated, the
        customer. Engines reuse a part only within its scope.
    part
        Name of the part.
    tokens
        Tokens of the part that the store holds now; 0 if the part was removed.
    """

    scope: str
    part: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreAnswer:
    """Response of a store to a request for its contents or changes.

    Attributes
    ----------
    life
        Identifies a run of the store; a restart changes it and empties the store.
    next_number
        Number from which changes continue: the store's number of the next change, or
        the sequence number of the next update in a view from another VM.
    has_gap
        Whether changes before these have been lost.
    clock_ms
        Time in milliseconds on the clock that engines and stores share; ``None`` if the
        store doesn't report it.
    max_age_ms
        Longest time since the store was known to run, at ``clock_ms``; another VM's
        view may have this age.
    """

    life: int
    next_number: int
    has_gap: bool
    changes: tuple[StoreChange, ...]
    clock_ms: int | None
    max_age_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedChanges:
    """Changes of a store that another VM has relayed.

    Attributes
    ----------
    relay_vm
        VM that relays the changes.
    number
        Sequence number, which grows by one with each update from the same VM on the
        same store.
    """

    relay_vm: str
    number: int
    life: int
    clock_ms: int | None
    changes: tuple[StoreChange, ...]


@dataclass(slots=True)
class StoreView:
    """One store as known to this VM.

    Attributes
    ----------
    parts
        Tokens of each complete part in the store.
    saving
        Tokens of each part that is being saved to the store, and the time at which the
        save began. A save that timed out stays here until its part is reported or the
        contents become unknown.
    life
        Run of the store; ``None`` while its contents are unknown.
    known_life
        Run of the store whose contents this VM has last known; ``None`` before that.
    saves_from
        Time from which parts may be saved to that run. Until then, a fetch that was
        planned for an earlier run could read a part that is being written.
    slow_until
        Time until which nothing is fetched from the store because fetches were late.
    fetches_end_ms
        Time on the clock of the engines by which fetches planned from the contents must
        have ended, as the store may run anew and be filled again; ``None`` if unknown.
    relay_vm
        VM that relays the store's changes; empty if this VM polls the store.
    misplaced_answers
        Number of answers in a row that belong to earlier calls.
    """

    store: ContextStore
    parts: dict[PartKey, int] = field(default_factory=dict)
    saving: dict[PartKey, tuple[int, float]] = field(default_factory=dict)
    life: int | None = None
    next_number: int = 0
    answered_at: float = 0.0
    clock_offset_ms: float | None = None
    fetches_end_ms: int | None = None
    relay_vm: str = ""
    known_life: int | None = None
    saves_from: float = 0.0
    slow_until: float = 0.0
    misplaced_answers: int = 0

    def is_fresh(self, now: float) -> bool:
        """Return whether the contents are known and recent enough to fetch parts."""
        return self.life is not None and now - self.answered_at < VIEW_MAX_AGE_SECONDS

    def can_fetch(self, now: float) -> bool:
        """Return whether parts may be fetched from the store."""
        return self.is_fresh(now) and now >= self.slow_until

    def can_save(self, now: float) -> bool:
        """Return whether parts may be saved to the store."""
        return self.is_fresh(now) and now >= self.saves_from

    def reset(self) -> None:
        """Drop the contents, which are unknown until the next `load`."""
        self.parts.clear()
        self.saving.clear()
        self.life = None
        self.next_number = 0

    def load(self, answer: StoreAnswer, now: float, relay_vm: str = "") -> None:
        """Replace the contents with all that the store holds."""
        saving = dict(self.saving)
        self.reset()
        self.saving = saving
        self.relay_vm = relay_vm
        self.life = answer.life
        if answer.life != self.known_life:
            self.known_life = answer.life
            self.saves_from = now + OLD_FETCHES_SECONDS
        self._apply(answer, now)

    def repeats_earlier(self, answer: StoreAnswer) -> bool:
        """Return whether an answer is a second copy of one that was applied before.

        New changes raise the number from which the next ones continue. A copy without
        changes is the same as news that there are none.
        """
        if answer.life != self.life:
            return False
        if answer.changes:
            return answer.next_number <= self.next_number
        return answer.next_number < self.next_number

    def apply_changes(self, answer: StoreAnswer, now: float) -> bool:
        """Apply changes; return false if the whole contents must be requested again."""
        if answer.life != self.life or answer.has_gap:
            self.reset()
            return False
        self._apply(answer, now)
        return True

    def apply_relayed(self, relayed: RelayedChanges, now: float) -> bool:
        """Apply changes from another VM; return false if a whole view is required."""
        if relayed.relay_vm != self.relay_vm:
            return self.is_fresh(now)
        if relayed.number < self.next_number:
            return True
        if relayed.number > self.next_number or relayed.life != self.life:
            self.reset()
            return False
        answer = StoreAnswer(
            life=relayed.life,
            next_number=relayed.number + 1,
            has_gap=False,
            changes=relayed.changes,
            clock_ms=relayed.clock_ms,
        )
        self._apply(answer, now)
        return True

    def clock_ms(self, now: float) -> int | None:
        """Return the time on the clock of the engines in ms; ``None`` if unknown."""
        if self.clock_offset_ms is None:
            return None
        return int(now * MILLISECONDS_PER_SECOND + self.clock_offset_ms)

    def _apply(self, answer: StoreAnswer, now: float) -> None:
        for change in answer.changes:
            key = (change.scope, change.part)
            if change.tokens:
                self.parts[key] = change.tokens
            else:
                self.parts.pop(key, None)
            self.saving.pop(key, None)
        self.next_number = answer.next_number
        self.answered_at = now
        if answer.clock_ms is not None:
            self.clock_offset_ms = answer.clock_ms - now * MILLISECONDS_PER_SECOND
            known_ms = answer.clock_ms - answer.max_age_ms
            old_fetches_ms = round(OLD_FETCHES_SECONDS * MILLISECONDS_PER_SECOND)
            self.fetches_end_ms = known_ms + old_fetches_ms

    def holds(self, scope: str, part: PromptPart) -> bool:
        """Return whether the store has a complete part."""
        return self.parts.get((scope, part.name), 0) >= part.tokens

    def is_stored_or_saving(self, scope: str, part: PromptPart, now: float) -> bool:
        """Return whether a part is in the store or is being saved to it."""
        if (scope, part.name) in self.parts:
            return True
        sent = self.saving.get((scope, part.name))
        return sent is not None and now - sent[1] < SAVE_TIMEOUT_SECONDS

    def mark_saving(self, scope: str, parts: Iterable[PromptPart], now: float) -> None:
        """Record that parts are being saved to the store."""
        for part in parts:
            self.saving[(scope, part.name)] = (part.tokens, now)

    def free_tokens(self) -> int:
        """Return the remaining capacity in tokens.

        All parts in ``saving`` count as used, including those whose save timed out.
        """
        used = sum(self.parts.values())
        used += sum(tokens for tokens, _ in self.saving.values())
        return int(self.store.capacity_tokens * MAX_FILL_SHARE) - used
