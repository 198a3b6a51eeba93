"""Tests of the commands that query the entries."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest

from gypsumsail.cli.const import ExitCode
from tests.cli.common import closed_url, invoke, invoke_json, serve
from tests.entry.common import FakeStatusSource, document_status


@pytest.fixture
def first() -> FakeStatusSource:
    return FakeStatusSource("entry-1")


@pytest.fixture
def second() -> FakeStatusSource:
    return FakeStatusSource("entry-2")


@pytest.fixture
def flags(first: FakeStatusSource, second: FakeStatusSource) -> Iterator[list[str]]:
    with serve(first) as url_1, serve(second) as url_2:
        yield ["--entry", url_1, "--entry", url_2]


def test_in_force_reports_disagreement_between_entries(
    flags: list[str], second: FakeStatusSource
) -> None:
    assert invoke("document", "in-force", *flags).exit_code == ExitCode.OK
    outdated = invoke("document", "in-force", *flags, "--version", "4")
    assert outdated.exit_code == ExitCode.FINDINGS

    second.documents = (document_status(version=2),)
    differs = invoke("document", "in-force", *flags)
    assert differs.exit_code == ExitCode.FINDINGS
    assert "NOT AGREED" in differs.stdout

    second.documents = (replace(document_status(), findings=("share: wrong",)),)
    faulty = invoke("document", "in-force", *flags)
    assert faulty.exit_code == ExitCode.FINDINGS
    assert "entry-2: share: wrong" in faulty.stdout

    second.documents = ()
    code, result = invoke_json("document", "in-force", "claims", *flags)
    assert code == ExitCode.FINDINGS
    assert [len(item["documents"]) for item in result["entries"]] == [1, 0]


def test_unreachable_entries_are_reported(
    flags: list[str], first: FakeStatusSource
) -> None:
    first.peers = ("entry-2", "entry-9")
    closed = closed_url()

    code, result = invoke_json("document", "in-force", *flags, "--entry", closed)

    assert code == ExitCode.UNREACHABLE
    assert set(result["unreachable"]) == {"entry-9", closed}
    assert len(result["entries"]) == 2


def test_rejected_operator_key_is_reported_as_unreachable(flags: list[str]) -> None:
    result = invoke("document", "in-force", *flags, key="not-the-key")

    assert result.exit_code == ExitCode.UNREACHABLE
    assert result.stdout.count("refused the operator key") == 2
    # A command without any known entry ends with the same exit code.
    assert invoke("document", "in-force").exit_code == ExitCode.UNREACHABLE


def test_status_shows_every_entry(flags: list[str]) -> None:
    code, result = invoke_json("status", *flags)

    assert code == ExitCode.OK
    assert [item["entry"] for item in result["entries"]] == ["entry-1", "entry-2"]


def test_timeline_merges_pages_and_filters(flags: list[str]) -> None:
    code, result = invoke_json("timeline", *flags, "--request", "r2")

    assert code == ExitCode.OK
    lines = [(line["process"], line["event"]["request"]) for line in result["events"]]
    assert lines == [("entry-1", "r2"), ("entry-2", "r2")]
    assert [item["latest"] for item in result["processes"]] == [2, 2]
    assert invoke("timeline", *flags, "--entry", closed_url()).exit_code == (
        ExitCode.UNREACHABLE
    )
