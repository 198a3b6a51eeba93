"""Tests of traffic, layouts and metrics."""

from __future__ import annotations

import pytest

from bench.callers import Outcome
from bench.layouts import KERLANN, LAYOUTS, Layout, documents
from bench.measures import is_good, measure
from bench.traffic import Call, CallClass, Traffic
from gypsumsail.document.parser import parse_document


def outcome(at: float, **changes: object) -> Outcome:
    """Return a good outcome of a returning call, with changes."""
    call = Call(
        at=at,
        call_class=CallClass.RETURNING,
        customer=0,
        entry=0,
        prompt="p",
        max_tokens=8,
        key="",
    )
    found = Outcome(call=call, started=at, ended=at + 1.0, first_token=0.25)
    found.whole, found.prompt_tokens, found.cached_tokens = True, 100, 75
    found.token_gaps = [0.05]
    for name, value in changes.items():
        setattr(found, name, value)
    return found


@pytest.mark.parametrize("layout", LAYOUTS.values(), ids=LAYOUTS)
def test_documents_are_valid_and_layouts_have_the_required_sizes(
    layout: Layout,
) -> None:
    texts = documents(layout)
    assert len(texts) == 3
    for service, text in texts.items():
        assert parse_document(text, service).service == service
    engines = [len(service.engine_zones) for service in layout.model_services]
    assert engines == ([5, 3] if layout is KERLANN else [9, 4])
    assert len(layout.entry_zones) == 7
    assert len(layout.customers) == 10


def test_same_seed_generates_the_same_calls() -> None:
    calls = Traffic(KERLANN, 1).calls(seconds=20, load=2)
    assert calls == Traffic(KERLANN, 1).calls(seconds=20, load=2)
    assert calls != Traffic(KERLANN, 2).calls(seconds=20, load=2)
    prompts = [call.prompt for call in calls]
    assert len(set(prompts)) == len(prompts)


def test_first_call_with_a_dossier_is_long_and_later_ones_return() -> None:
    seen: dict[str, int] = {}
    calls = Traffic(KERLANN, 1).calls(seconds=60, load=1)
    for call in calls:
        if call.call_class not in (CallClass.LONG, CallClass.RETURNING):
            continue
        dossier = call.prompt.split(":")[0]
        is_first = call.call_class is CallClass.LONG
        assert is_first == (dossier not in seen)
        assert seen.setdefault(dossier, call.customer) == call.customer
    assert sum(call.call_class is CallClass.RETURNING for call in calls) > len(seen)


def test_measures_summarize_outcomes() -> None:
    outcomes = [
        outcome(0.0),
        outcome(1.0, wrong="other tokens"),
        outcome(2.0, whole=False, failure="overloaded: not run"),
        outcome(3.0, ended=3000.0),
    ]
    found = measure(KERLANN, outcomes, seconds=4.0, fault_at=None, link_bytes={"s": 7})
    assert [is_good(o) for o in outcomes] == [True, False, False, False]
    assert found.classes["returning"].calls == 4
    assert found.classes["returning"].whole == 3
    assert found.classes["returning"].goodput == 0.25
    assert found.classes["returning"].first_token.p95 == pytest.approx(0.25, rel=0.01)
    assert found.recomputed == 0.25
    assert found.refusals == {"overloaded: not run": 1}
    assert len(found.wrong) == 1
    assert found.fairness == 0.25
    assert found.recovery_seconds is None


def test_recovery_time_ends_when_calls_succeed_again() -> None:
    outcomes = [outcome(at / 4, whole=not 10 <= at / 4 < 14) for at in range(30 * 4)]
    found = measure(KERLANN, outcomes, seconds=30.0, fault_at=10.0, link_bytes={})
    assert found.recovery_seconds == pytest.approx(3.75, abs=0.5)
    never = [outcome(at / 4, whole=at / 4 < 10) for at in range(30 * 4)]
    lost = measure(KERLANN, never, seconds=30.0, fault_at=10.0, link_bytes={})
    assert lost.recovery_seconds == -1.0
