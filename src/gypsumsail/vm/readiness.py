"""Decides whether this VM is ready to receive requests from the balancer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Readiness:
    """Conditions of readiness.

    A VM that has lost the store or its peers stays ready and serves from its last
    state. Such an outage affects all VMs, so the balancer would find no better one.
    """

    has_document: bool
    knows_targets: bool
    knows_evacuations: bool
    is_stopping: bool

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send requests to this VM."""
        return (
            self.has_document
            and self.knows_targets
            and self.knows_evacuations
            and not self.is_stopping
        )
