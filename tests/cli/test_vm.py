"""Tests of the ``vm`` commands."""

from __future__ import annotations

import os
from pathlib import Path
import signal
import subprocess
import sys

from click.testing import CliRunner
import pytest

from bench.processes import ROOT
from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.main import main
from tests.platform.test_settings import VALID_SETTINGS


def run_check(path: Path) -> tuple[int, str]:
    """Run ``vm check`` and return its exit code and output."""
    result = CliRunner().invoke(main, ["vm", "check", "--settings", str(path)])
    return result.exit_code, result.output


def test_valid_settings_have_no_findings(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(VALID_SETTINGS, encoding="utf-8")
    assert run_check(path) == (ExitCode.OK, "no findings\n")


def test_findings_name_their_fields(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text('ip = 7\nport_range = "x"\n', encoding="utf-8")
    code, output = run_check(path)
    assert code == ExitCode.FINDINGS
    for field in ("ip", "port_range", "node", "zone", "listen", "infra"):
        assert f": {field}: " in output


@pytest.mark.parametrize("command", ["run", "check"])
def test_missing_settings_path_is_usage_error(
    command: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("GYPSUMSAIL_CONFIG", raising=False)
    result = CliRunner().invoke(main, ["vm", command])
    assert result.exit_code == ExitCode.USAGE
    assert "settings file" in result.output


def test_run_rejects_invalid_settings(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text("", encoding="utf-8")
    result = CliRunner().invoke(main, ["vm", "run", "--settings", str(path)])
    assert result.exit_code == ExitCode.USAGE
    assert "node" in result.output


def test_reload_signal_during_the_start_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    path = tmp_path / "boot.toml"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "deploy" / "launch.py"), "vm", "run"],
        env={**os.environ, "GYPSUMSAIL_CONFIG": str(path)},
        stderr=subprocess.DEVNULL,
    )
    # The process is about to read its settings once it has opened the other end.
    with path.open("w", encoding="utf-8") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("ip = 7\n")
    assert process.wait(timeout=20.0) == ExitCode.USAGE
