"""Builders of routing documents with three customers, of whom ``a`` may be isolated."""

from __future__ import annotations

from collections.abc import Mapping
import json
from typing import Any

from tests.catalog.common import document_spec
from tests.gateway.common import ENGINES

ROUTE = {
    "name": "s",
    "host": "h.example",
    "path_prefix": "/s/",
    "kind": "streaming",
    "service": ENGINES,
}
SERVICE = {"name": ENGINES, "engine": {"slots": 64, "kv_tokens": 41_600}}
SHARING = [
    {"name": "a", "api_keys": ["key-a"]},
    {"name": "b", "api_keys": ["key-b"]},
    {"name": "c", "api_keys": ["key-c"]},
]


def encode(customers: object, **changes: Any) -> bytes:
    """Return a routing document as the operator writes it."""
    fields: dict[str, Any] = {"routes": [ROUTE], "services": [SERVICE]}
    spec = document_spec(**fields, tenants=customers)
    return json.dumps(spec | changes).encode()


def isolating(entry: Mapping[str, Any], *others: object) -> list[object]:
    """Return customers of whom ``a`` has the given fields besides its name."""
    return [{"name": "a", "dedicated": True, **entry}, *SHARING[1:], *others]
