"""Tests of the example service documents."""

from __future__ import annotations

from hashlib import sha256
from pathlib import Path

import pytest

from gypsumsail.document.cross_checks import check_across_documents
from gypsumsail.document.parser import parse_document

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@pytest.mark.parametrize(("deployment", "count"), [("kerlann", 4), ("association", 3)])
def test_example_documents_are_valid_and_do_not_conflict(
    deployment: str, count: int
) -> None:
    files = sorted((EXAMPLES / deployment).glob("*.yaml"))
    documents = {
        file.name: parse_document(file.read_text(encoding="utf-8"), file.name)
        for file in files
    }

    assert len(documents) == count
    assert check_across_documents(documents) == []
    for name, document in documents.items():
        assert f"{document.service}.yaml" == name
        assert len(document.customers) == 10
        for customer in document.customers:
            key = f"example-key-of-{customer.name}"
            assert customer.key_digests == (sha256(key.encode()).hexdigest(),)
