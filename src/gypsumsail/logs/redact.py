"""Redacts keys and prompt texts in log messages."""

from __future__ import annotations

from collections.abc import Iterable
import re
from typing import Final

REDACTED: Final = "[redacted]"

_BEARER: Final = re.compile(r"(?i)(bearer\s+)\S+")
# Unquoted values that start with "bearer" are excluded, because ``_BEARER`` has already
# redacted them.
_SENSITIVE_FIELD: Final = re.compile(
    r"""(?ix)
    (["']?\b(?:prompt|text|messages|content|api[_-]?key|authorization|secret|
    operator[_-]?key|peer[_-]?secret)\b["']?\s*[:=]\s*)
    ("(?:[^"\\]|\\.)*"?|'(?:[^'\\]|\\.)*'?|(?!bearer\b)[^\s,}]+)
    """
)


class Redactor:
    """Replaces known secrets, and the values of fields that hold prompts or keys.

    This is a second safeguard: no logging call may pass prompt text or keys in
    the first place.
    """

    def __init__(self, secrets: Iterable[str] = ()) -> None:
        self.secrets = tuple(secret for secret in secrets if secret)

    def redact(self, message: str) -> str:
        """Return the message with secrets replaced by ``REDACTED``."""
        for secret in self.secrets:
            message = message.replace(secret, REDACTED)
        message = _BEARER.sub(rf"\1{REDACTED}", message)
        return _SENSITIVE_FIELD.sub(rf"\1{REDACTED}", message)
