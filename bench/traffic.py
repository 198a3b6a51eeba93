"""Random calls of callers who return with the same long prompts."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
import random
from typing import Final

from bench.layouts import Layout

LONG_CALLS_PER_SECOND: Final = 4.0
SHORT_CALLS_PER_SECOND: Final = 6.0
PLAIN_CALLS_PER_SECOND: Final = 1.0
DOSSIER_COUNT: Final = 40
DOSSIER_LINE_RANGE: Final = (300, 720)
LONG_ANSWER_TOKENS: Final = 48
SHORT_ANSWER_TOKENS: Final = 32


class CallClass(StrEnum):
    """Class of a call.

    Attributes
    ----------
    LONG, RETURNING
        First call with a dossier, and later calls with the same dossier.
    SHORT
        Call with a short prompt.
    PLAIN
        Unrepeatable call of the plain service.
    """

    LONG = "long"
    RETURNING = "returning"
    SHORT = "short"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call.

    Attributes
    ----------
    at
        Seconds after the start of the run.
    customer
        Index of the customer in the layout.
    entry
        Number of the entry that the load balancer selects.
    key
        Idempotency key of an unrepeatable call; empty otherwise.
    """

    at: float
    call_class: CallClass
    customer: int
    entry: int
    prompt: str
    max_tokens: int
    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Dossier:
    """A long text that the callers of one customer use in several prompts."""

    customer: int
    text: str


class Traffic:
    """Generates the calls of one run from a seed."""

    def __init__(self, layout: Layout, seed: int) -> None:
        self.layout = layout
        self.rng = random.Random(f"{layout.name}:{seed}")
        self.seed = seed
        self.seen: set[str] = set()
        self.shares = [customer.share for customer in layout.customers]
        self.dossiers = [self._make_dossier(number) for number in range(DOSSIER_COUNT)]

    def _pick_customer(self) -> int:
        return self.rng.choices(range(len(self.shares)), self.shares)[0]

    def _make_dossier(self, number: int) -> Dossier:
        lines = self.rng.randint(*DOSSIER_LINE_RANGE)
        text = "".join(
            f"{self.seed}/{number}: leg {line}, delay {self.rng.randint(0, 999)} min\n"
            for line in range(lines)
        )
        return Dossier(customer=self._pick_customer(), text=text)

    def calls(self, *, seconds: float, load: float) -> list[Call]:
        """Return the calls of a run in the order of their times."""
        found = [
            call
            for call_class, rate in (
                (CallClass.LONG, LONG_CALLS_PER_SECOND),
                (CallClass.SHORT, SHORT_CALLS_PER_SECOND),
                (CallClass.PLAIN, PLAIN_CALLS_PER_SECOND),
            )
            for call in self._arrivals(call_class, seconds, rate * load)
        ]
        return sorted(found, key=lambda call: call.at)

    def _arrivals(
        self, call_class: CallClass, seconds: float, rate: float
    ) -> Iterator[Call]:
        at = self.rng.expovariate(rate)
        number = 0
        while at < seconds:
            yield self._call(call_class, at, number)
            at += self.rng.expovariate(rate)
            number += 1

    def _call(self, call_class: CallClass, at: float, number: int) -> Call:
        entry = self.rng.randrange(len(self.layout.entry_zones))
        name = f"{self.seed}/{call_class}/{number}"
        customer, prompt, max_tokens = self._pick_customer(), f"{name}: ", 0
        match call_class:
            case CallClass.LONG:
                dossier = self.rng.choice(self.dossiers)
                customer = dossier.customer
                if dossier.text in self.seen:
                    call_class = CallClass.RETURNING
                self.seen.add(dossier.text)
                prompt = f"{dossier.text}{name}: is it eligible?"
                max_tokens = LONG_ANSWER_TOKENS
            case CallClass.SHORT:
                prompt += "where is my file? " * self.rng.randint(5, 40)
                max_tokens = SHORT_ANSWER_TOKENS
            case CallClass.PLAIN:
                prompt += "one letter"
        return Call(
            at=at,
            call_class=call_class,
            customer=customer,
            entry=entry,
            prompt=prompt,
            max_tokens=max_tokens,
            key=name if call_class is CallClass.PLAIN else "",
        )
