"""Exit codes and names of the command line."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

ENVIRONMENT_PREFIX: Final = "GYPSUMSAIL_"


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
