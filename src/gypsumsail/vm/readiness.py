"""Decides whether this VM asks the balancer for callers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Readiness:
    """What readiness depends on.

    A VM that has lost the store or its peers stays ready: it serves with what it
    has, and if all turned unready at once no other entry would be better.
    """

    has_document: bool
    knows_targets: bool
    is_stopping: bool

    @property
    def is_ready(self) -> bool:
        """Return whether the VM takes new connections."""
        return self.has_document and self.knows_targets and not self.is_stopping
