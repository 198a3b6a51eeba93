"""Which parts of prompts an engine is believed to cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from gypsumsail.gateway.const import MIN_CACHED_PART_TOKENS
from gypsumsail.gateway.models import PromptPart


class PartCache:
    """Least recently used parts of one engine's life, up to its memory.

    Parts are kept under a scope, the text that separates weight versions and
    isolated customers.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.parts: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.tokens = 0

    def add(self, scope: str, parts: Sequence[PromptPart], in_use: int) -> None:
        """Note that parts were read, or read again.

        Parameters
        ----------
        in_use
            Tokens that running generations take and that can't yield.
        """
        for part in parts:
            if part.tokens < MIN_CACHED_PART_TOKENS:
                continue
            key = (scope, part.name)
            self.tokens += part.tokens - self.parts.pop(key, 0)
            self.parts[key] = part.tokens
        room = max(self.capacity_tokens - in_use, 0)
        while self.tokens > room and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens

    def has(self, scope: str, part: PromptPart) -> bool:
        """Return whether a part is believed to be cached."""
        return (scope, part.name) in self.parts

    def leading_parts(self, scope: str, parts: Sequence[PromptPart]) -> int:
        """Return how many leading parts need not be read again."""
        for number, part in enumerate(parts):
            if not self.has(scope, part):
                return number
        return len(parts)

    def clear(self) -> None:
        """Forget all parts."""
        self.parts.clear()
        self.tokens = 0
