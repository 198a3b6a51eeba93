"""Exit codes and constants of the command line."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

ENVIRONMENT_PREFIX: Final = "GYPSUMSAIL_"


class ExitCode(IntEnum):
    """Exit codes of the commands.

    ``FINDINGS`` also stands for other negative results: a document was not found,
    the entries disagree, or events are lost.
    """

    OK = 0
    FINDINGS = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
