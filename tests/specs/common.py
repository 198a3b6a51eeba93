"""Running of specifications and walking through their states."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
import logging
from typing import Any, Final, NamedTuple

import minicheck

LOGGER = logging.getLogger(__name__)

MAX_STATES: Final = 400_000
FAULT_STATES: Final = (1_000, 10_000, 100_000, MAX_STATES)

State = Any
Step = tuple[str, State]
Transitions = Callable[[State], list[Step]]
Invariants = dict[str, Callable[[dict[str, Any]], bool]]


class Move(NamedTuple):
    """One transition of a specification."""

    state: State
    label: str
    following: State


@dataclass(frozen=True, slots=True, kw_only=True)
class Specification:
    """A finite protocol and what has to hold in all its states."""

    name: str
    initial: State
    transitions: Transitions
    invariants: Invariants

    def protocol(
        self, goal: Callable[[dict[str, Any]], bool] | None = None
    ) -> minicheck.Protocol:
        """Return the protocol as minicheck takes it."""
        return minicheck.Protocol(
            name=self.name,
            candidate=False,
            fields=type(self.initial)._fields,
            initial=self.initial,
            transitions=self.transitions,
            invariants=self.invariants,
            goal=goal,
        )

    def moves(self) -> Iterator[Move]:
        """Walk through all transitions of all reachable states."""
        seen = {self.initial}
        waiting = deque([self.initial])
        while waiting:
            state = waiting.popleft()
            for label, following in self.transitions(state):
                yield Move(state, label, following)
                if following not in seen:
                    seen.add(following)
                    waiting.append(following)


def assert_holds(specification: Specification) -> None:
    """Fail unless every invariant holds in all states, exhaustively searched."""
    result = minicheck.check_safety(specification.protocol(), max_states=MAX_STATES)
    LOGGER.info("%s: %s states", specification.name, result["reachable_states"])
    assert result["exhaustive"], result["incomplete_reason"]
    broken = {
        name: labels(verdict["counterexample"])
        for name, verdict in result["properties"].items()
        if verdict["holds"] is not True
    }
    assert broken == {}


def shortest_fault(specification: Specification, invariant: str) -> list[str]:
    """Return the steps of the shortest way to break an invariant.

    The search is breadth-first: a fault that a bounded one finds is a shortest one.
    """
    for max_states in FAULT_STATES:
        result = minicheck.check_safety(specification.protocol(), max_states=max_states)
        verdict = result["properties"][invariant]
        if verdict["holds"] is False:
            steps = labels(verdict["counterexample"])
            LOGGER.info("%s: %s broken by %s", specification.name, invariant, steps)
            return steps
    raise AssertionError(f"{specification.name}: {invariant} was not broken")


def labels(counterexample: list[dict[str, Any]]) -> list[str]:
    """Return the steps of a counterexample."""
    return [step["label"] for step in counterexample if step["label"] is not None]
