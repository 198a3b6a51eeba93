"""Requests that break the targets that run them, on whatever VM they arrive."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

MIN_CRASHED_LIVES: Final = 3
"""Lives of targets that must have broken under a request before it is refused."""
MAX_FINGERPRINTS: Final = 5_000
"""Fingerprints that are kept; the oldest are forgotten first."""

TargetLife = tuple[str, int]


class CrashSuspectTracker:
    """Lives of targets that broke off under each request.

    A target that dies takes its whole batch with it, so that each of its requests
    gets one strike; only one that breaks several lives is refused.
    """

    def __init__(self) -> None:
        self.crashed_lives: OrderedDict[str, set[TargetLife]] = OrderedDict()
        self.unsent: list[tuple[str, str, int]] = []

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether the request is refused."""
        return len(self.crashed_lives.get(fingerprint, ())) >= MIN_CRASHED_LIVES

    def report(self, fingerprint: str, target: str, life: int) -> None:
        """Note a broken call of this VM; peers are told."""
        if self.record(fingerprint, target, life):
            self.unsent.append((fingerprint, target, life))

    def record(self, fingerprint: str, target: str, life: int) -> bool:
        """Note a broken call; return whether it is news."""
        crashed_lives = self.crashed_lives.setdefault(fingerprint, set())
        self.crashed_lives.move_to_end(fingerprint)
        if (target, life) in crashed_lives:
            return False
        crashed_lives.add((target, life))
        while len(self.crashed_lives) > MAX_FINGERPRINTS:
            self.crashed_lives.popitem(last=False)
        return True

    def take_unsent(self, limit: int) -> list[tuple[str, str, int]]:
        """Return strikes that peers don't know yet."""
        unsent, self.unsent = self.unsent[:limit], self.unsent[limit:]
        return unsent
