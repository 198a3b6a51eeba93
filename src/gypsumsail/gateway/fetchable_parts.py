"""Number of leading parts of a prompt that an engine has cached or can fetch."""

from __future__ import annotations

from collections.abc import Callable


class FetchableByScope(dict[str, int]):
    """Number of leading parts of one prompt that can be fetched, by cache scope."""

    def __init__(self, lookup: Callable[[str], int]) -> None:
        super().__init__()
        self.lookup = lookup

    def __missing__(self, scope: str) -> int:
        """Look up a scope on its first use."""
        self[scope] = self.lookup(scope)
        return self[scope]
