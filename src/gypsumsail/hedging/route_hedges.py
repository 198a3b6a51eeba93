"""What a VM knows of the second sends of one route."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from gypsumsail.hedging.answer_times import AnswerTimes
from gypsumsail.hedging.const import (
    MAX_CREDIT,
    MIN_RESULTS,
    MIN_WIN_SHARE,
    REMEMBERED_RESULTS,
    WITHDRAWN_SECONDS,
)


@dataclass(slots=True)
class RouteHedges:
    """Times, limit and results of the second sends of one route.

    Attributes
    ----------
    credit
        Second sends that the operator's limit allows at this moment. Each call adds the
        share of the limit, so that there are never more second sends than that.
    results
        Whether each of the latest second sends has won.
    withdrawn_until
        Time until which there are no second sends because they did not help.
    """

    times: AnswerTimes = field(default_factory=AnswerTimes)
    credit: float = 0.0
    results: deque[bool] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_RESULTS)
    )
    withdrawn_until: float = float("-inf")

    def count_call(self, share: float) -> None:
        """Count a call, which allows ``share`` second sends."""
        self.credit = min(self.credit + share, MAX_CREDIT)

    @property
    def has_credit(self) -> bool:
        """Return whether the operator's limit allows a second send."""
        return self.credit >= 1.0

    def count_hedge(self) -> None:
        """Count a second send."""
        self.credit -= 1.0

    def is_withdrawn(self, now: float) -> bool:
        """Return whether there are no second sends because they did not help."""
        return now < self.withdrawn_until

    def record_result(self, *, is_win: bool, now: float) -> bool:
        """Record the result of a second send.

        Returns whether second sends are withdrawn from now on. The results begin anew
        after that time, so that a route is judged by sends of the same conditions.
        """
        self.results.append(is_win)
        if len(self.results) < MIN_RESULTS or self.is_withdrawn(now):
            return False
        if sum(self.results) >= MIN_WIN_SHARE * len(self.results):
            return False
        self.withdrawn_until = now + WITHDRAWN_SECONDS
        self.results.clear()
        return True
