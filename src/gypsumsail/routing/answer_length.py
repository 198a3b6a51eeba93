"""Estimates the number of answer tokens from earlier answers of a customer."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.routing.const import ANSWER_DECAY, ANSWER_PRIOR_REQUESTS


@dataclass(slots=True)
class AnswerUsage:
    """Exponentially decayed token sums over the answers of one customer.

    Attributes
    ----------
    allowed
        Sum of the requests' ``max_tokens``.
    used
        Sum of the answer tokens.
    """

    allowed: float = 0.0
    used: float = 0.0


@dataclass(slots=True)
class AnswerLengthEstimator:
    """Expected number of answer tokens by customer.

    Answers seldom reach ``max_tokens``. If the router planned with ``max_tokens``, it
    would refuse requests that can meet their deadline.
    """

    customers: dict[str, AnswerUsage] = field(default_factory=dict)

    def observe(self, customer: str, *, max_tokens: int, answer_tokens: int) -> None:
        """Record a completed answer."""
        usage = self.customers.setdefault(customer, AnswerUsage())
        usage.allowed = usage.allowed * ANSWER_DECAY + max_tokens
        usage.used = usage.used * ANSWER_DECAY + min(answer_tokens, max_tokens)

    def expected(self, customer: str, max_tokens: int) -> int:
        """Return the expected number of answer tokens.

        The estimate is close to ``max_tokens`` until enough answers have been recorded.
        """
        usage = self.customers.get(customer, AnswerUsage())
        prior = ANSWER_PRIOR_REQUESTS * max_tokens
        return max(
            1, round(max_tokens * (usage.used + prior) / (usage.allowed + prior))
        )
