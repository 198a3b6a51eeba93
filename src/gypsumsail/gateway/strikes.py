"""Requests that break the targets that run them, on whatever VM they arrive."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

CONVICTING_LIVES: Final = 3
"""Lives of targets that must have broken under a request before it is refused."""
MOST_RECORDS: Final = 5_000
"""Fingerprints that are kept; the oldest are forgotten first."""

Life = tuple[str, int]


class StrikeBook:
    """Lives of targets that broke off under each request.

    A target that dies takes its whole batch with it, so that each of its requests
    gets one strike; only one that breaks several lives is refused.
    """

    def __init__(self) -> None:
        self.lives: OrderedDict[str, set[Life]] = OrderedDict()
        self.news: list[tuple[str, str, int]] = []

    def is_convicted(self, fingerprint: str) -> bool:
        """Return whether the request is refused."""
        return len(self.lives.get(fingerprint, ())) >= CONVICTING_LIVES

    def add(self, fingerprint: str, target: str, life: int) -> None:
        """Note a broken call of this VM; peers are told."""
        if self.learn(fingerprint, target, life):
            self.news.append((fingerprint, target, life))

    def learn(self, fingerprint: str, target: str, life: int) -> bool:
        """Note a broken call; return whether it is news."""
        lives = self.lives.setdefault(fingerprint, set())
        self.lives.move_to_end(fingerprint)
        if (target, life) in lives:
            return False
        lives.add((target, life))
        while len(self.lives) > MOST_RECORDS:
            self.lives.popitem(last=False)
        return True

    def take_news(self, most: int) -> list[tuple[str, str, int]]:
        """Return strikes that peers don't know yet."""
        news, self.news = self.news[:most], self.news[most:]
        return news
