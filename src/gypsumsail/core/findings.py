"""Findings of a validation, each with its location."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import ClassVar

from gypsumsail.core.errors import GypsumsailError


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One problem that a validation found.

    Attributes
    ----------
    place
        Source of the validated data: the file, command line flag, environment variable
        or object that contains the problem.
    message
        Description of the problem, without the value itself, which may be a secret.
    path
        Path of the field within the place, such as ``customers[2].share``.
    line, column
        Position within the place, counted from 1; 0 if unknown.
    """

    place: str
    message: str
    path: str = ""
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        """Return the finding as one human-readable line."""
        where = self.place
        if self.line:
            where = f"{where}:{self.line}:{self.column}"
        if self.path:
            where = f"{where}: {self.path}"
        return f"{where}: {self.message}"


class FindingsError(GypsumsailError):
    """A validation failed.

    Attributes
    ----------
    findings
        All findings, in the order given.
    """

    code: ClassVar[str] = "findings"

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class SettingsInvalidError(FindingsError):
    """The settings are invalid; the process must not start with them."""

    code: ClassVar[str] = "settings_invalid"
