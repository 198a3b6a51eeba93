"""How long answers turn out, learnt from those that ended."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.routing.const import ANSWER_FADING, ANSWER_PRIOR_REQUESTS


@dataclass(slots=True)
class UsedShare:
    """Fading sums of one customer's answers."""

    asked: float = 0.0
    used: float = 0.0


@dataclass(slots=True)
class AnswerLengths:
    """Expected answer tokens by customer.

    The most that a request allows is seldom used. Taking it for expected would
    refuse requests that can meet their deadline.
    """

    customers: dict[str, UsedShare] = field(default_factory=dict)

    def observe(self, customer: str, *, max_tokens: int, answer_tokens: int) -> None:
        """Take a whole answer."""
        share = self.customers.setdefault(customer, UsedShare())
        share.asked = share.asked * ANSWER_FADING + max_tokens
        share.used = share.used * ANSWER_FADING + min(answer_tokens, max_tokens)

    def expected(self, customer: str, max_tokens: int) -> int:
        """Return the expected tokens; near ``max_tokens`` until learnt."""
        share = self.customers.get(customer, UsedShare())
        prior = ANSWER_PRIOR_REQUESTS * max_tokens
        return max(1, round(max_tokens * (share.used + prior) / (share.asked + prior)))
