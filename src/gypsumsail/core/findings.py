"""Findings of a check, each with its place."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import ClassVar

from gypsumsail.core.errors import GypsumsailError


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One thing that a check found wrong.

    Attributes
    ----------
    place
        File, flag, variable or object that holds the fault.
    message
        What is wrong; never the value itself, which may be a secret.
    path
        Path of the field inside the place, such as ``customers[2].share``.
    line, column
        Position in the place, counted from 1; 0 when there is none.
    """

    place: str
    message: str
    path: str = ""
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        """Return the finding as one line for a reader."""
        where = self.place
        if self.line:
            where = f"{where}:{self.line}:{self.column}"
        if self.path:
            where = f"{where}: {self.path}"
        return f"{where}: {self.message}"


class FindingsError(GypsumsailError):
    """A check failed.

    Attributes
    ----------
    findings
        All that was found, in the order of their places.
    """

    code: ClassVar[str] = "findings"

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class SettingsInvalidError(FindingsError):
    """The settings have faults; nothing may start on them."""

    code: ClassVar[str] = "settings_invalid"
