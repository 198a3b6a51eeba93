"""Checks the gate of documents, and ties its specification to the code."""

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
from .common import assert_holds, shortest_fault

LOGGER = logging.getLogger(__name__)

SERVICE = "claims"


def test_documents_never_revert_and_the_newest_is_taken() -> None:
    assert_holds(documents_spec.specification())


@pytest.mark.parametrize(
    ("guard", "invariant"),
    [
        ("gate", "never_reverts"),
        ("base_goes_on", "newest_is_taken"),
        ("base_goes_on", "never_reverts"),
        ("gap", "newest_is_taken"),
        ("floor_is_seen", "newest_is_taken"),
    ],
)
def test_fault_shows_without_its_guard(guard: str, invariant: str) -> None:
    guards = documents_spec.ALL_GUARDS._replace(**{guard: False})
    assert shortest_fault(documents_spec.specification(guards), invariant)


def test_code_takes_the_steps_of_the_specification() -> None:
    pairs = {
        (version, documents_spec.version_in_force(move.state, entry))
        for move in documents_spec.specification().moves()
        for version in move.state.written
        for entry in documents_spec.ENTRIES
    }
    LOGGER.info("%s receptions replayed", len(pairs))
    for version, in_force in pairs:
        gate = DocumentGate(lambda text, place: make_document(SERVICE).document)
        if in_force:
            gate.offer(candidate(in_force))
        accepted = isinstance(gate.offer(candidate(version)), Accepted)
        expected = documents_spec.comes_into_force(
            version, in_force, documents_spec.ALL_GUARDS
        )
        assert accepted is expected
        assert gate.version(SERVICE) == (version if expected else in_force)


def test_command_line_writes_the_versions_of_the_specification() -> None:
    for move in documents_spec.specification().moves():
        if move.label != "an operator applies":
            continue
        stored = move.state.stored
        floor = documents_spec.floor(move.state)
        expected = stored.base + stored.version if stored.version else floor
        plan = plan_write(
            stored_object(stored),
            "text",
            expected_version=expected,
            highest_in_force=floor,
        )
        assert isinstance(plan, PlannedWrite)
        assert plan.document_version == move.following.written[-1]


def stored_object(stored: documents_spec.Stored) -> PlatformObject | None:
    if stored.version == 0:
        return None
    value = encode_stored(StoredDocument(base=stored.base, text="before"))
    return PlatformObject(key="documents/claims", version=stored.version, value=value)


def candidate(version: int) -> Candidate:
    return Candidate(
        service=SERVICE, version=version, text=str(version), source=Source.WATCH
    )
