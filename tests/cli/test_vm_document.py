"""Tests of the command ``vm check-document``, with a store that is not on a network."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner, Result
import pytest

from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.main import main
from gypsumsail.core.errors import TransportError
from gypsumsail.platform.client import JsonClient
from gypsumsail.transport.bytes_client import BytesResponse
from tests.document_check.common import KEY, ROUTE, encode
from tests.platform.test_settings import VALID_SETTINGS

STORE = ("--store", "127.0.0.1:1")
ERRONEOUS = encode(routes=[ROUTE | {"service": "x"}])


def run(tmp_path: Path, *arguments: str, file: bytes | None = None) -> Result:
    """Run the command, with a file if one is given."""
    path = tmp_path / "document.json"
    if file is not None:
        path.write_bytes(file)
        arguments = (str(path), *arguments)
    return CliRunner().invoke(main, ["vm", "check-document", *arguments])


def set_store(monkeypatch: pytest.MonkeyPatch, answer: bytes | Exception) -> None:
    """Replace the connection to the store by one that gives this document."""

    async def async_answer(_: JsonClient, method: str, path: str, **__: Any) -> Any:
        assert (method, path) == ("GET", "/v1/objects/config/main")
        if isinstance(answer, Exception):
            raise answer
        metadata = b'{"metadata":{"name":"main","rev":7},"spec":'
        status = 200 if answer else 404
        return BytesResponse(status=status, body=metadata + answer + b"}", headers=())

    monkeypatch.setattr(JsonClient, "async_call_bytes", async_answer)


def test_errors_and_warnings_set_the_exit_code(tmp_path: Path) -> None:
    assert run(tmp_path, file=encode()).exit_code == ExitCode.OK
    result = run(tmp_path, file=encode(tenants=[{"name": "a"}]))
    assert result.exit_code == ExitCode.OK
    assert "warning: tenants[a].api_keys: " in result.stdout
    result = run(tmp_path, file=ERRONEOUS)
    assert result.exit_code == ExitCode.FINDINGS
    assert "error: routes[r].service: no service has this name" in result.stdout


def test_settings_state_the_memory_of_a_vm(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(VALID_SETTINGS + "\n[limits]\nram_mb = 0.001\n", encoding="utf-8")
    result = run(tmp_path, "--settings", str(path), file=encode())
    assert result.exit_code == ExitCode.FINDINGS, result.output
    assert "limits.max_body_bytes" in result.stdout


@pytest.mark.parametrize(
    "arguments",
    [(), ("--store", "x"), ("missing.json",), (*STORE, "--in-force", "x", "y")],
)
def test_invalid_usage(tmp_path: Path, arguments: tuple[str, ...]) -> None:
    assert run(tmp_path, *arguments).exit_code == ExitCode.USAGE


def test_unreachable_store_does_not_hide_errors(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_store(monkeypatch, TransportError("refused", sent=False))
    assert run(tmp_path, *STORE).exit_code == ExitCode.UNREACHABLE
    result = run(tmp_path, *STORE, file=encode())
    assert result.exit_code == ExitCode.UNREACHABLE
    assert run(tmp_path, *STORE, file=ERRONEOUS).exit_code == ExitCode.FINDINGS


def test_document_in_the_store_is_checked(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_store(monkeypatch, ERRONEOUS)
    path = tmp_path / "old.json"
    path.write_bytes(encode())
    result = run(tmp_path, *STORE, "--in-force", str(path))
    assert result.exit_code == ExitCode.FINDINGS
    assert 'changed: routes[r].service: "portal" -> "x"' in result.stdout
    set_store(monkeypatch, b"")
    assert run(tmp_path, *STORE).exit_code == ExitCode.FINDINGS


def test_json_has_the_differences_from_the_store_and_no_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_store(monkeypatch, encode())
    tenants = [{"name": x, "api_keys": [KEY], "priority": 1} for x in "ab"]
    result = run(tmp_path, *STORE, "--json", file=encode(tenants=tenants))
    assert KEY not in result.output
    found = json.loads(result.stdout)
    assert [item["place"] for item in found["findings"]] == ["tenants[b].api_keys[0]"]
    places = {item["place"]: item["kind"] for item in found["differences"]}
    assert places == {"tenants[a].api_keys": "changed", "tenants[b]": "added"}
