"""Encoding of documents that are stored on the platform."""

from __future__ import annotations

from typing import ClassVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from gypsumsail.core.errors import GypsumsailError
from gypsumsail.documents.const import DOCUMENT_PREFIX
from gypsumsail.documents.models import StoredDocument


class StoredValueError(GypsumsailError):
    """The object's value is not in the format of a stored document.

    Attributes
    ----------
    findings
        Validation errors of the value.
    """

    code: ClassVar[str] = "stored_value"

    def __init__(self, findings: tuple[str, ...]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


class _StoredModel(BaseModel):
    """JSON representation of a stored document."""

    model_config = ConfigDict(strict=True, extra="forbid")

    base: int = Field(ge=0, lt=2**53)
    text: str


def document_key(service: str) -> str:
    """Return the object key of a service's document."""
    return DOCUMENT_PREFIX + service


def service_of(key: str) -> str:
    """Return the service of an object key."""
    return key.removeprefix(DOCUMENT_PREFIX)


def encode_stored(stored: StoredDocument) -> bytes:
    """Encode a stored document as JSON."""
    return _StoredModel(base=stored.base, text=stored.text).model_dump_json().encode()


def decode_stored(value: bytes) -> StoredDocument:
    """Decode a stored document.

    Raises
    ------
    StoredValueError
        The value is invalid.
    """
    try:
        model = _StoredModel.model_validate_json(value)
    except ValidationError as error:
        raise StoredValueError(_findings(error)) from error
    return StoredDocument(base=model.base, text=model.text)


def _findings(error: ValidationError) -> tuple[str, ...]:
    return tuple(
        f"{'.'.join(str(part) for part in item['loc']) or 'value'}: {item['msg']}"
        for item in error.errors(include_input=False, include_url=False)
    )
