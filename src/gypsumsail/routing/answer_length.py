"""How long answers turn out, learnt from those that ended."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.routing.const import ANSWER_DECAY, ANSWER_PRIOR_REQUESTS


@dataclass(slots=True)
class AnswerUsage:
    """Fading sums of one customer's answers."""

    allowed: float = 0.0
    used: float = 0.0


@dataclass(slots=True)
class AnswerLengthEstimator:
    """Expected answer tokens by customer.

    The most that a request allows is seldom used. Taking it for expected would
    refuse requests that can meet their deadline.
    """

    customers: dict[str, AnswerUsage] = field(default_factory=dict)

    def observe(self, customer: str, *, max_tokens: int, answer_tokens: int) -> None:
        """Take a whole answer."""
        usage = self.customers.setdefault(customer, AnswerUsage())
        usage.allowed = usage.allowed * ANSWER_DECAY + max_tokens
        usage.used = usage.used * ANSWER_DECAY + min(answer_tokens, max_tokens)

    def expected(self, customer: str, max_tokens: int) -> int:
        """Return the expected tokens; near ``max_tokens`` until learnt."""
        usage = self.customers.get(customer, AnswerUsage())
        prior = ANSWER_PRIOR_REQUESTS * max_tokens
        return max(
            1, round(max_tokens * (usage.used + prior) / (usage.allowed + prior))
        )
