"""Runs the program by ``python -m gypsumsail``."""

from __future__ import annotations

from gypsumsail.cli.main import main

main(prog_name="gypsumsail")
