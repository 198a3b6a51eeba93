"""Builders of routing documents for the tests of their check."""

from __future__ import annotations

import json
from typing import Any

from gypsumsail.document_check.checks import check_document
from gypsumsail.platform.document_check import read_document
from tests.catalog.common import document_spec

ROUTE: dict[str, Any] = document_spec()["routes"][0]
SERVICE: dict[str, Any] = document_spec()["services"][0]
KEY = "k-9f41c07d"


def route(**changes: Any) -> dict[str, Any]:
    """Return a route with its own name and prefix, unless the changes name others."""
    return ROUTE | {"name": "s", "path_prefix": "/s/"} | changes


def encode(**changes: Any) -> bytes:
    """Return a document as its file."""
    return json.dumps(document_spec(**changes)).encode()


def findings(data: bytes, memory_bytes: int = 0) -> dict[str, str]:
    """Return the severity of each finding of a document by its place."""
    reading = read_document(data)
    found = reading.findings
    if reading.decoded is not None:
        found += check_document(reading.decoded, memory_bytes)
    return {item.place: item.severity.value for item in found}
