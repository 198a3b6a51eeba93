"""Tests of the service document parser."""

from __future__ import annotations

from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.document.const import MAX_DOCUMENT_BYTES
from gypsumsail.document.errors import DocumentInvalidError
from gypsumsail.document.models import ServiceKind
from gypsumsail.document.parser import parse_document
from tests.document.common import DIGEST_A, FAULTY_TEXT, MODEL_TEXT


def test_parses_valid_document() -> None:
    document = parse_document(MODEL_TEXT, "claims.yaml")

    assert document.kind is ServiceKind.MODEL
    assert document.models[0].adapters[0].version == "2"
    assert document.customers[0].key_digests == (DIGEST_A,)
    assert document.customers[1].max_priority == 5
    assert document.tiers.link_bytes_per_second == 5e7
    assert document.deadlines.longest == 600


def test_reports_all_faults_with_positions() -> None:
    with pytest.raises(DocumentInvalidError) as caught:
        parse_document(FAULTY_TEXT, "claims.yaml")

    places = [(f.path, f.line, f.column) for f in caught.value.findings]
    assert places == [
        ("color", 4, 1),
        ("models[0].weight_version", 6, 5),
        ("customers[0].key_digests[0]", 9, 19),
        ("customers[0].share", 10, 12),
        ("customers[1].name", 11, 11),
        ("customers[1].key_digests", 12, 18),
        ("routes[0].path", 15, 11),
        ("routes[0].repeatable", 16, 17),
        ("deadlines.default", 18, 12),
        ("tiers.weights", 21, 12),
    ]
    assert "not-a-digest" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ("service: &a claims\nowner: *a\n", 2, "aliases"),
        ("a: &a [1]\nb: [*a, *a]\n", 1, "anchors"),
        ("service: a\nservice: b\n", 2, "twice"),
        ("service: !!python/object:os.system a\n", 1, "tags"),
        ("service: [a\n", 2, "YAML"),
        ("a: b\n---\nc: d\n", 2, "second document"),
        ("[" * 5000, 1, "nesting depth"),
        ("1: a", 1, "a key must be a string"),
        (MODEL_TEXT.replace("share: 4", "share: " + "1" * 5000), 13, "valid number"),
        (MODEL_TEXT.replace("share: 4", "share: 1:30"), 13, "valid number"),
        (MODEL_TEXT + "fencing_targets: yes", 28, "valid boolean"),
        ("a: {" * 9000, 1, "nested too deeply"),
        ("a: [" + "b," * 100_000 + "]", 1, "too many nodes"),
        ("", 1, "empty"),
        ("service: \0", 1, "YAML"),
    ],
)
def test_rejects_invalid_or_malicious_yaml(text: str, line: int, message: str) -> None:
    with pytest.raises(DocumentInvalidError) as caught:
        parse_document(text, "x")

    found = [f for f in caught.value.findings if message in f.message]
    assert found
    assert line in {f.line for f in found}


def test_rejects_oversized_text() -> None:
    with pytest.raises(DocumentInvalidError, match="bytes"):
        parse_document("#" * (MAX_DOCUMENT_BYTES + 1), "x")


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.integers(0, len(MODEL_TEXT)),
    st.integers(0, 40),
    st.text(max_size=12) | st.sampled_from([": ", "- ", "{", "&a ", "*a", "!!x "]),
)
def test_corrupted_text_gives_document_or_findings(
    start: int, length: int, insert: str
) -> None:
    text = MODEL_TEXT[:start] + insert + MODEL_TEXT[start + length :]
    with suppress(DocumentInvalidError):
        parse_document(text, "x")
