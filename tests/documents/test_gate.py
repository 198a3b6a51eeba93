"""Tests of the gate, also against a reference model without failures."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumsail.documents.gate import (
    Accepted,
    DocumentGate,
    Duplicate,
    OlderVersion,
    Rejected,
)
from gypsumsail.documents.models import Candidate, Source
from tests.documents.common import SERVICE, parse, text


def _candidate(
    version: int, *, service: str = SERVICE, wording: str | None = None
) -> Candidate:
    return Candidate(
        service=service,
        version=version,
        text=text(version, service=service) if wording is None else wording,
        source=Source.PEER,
    )


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["claims", "portal"]), st.integers(1, 9), st.booleans()
        ),
        max_size=40,
    )
)
def test_any_order_and_repetition_gives_the_highest_valid_version(
    deliveries: list[tuple[str, int, bool]],
) -> None:
    gate = DocumentGate(parse)
    reference: dict[str, int] = {}
    valid = {(service, version): ok for service, version, ok in deliveries}
    for service, version, _ in deliveries:
        before = gate.version(service)
        good = valid[service, version]
        wording = None if good else "invalid"
        gate.offer(_candidate(version, service=service, wording=wording))
        if good:
            reference[service] = max(version, reference.get(service, 0))
        assert gate.version(service) >= before
    assert {name: known.version for name, known in gate.in_force.items()} == reference


def test_invalid_write_keeps_the_last_valid_one_and_reports_findings() -> None:
    gate = DocumentGate(parse)
    assert isinstance(gate.offer(_candidate(1)), Accepted)
    bad = gate.offer(_candidate(2, wording="nonsense"))
    assert isinstance(bad, Rejected)
    assert bad.rejection.findings == ("claims@2: no colon",)
    assert isinstance(gate.offer(_candidate(2, wording="nonsense")), Duplicate)
    other = gate.offer(_candidate(3, wording=text("x", service="portal")))
    assert isinstance(other, Rejected)
    assert gate.version(SERVICE) == 1
    assert gate.rejections[SERVICE].version == 3
    assert isinstance(gate.offer(_candidate(4)), Accepted)
    assert not gate.rejections


def test_lower_version_and_changed_text_of_same_version_are_not_applied() -> None:
    gate = DocumentGate(parse)
    gate.offer(_candidate(5))
    assert isinstance(gate.offer(_candidate(4)), OlderVersion)
    assert isinstance(gate.offer(_candidate(5)), Duplicate)
    assert isinstance(gate.offer(_candidate(5, wording=text("other"))), Rejected)
    assert gate.in_force[SERVICE].text == text(5)
