"""Starts the program from the source tree."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path[0] = str(Path(__file__).resolve().parent.parent / "src")

from gypsumsail.cli.main import main  # noqa: E402

main()
