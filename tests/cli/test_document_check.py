"""Tests of the commands that validate documents and print the schema."""

from __future__ import annotations

import json
from pathlib import Path

from gypsumsail.cli.const import ExitCode
from tests.cli.common import invoke, invoke_json
from tests.document.common import FAULTY_TEXT, MODEL_TEXT


def test_check_reports_the_findings_of_all_files(tmp_path: Path) -> None:
    valid, conflicting, faulty = (tmp_path / name for name in ("good", "twin", "bad"))
    valid.write_text(MODEL_TEXT)
    conflicting.write_text(MODEL_TEXT.replace("service: claims", "service: portal"))
    faulty.write_text(FAULTY_TEXT)

    assert invoke("document", "check", str(valid)).exit_code == ExitCode.OK
    code, result = invoke_json(
        "document",
        "check",
        str(valid),
        str(conflicting),
        str(faulty),
        str(tmp_path / "none"),
    )

    assert code == ExitCode.FINDINGS
    places = [finding["place"] for finding in result["findings"]]
    assert places.count(str(faulty)) == 10
    assert str(tmp_path / "none") in places
    assert f"model claims is also defined in {valid}" in {
        finding["message"] for finding in result["findings"]
    }


def test_schema_is_json_with_required_fields() -> None:
    schema = json.loads(invoke("document", "schema").stdout)

    assert {"service", "customers", "routes"} <= set(schema["required"])
    assert schema["additionalProperties"] is False
