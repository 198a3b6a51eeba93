"""Tests of the platform package's boundary.

The platform's wire names occur only in this package, and the package does not
import the modules time and random.
"""

from __future__ import annotations

from pathlib import Path
import re

SOURCE = Path(__file__).resolve().parent.parent.parent / "src" / "gypsumsail"
WIRE_NAMES = re.compile(
    r"Gypsumsail-|GYPSUMSAIL_CONFIG|/v1/(objects|kv-|order|report|hold|readyz)"
    r"|kv_store_addr|cold_left_ms|api_keys|path_prefix|gap_aim_ms|goal_ms"
)


def test_wire_names_occur_only_in_platform_package() -> None:
    found = [
        f"{path.relative_to(SOURCE)}: {match.group()}"
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.parts
        for match in WIRE_NAMES.finditer(path.read_text(encoding="utf-8"))
    ]
    assert not found


def test_only_cli_imports_platform_package() -> None:
    found = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.parts
        and "gypsumsail.platform" in path.read_text(encoding="utf-8")
    ]
    assert found == ["cli/vm.py"]


def test_platform_package_imports_no_time_or_random() -> None:
    text = "".join(
        path.read_text(encoding="utf-8") for path in (SOURCE / "platform").glob("*.py")
    )
    assert "import time" not in text
    assert "import random" not in text
