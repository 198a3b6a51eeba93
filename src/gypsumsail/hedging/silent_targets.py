"""Targets at which first sends are lost without any sign of progress.

A target counts as stalled while a call there is overdue. Second sends end such calls
early, so that a target that stands still would look idle and get the next calls.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from gypsumsail.hedging.const import MAX_SILENT_TARGETS, SILENT_LOSSES

TargetLife = tuple[str, int]
"""Name of a target and its life."""


@dataclass(slots=True, kw_only=True)
class _Losses:
    count: int
    lost_at: float


class SilentTargets:
    """Number of successive first sends that each target has lost in silence."""

    def __init__(self) -> None:
        self.losses: OrderedDict[TargetLife, _Losses] = OrderedDict()

    def record_loss(
        self, target: TargetLife, *, sent_at: float, progress_at: float, now: float
    ) -> None:
        """Record that a first send was lost.

        Parameters
        ----------
        sent_at
            Time of the lost send.
        progress_at
            Time at which the target last made progress on any call of this VM.
        """
        known = self.losses.pop(target, None)
        if progress_at >= sent_at:
            return
        is_next = known is not None and progress_at < known.lost_at
        count = known.count + 1 if known is not None and is_next else 1
        self.losses[target] = _Losses(count=count, lost_at=now)
        if len(self.losses) > MAX_SILENT_TARGETS:
            self.losses.popitem(last=False)

    def is_silent(self, target: TargetLife, progress_at: float) -> bool:
        """Return whether a target lost its latest first sends in silence."""
        known = self.losses.get(target)
        if known is None or progress_at >= known.lost_at:
            return False
        return known.count >= SILENT_LOSSES
