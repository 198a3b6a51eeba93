"""Tracks the complete parts in a context store."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from gypsumsail.context_stores.const import (
    MAX_FILL_SHARE,
    MAX_REMEMBERED_DIGESTS,
    OLD_FETCHES_SECONDS,
    SAVE_TIMEOUT_SECONDS,
    VIEW_MAX_AGE_SECONDS,
)
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.models import ContextStore, PromptPart
from gypsumsail.gossip.store_messages import VmStart

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
    number
        The store's number of the change; 0 if the part was listed, or if another VM
        relays the change.
    """

    scope: str
    part: str
    tokens: int
    number: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class UnconfirmedPart:
    """A complete part that other VMs may still let engines save.

    Attributes
    ----------
    number
        Number of changes from which the view has the part.
    known_at
        Time at which the part became known.
    confirmed_by
        Lives of other VMs that know the part and have no save of it on its way.
    """

    number: int
    known_at: float
    confirmed_by: set[VmStart] = field(default_factory=set)


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


def part_hash(key: PartKey, tokens: int = 0) -> int:
    """Return a hash of a part that is the same at all VMs, in 64 bits."""
    return xxhash.xxh3_64_intdigest("\0".join((*key, str(tokens))).encode())


@dataclass(slots=True)
class StoreView:
    """One store as known to this VM.

    Attributes
    ----------
    parts
        Tokens of each complete part in the store.
    unconfirmed
        Parts among these that are not fetched yet: a save of the part by another VM may
        still wait at its engine, and would write into the next run of the store.
    digest
        Sum of the hashes of all parts, which tells whether two views are the same.
    digests
        Digest after each of the latest changes, by the number of the change.
    listed_at
        Time at which the store was last listed by this VM.
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
    unconfirmed: dict[PartKey, UnconfirmedPart] = field(default_factory=dict)
    digest: int = 0
    digests: dict[int, int] = field(default_factory=dict)
    listed_at: float = float("-inf")

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
        self.unconfirmed.clear()
        self.digest = 0
        self.digests.clear()
        self.saving.clear()
        self.life = None
        self.next_number = 0

    def load(self, answer: StoreAnswer, now: float, relay_vm: str = "") -> None:
        """Replace the contents with all that the store holds.

        What was known of a part stays known if the store has run ever since.
        """
        saving = dict(self.saving)
        is_same = answer.life == self.life and relay_vm == self.relay_vm
        parts = dict(self.parts) if is_same else {}
        unconfirmed = dict(self.unconfirmed)
        digests = dict(self.digests) if is_same else {}
        self.reset()
        self.saving = saving
        self.digests = digests
        self.relay_vm = relay_vm
        if not relay_vm:
            self.listed_at = now
        self.life = answer.life
        if answer.life != self.known_life:
            self.known_life = answer.life
            self.saves_from = now + OLD_FETCHES_SECONDS
        self._apply(answer, now)
        for key, tokens in parts.items():
            if self.parts.get(key) != tokens:
                continue
            if key in unconfirmed:
                self.unconfirmed[key] = unconfirmed[key]
            else:
                self.confirm(key)

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

    def differing(self, changes: Iterable[StoreChange]) -> tuple[StoreChange, ...]:
        """Return the changes that the view doesn't have yet, in their order.

        A listed part is reported later as well.
        """
        found: list[StoreChange] = []
        parts: dict[PartKey, int] = {}
        for change in changes:
            key = (change.scope, change.part)
            if parts.get(key, self.parts.get(key, 0)) != change.tokens:
                parts[key] = change.tokens
                found.append(change)
        return tuple(found)

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
            self._apply_change(key, change, answer.next_number, now)
            if change.number:
                self.digests[change.number] = self.digest
            self.saving.pop(key, None)
        self.digests[answer.next_number] = self.digest
        while len(self.digests) > MAX_REMEMBERED_DIGESTS:
            del self.digests[next(iter(self.digests))]
        self.next_number = answer.next_number
        self.answered_at = now
        if answer.clock_ms is not None:
            self.clock_offset_ms = answer.clock_ms - now * MILLISECONDS_PER_SECOND
            known_ms = answer.clock_ms - answer.max_age_ms
            old_fetches_ms = round(OLD_FETCHES_SECONDS * MILLISECONDS_PER_SECOND)
            self.fetches_end_ms = known_ms + old_fetches_ms

    def _apply_change(
        self, key: PartKey, change: StoreChange, next_number: int, now: float
    ) -> None:
        before = self.parts.get(key)
        if before == change.tokens:
            if self.relay_vm:
                # A VM that relays the store repeats a part once it is confirmed.
                self.confirm(key)
            return
        if before is not None:
            self.digest ^= part_hash(key, before)
        if not change.tokens:
            self.parts.pop(key, None)
            self.unconfirmed.pop(key, None)
            return
        self.parts[key] = change.tokens
        self.digest ^= part_hash(key, change.tokens)
        self.unconfirmed[key] = UnconfirmedPart(
            number=change.number or next_number, known_at=now
        )

    def confirm(self, key: PartKey) -> None:
        """Record that no save of a part can be written any more in this run."""
        self.unconfirmed.pop(key, None)

    def can_fetch_part(self, scope: str, part: PromptPart, now: float) -> bool:
        """Return whether a part may be fetched from the store."""
        return (
            self.can_fetch(now)
            and self.holds(scope, part)
            and (scope, part.name) not in self.unconfirmed
        )

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
