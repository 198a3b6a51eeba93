"""Errors of calls to context stores."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.errors import TransportError


class OtherServerError(TransportError):
    """The server at the address of a context store is none."""

    code: ClassVar[str] = "other_server"
