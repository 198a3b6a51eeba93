"""Tests of rollouts with random interruptions, against the expected end state."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumsail.document.models import DocumentInForce
from gypsumsail.orders.const import MAX_CONCURRENT_LOADS
from gypsumsail.orders.desired_state import is_serving
from gypsumsail.orders.models import EMPTY_ROLLOUT_STATE, RolloutState
from gypsumsail.orders.planner import max_unavailable_count, plan_orders
from gypsumsail.targets.port import EngineRole, LoadedModel, SetState

from .common import ZONES, Deployment, document, serving

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["plan", "plan", "plan", "finish", "finish", "restart", "document", "down"]
        ),
        st.integers(0, 20),
    ),
    max_size=60,
)


def expected_end_states(
    engines: list[str], last: DocumentInForce
) -> dict[str, tuple[LoadedModel, ...]]:
    """Return the models of each engine after a rollout without failures."""
    model = last.document.models[0]
    wanted = (
        LoadedModel(model=model.name, weight_version=model.weight_version, adapters=()),
    )
    return dict.fromkeys(engines, wanted)


class Rollout:
    """Planner and engines that a test advances step by step."""

    def __init__(self, engines: int, share: float) -> None:
        self.deployment = Deployment(engines)
        self.share = share
        self.rollout_state: RolloutState = EMPTY_ROLLOUT_STATE
        self.deployment.documents = (document(2, "v2", share),)
        self.restarted: set[str] = set()

    def serving(self) -> set[str]:
        return {
            name
            for name, engine in self.deployment.engines.items()
            if not engine.down and is_serving(engine.state)
        }

    def plan(self, zone: str) -> None:
        before = self.serving()
        plan = plan_orders(
            self.deployment.documents,
            self.deployment.observed(),
            self.rollout_state,
            zone,
        )
        self.rollout_state = plan.rollout_state
        for order in plan.orders:
            message = SetState(fence=1, role=order.role, models=order.models)
            self.deployment.engines[order.target].arrive(message)
        self.check_limits(before)

    def check_limits(self, before: set[str]) -> None:
        after = self.serving()
        total = len(self.deployment.engines)
        assert len(self.rollout_state.slots) <= max(MAX_CONCURRENT_LOADS, 1)
        if before == after:
            return
        assert total - len(after) <= max_unavailable_count(total, self.share)
        assert after or total == 1

    def apply(self, event: str, number: int) -> None:
        names = list(self.deployment.engines)
        engine = self.deployment.engines[names[number % len(names)]]
        match event:
            case "plan":
                self.plan(ZONES[number % len(ZONES)])
            case "finish":
                engine.finish()
            case "restart":
                engine.state = serving("", models=(), role=EngineRole.STANDBY)
            case "document":
                version = self.deployment.documents[0].version + 1
                self.deployment.documents = (
                    document(version, f"v{number % 3}", self.share),
                )
            case "down":
                engine.down = not engine.down

    def settle(self) -> None:
        for engine in self.deployment.engines.values():
            engine.down = False
        for _ in range(4 * len(self.deployment.engines) + 4):
            for zone in ZONES:
                self.plan(zone)
            for engine in self.deployment.engines.values():
                engine.finish()
        for zone in ZONES:
            self.plan(zone)


@given(st.integers(1, 9), st.sampled_from([0.0, 0.25, 0.5, 1.0]), EVENTS)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_rollouts_reach_the_expected_end_state_within_the_limits(
    engines: int, share: float, events: list[tuple[str, int]]
) -> None:
    rollout = Rollout(engines, share)
    for event, number in events:
        rollout.apply(event, number)
    rollout.settle()
    deployment = rollout.deployment
    end = {name: engine.state.models for name, engine in deployment.engines.items()}
    assert end == expected_end_states(list(end), deployment.documents[0])
    assert rollout.rollout_state.slots == ()


def test_version_that_fails_to_load_stops_the_rollout_at_the_limit() -> None:
    rollout = Rollout(8, 0.25)
    for _ in range(10):
        for zone in ZONES:
            rollout.plan(zone)
    assert len(rollout.serving()) == 6


def test_document_older_than_the_latest_ordered_one_is_ignored() -> None:
    rollout = Rollout(6, 0.25)
    rollout.plan(ZONES[0])
    rollout.deployment.documents = (document(1, "v1"),)
    plan = plan_orders(
        rollout.deployment.documents,
        rollout.deployment.observed(),
        rollout.rollout_state,
        ZONES[0],
    )
    assert plan.orders == ()


def test_slot_of_a_removed_engine_is_released() -> None:
    rollout = Rollout(6, 0.25)
    rollout.plan(ZONES[0])
    (slot,) = rollout.rollout_state.slots
    observed = [
        engine
        for engine in rollout.deployment.observed()
        if engine.target != slot.target
    ]
    plan = plan_orders(
        rollout.deployment.documents, observed, rollout.rollout_state, ZONES[0]
    )
    assert slot.target not in {item.target for item in plan.rollout_state.slots}
    assert len(plan.orders) == 1
