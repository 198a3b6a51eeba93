"""Model checking of specifications and traversal of their states.

minicheck is an explicit-state model checker.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
import logging
from typing import Any, Final, NamedTuple

import minicheck

LOGGER = logging.getLogger(__name__)

MAX_STATES: Final = 400_000
SEARCH_LIMITS: Final = (1_000, 10_000, 100_000, MAX_STATES)

State = Any
# Label of a transition and the state after it.
Step = tuple[str, State]
TransitionFunction = Callable[[State], list[Step]]
# Maps each name to a predicate on the fields of a state, by field name.
Invariants = dict[str, Callable[[dict[str, Any]], bool]]


class Transition(NamedTuple):
    """A transition between two states of a specification."""

    state: State
    label: str
    next_state: State


@dataclass(frozen=True, slots=True, kw_only=True)
class Specification:
    """A finite protocol and the invariants that must hold in all its states."""

    name: str
    initial: State
    transitions: TransitionFunction
    invariants: Invariants

    def to_protocol(
        self, goal: Callable[[dict[str, Any]], bool] | None = None
    ) -> minicheck.Protocol:
        """Convert the specification to a minicheck protocol."""
        return minicheck.Protocol(
            name=self.name,
            # Required by minicheck, without effect on the search.
            candidate=False,
            fields=type(self.initial)._fields,
            initial=self.initial,
            transitions=self.transitions,
            invariants=self.invariants,
            goal=goal,
        )

    def iter_transitions(self) -> Iterator[Transition]:
        """Iterate over all transitions of all reachable states, breadth-first."""
        seen = {self.initial}
        queue = deque([self.initial])
        while queue:
            state = queue.popleft()
            for label, next_state in self.transitions(state):
                yield Transition(state, label, next_state)
                if next_state not in seen:
                    seen.add(next_state)
                    queue.append(next_state)


def assert_invariants_hold(specification: Specification) -> None:
    """Check that the search is exhaustive and each invariant holds in all states."""
    result = minicheck.check_safety(specification.to_protocol(), max_states=MAX_STATES)
    LOGGER.info("%s: %s states", specification.name, result["reachable_states"])
    assert result["exhaustive"], result["incomplete_reason"]
    # ``holds`` is ``None`` if the search was incomplete.
    violated = {
        name: step_labels(verdict["counterexample"])
        for name, verdict in result["properties"].items()
        if verdict["holds"] is not True
    }
    assert violated == {}


def shortest_violation(specification: Specification, invariant: str) -> list[str]:
    """Return the steps of a shortest counterexample to an invariant.

    The search is breadth-first, so a violation that is found within a state limit is
    a shortest one.
    """
    for max_states in SEARCH_LIMITS:
        result = minicheck.check_safety(
            specification.to_protocol(), max_states=max_states
        )
        verdict = result["properties"][invariant]
        if verdict["holds"] is False:
            steps = step_labels(verdict["counterexample"])
            LOGGER.info("%s: %s violated by %s", specification.name, invariant, steps)
            return steps
    raise AssertionError(f"{specification.name}: {invariant} was not violated")


def step_labels(counterexample: list[dict[str, Any]]) -> list[str]:
    """Return the step labels of a counterexample; its initial state has none."""
    return [step["label"] for step in counterexample if step["label"] is not None]
