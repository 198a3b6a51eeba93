"""Tests of the document gate specification and of the code against it."""

from __future__ import annotations

import logging

import pytest

from gypsumsail.documents.apply import PlannedWrite, plan_write
from gypsumsail.documents.codec import encode_stored
from gypsumsail.documents.gate import Accepted, DocumentGate
from gypsumsail.documents.models import Candidate, Source, StoredDocument
from gypsumsail.object_api.port import PlatformObject
from tests.common import make_document

from . import documents_spec
from .common import assert_invariants_hold, shortest_violation

LOGGER = logging.getLogger(__name__)

SERVICE = "claims"


def test_documents_never_revert_and_newest_is_accepted() -> None:
    assert_invariants_hold(documents_spec.specification())


@pytest.mark.parametrize(
    ("guard", "invariant"),
    [
        ("gate", "never_reverts"),
        ("base_continues", "newest_is_accepted"),
        ("base_continues", "never_reverts"),
        ("gap", "newest_is_accepted"),
        ("deleted_object_visible", "newest_is_accepted"),
    ],
)
def test_invariant_fails_without_guard(guard: str, invariant: str) -> None:
    guards = documents_spec.ALL_GUARDS._replace(**{guard: False})
    assert shortest_violation(documents_spec.specification(guards), invariant)


def test_code_matches_specification() -> None:
    pairs = {
        (version, documents_spec.version_in_force(transition.state, entry))
        for transition in documents_spec.specification().iter_transitions()
        for version in transition.state.written
        for entry in documents_spec.ENTRIES
    }
    LOGGER.info(
        "compared the code with the specification in %s pairs of received version "
        "and version in force",
        len(pairs),
    )
    for version, in_force in pairs:
        gate = DocumentGate(lambda text, place: make_document(SERVICE).document)
        if in_force:
            gate.offer(candidate(in_force))
        accepted = isinstance(gate.offer(candidate(version)), Accepted)
        expected = documents_spec.is_accepted(
            version, in_force, documents_spec.ALL_GUARDS
        )
        assert accepted is expected
        assert gate.version(SERVICE) == (version if expected else in_force)


def test_command_line_writes_specified_versions() -> None:
    for transition in documents_spec.specification().iter_transitions():
        if transition.label != "an operator applies":
            continue
        stored = transition.state.stored
        highest_in_force = documents_spec.highest_in_force(transition.state)
        expected = (
            stored.base + stored.object_version
            if stored.object_version
            else highest_in_force
        )
        plan = plan_write(
            stored_object(stored),
            "text",
            expected_version=expected,
            highest_in_force=highest_in_force,
        )
        assert isinstance(plan, PlannedWrite)
        assert plan.document_version == transition.next_state.written[-1]


def stored_object(stored: documents_spec.Stored) -> PlatformObject | None:
    if stored.object_version == 0:
        return None
    value = encode_stored(StoredDocument(base=stored.base, text="before"))
    return PlatformObject(
        key="documents/claims", version=stored.object_version, value=value
    )


def candidate(version: int) -> Candidate:
    return Candidate(
        service=SERVICE, version=version, text=str(version), source=Source.WATCH
    )
