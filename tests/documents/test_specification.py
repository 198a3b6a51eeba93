"""Model checks of documents in force, and comparison with the code."""

from __future__ import annotations

import random

from minicheck import check_safety
import pytest

from gypsumsail.documents.apply import PlannedWrite, plan_write
from gypsumsail.documents.codec import decode_stored, document_key
from gypsumsail.documents.gate import DocumentGate
from gypsumsail.documents.models import Candidate, Source
from gypsumsail.object_api.port import PlatformObject
from tests.documents.common import SERVICE, parse, text
from tests.documents.specification import (
    Guards,
    State,
    highest_in_force_of,
    protocol,
    steps,
)

WALKS = 200
WALK_STEPS = 40


def test_all_reachable_states_are_safe() -> None:
    result = check_safety(protocol(Guards()))
    print(f"states explored: {result['reachable_states']}")  # noqa: T201
    assert all(one["holds"] is True for one in result["properties"].values())
    assert result["exhaustive"]


@pytest.mark.parametrize(
    ("guards", "broken"),
    [
        (Guards(only_newer=False), "never reverts"),
        (Guards(base=False), "later writes are higher"),
        (Guards(gap=False), "later writes are higher"),
        (Guards(creation_in_force=False), "later writes are higher"),
    ],
)
def test_each_guard_is_needed(guards: Guards, broken: str) -> None:
    result = check_safety(protocol(guards))
    assert result["properties"][broken]["holds"] is False


class _Implementation:
    """Executes the steps of the specification with the code's decisions."""

    def __init__(self) -> None:
        self.stored: PlatformObject | None = None
        self.candidates: list[Candidate] = []
        self.gates = {name: DocumentGate(parse) for name in ("first", "second")}

    def step(self, label: str, before: State) -> None:
        match label.split():
            case ["write"]:
                self._write(highest_in_force_of(before))
            case ["delete"]:
                self.stored = None
            case ["restart", entry]:
                self.gates[entry] = DocumentGate(parse)
            case ["deliver", number, entry]:
                self.gates[entry].offer(self.candidates[int(number) - 1])

    def state(self) -> tuple[tuple[int, ...], int, int]:
        versions = tuple(candidate.version for candidate in self.candidates)
        first, second = (self._number(name) for name in ("first", "second"))
        return versions, first, second

    def _write(self, highest_in_force: int) -> None:
        own = text(len(self.candidates) + 1)
        expected = self.candidates[-1].version if self.stored else highest_in_force
        plan = plan_write(
            self.stored,
            own,
            expected_version=expected,
            highest_in_force=highest_in_force,
        )
        assert isinstance(plan, PlannedWrite)
        self.stored = PlatformObject(
            key=document_key(SERVICE), version=plan.if_version + 1, value=plan.value
        )
        stored = decode_stored(plan.value)
        assert stored.base + self.stored.version == plan.document_version
        self.candidates.append(
            Candidate(
                service=SERVICE,
                version=plan.document_version,
                text=stored.text,
                source=Source.LIST,
            )
        )

    def _number(self, entry: str) -> int:
        known = self.gates[entry].in_force.get(SERVICE)
        return 0 if known is None else int(known.text.split()[-1])


def test_code_takes_the_same_steps_as_the_specification() -> None:
    rng = random.Random(7)
    for _ in range(WALKS):
        state, code = State(), _Implementation()
        for _ in range(WALK_STEPS):
            label, after = rng.choice(list(steps(state, Guards())))
            code.step(label, state)
            state = after
            assert code.state() == (state.versions, state.first, state.second)
