"""Exit codes and constants of the command line."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

ENVIRONMENT_PREFIX: Final = "GYPSUMSAIL_"


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
