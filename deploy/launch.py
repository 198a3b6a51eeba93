"""Starts the program from the source tree."""

from __future__ import annotations

from pathlib import Path
import signal
import sys

# The default action of a reload signal would end the process before its handler is
# installed. The settings are read after this line, so that such a reload is not lost.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path[0] = str(Path(__file__).resolve().parent.parent / "src")

from gypsumsail.cli.main import main  # noqa: E402

main()
