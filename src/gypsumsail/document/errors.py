"""Errors of service documents."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.findings import FindingsError


class DocumentInvalidError(FindingsError):
    """A service document is invalid and cannot come into force."""

    code: ClassVar[str] = "document_invalid"
