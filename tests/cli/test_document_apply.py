"""Tests of ``document apply`` with a simulated platform."""

from __future__ import annotations

from asyncio import to_thread
from pathlib import Path

import pytest

from bench.processes import Launcher, RunningProcess
from gypsumsail.cli.const import ExitCode
from gypsumsail.documents.const import RECREATION_VERSION_GAP
from tests.cli.common import invoke, invoke_json, serve
from tests.document.common import FAULTY_TEXT, MODEL_TEXT
from tests.entry.common import FakeStatusSource, document_status


@pytest.fixture
async def platform(launcher: Launcher) -> RunningProcess:
    return await launcher.start_module("platform", "stand_ins.platform")


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "claims.yaml"
    path.write_text(MODEL_TEXT)
    return path


def write_document(file: Path, text: str) -> None:
    file.write_text(text)


async def test_conflicting_apply_reports_difference(
    platform: RunningProcess, file: Path
) -> None:
    arguments = ["document", "apply", str(file), "--platform-url", platform.url]
    code, first = await to_thread(invoke_json, *arguments)
    assert (code, first["outcome"]["version"]) == (ExitCode.OK, 1)

    write_document(file, MODEL_TEXT.replace("share: 4", "share: 5"))
    first_edit = await to_thread(invoke, *arguments, "--expected-version", "1")
    write_document(file, MODEL_TEXT.replace("share: 4", "share: 6"))
    second_edit = await to_thread(invoke, *arguments, "--expected-version", "1")

    assert first_edit.exit_code == ExitCode.OK
    assert second_edit.exit_code == ExitCode.CONFLICT
    assert "-    share: 5\n+    share: 6" in second_edit.stdout
    assert "the platform has version 2" in second_edit.stdout
    shown = await to_thread(
        invoke, "document", "show", "claims", "--platform-url", platform.url
    )
    assert "share: 5" in shown.stdout


async def test_invalid_or_conflicting_document_and_unreachable_platform_set_exit_code(
    platform: RunningProcess, file: Path
) -> None:
    arguments = ["document", "apply", str(file), "--platform-url", platform.url]
    await to_thread(invoke, *arguments)

    write_document(file, FAULTY_TEXT)
    faulty = await to_thread(invoke, *arguments, "--expected-version", "1")
    assert faulty.exit_code == ExitCode.FINDINGS
    assert len(faulty.stdout.splitlines()) == 10

    write_document(file, MODEL_TEXT.replace("service: claims", "service: portal"))
    conflicting = await to_thread(invoke, *arguments)
    assert conflicting.exit_code == ExitCode.FINDINGS
    assert "model claims is also defined in documents/claims" in conflicting.stdout

    await platform.kill()
    unreachable = await to_thread(invoke, *arguments)
    assert unreachable.exit_code == ExitCode.UNREACHABLE


async def test_new_version_is_higher_than_version_in_force(
    platform: RunningProcess, file: Path
) -> None:
    source = FakeStatusSource("entry-1")
    source.documents = (document_status(version=9),)
    arguments = ["document", "apply", str(file), "--platform-url", platform.url]
    with serve(source) as url:
        flags = ["--entry", url, "--expected-version", "9"]
        code, result = await to_thread(invoke_json, *arguments, *flags)
        version = 9 + RECREATION_VERSION_GAP + 1
        assert (code, result["outcome"]["version"]) == (ExitCode.OK, version)

        write_document(file, MODEL_TEXT + "default_priority: 4\n")
        flags = ["--entry", url, "--expected-version", str(version), "--wait", "0.1"]
        timed_out = await to_thread(invoke, *arguments, *flags)
        assert timed_out.exit_code == ExitCode.FINDINGS
        assert "NOT IN FORCE EVERYWHERE" in timed_out.stdout
