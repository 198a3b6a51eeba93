"""Errors of service documents."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.findings import FindingsError


class DocumentInvalidError(FindingsError):
    """A service document has faults and can't come into force."""

    code: ClassVar[str] = "document_invalid"
