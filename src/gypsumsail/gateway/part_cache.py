"""Model of the prompt parts that an engine has in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from gypsumsail.gateway.const import MIN_CACHED_PART_TOKENS
from gypsumsail.gateway.models import PromptPart


class PartCache:
    """Estimated cache of one engine, with least-recently-used eviction.

    The key of a part contains its scope, which separates the parts of different weight
    versions and of isolated customers.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.parts: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.tokens = 0

    def add(self, scope: str, parts: Sequence[PromptPart], in_use: int) -> None:
        """Record that the engine has used parts, and evict the oldest ones.

        Parameters
        ----------
        in_use
            Tokens of running generations, which can't be evicted.
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
        """Return whether a part is expected to be cached."""
        return (scope, part.name) in self.parts

    def leading_parts(self, scope: str, parts: Sequence[PromptPart]) -> int:
        """Return how many leading parts of a prompt are expected to be cached."""
        for number, part in enumerate(parts):
            if not self.has(scope, part):
                return number
        return len(parts)

    def clear(self) -> None:
        """Remove all parts."""
        self.parts.clear()
        self.tokens = 0
