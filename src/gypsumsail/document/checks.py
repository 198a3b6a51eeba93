"""Checks across the fields of a service document.

The checks run on unvalidated data, so that their findings are reported together
with those of the field validation.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeGuard

from gypsumsail.document.const import WEIGHT_SUM_TOLERANCE
from gypsumsail.document.tree import NodePath


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckFault:
    """A violation of a check across fields, with the path of the field."""

    path: NodePath
    message: str


def check_document(data: dict[str, Any]) -> list[CheckFault]:
    """Return the violations of the checks across fields."""
    return [
        *_check_kind(data),
        *_check_unique(data, "models", "name"),
        *_check_unique_adapters(data),
        *_check_unique(data, "customers", "name"),
        *_check_unique(data, "routes", "path"),
        *_check_unique_digests(data),
        *_check_deadlines(data),
        *_check_weight_sum(data),
    ]


def _check_kind(data: dict[str, Any]) -> Iterator[CheckFault]:
    kind = data.get("kind")
    if kind == "model" and not data.get("models"):
        yield CheckFault(
            path=("models",),
            message="a service of kind model requires at least one model",
        )
    if kind == "model" and data.get("tiers") is None:
        yield CheckFault(
            path=("tiers",), message="a service of kind model requires tiers"
        )
    if kind == "plain" and data.get("models"):
        yield CheckFault(
            path=("models",), message="a service of kind plain must not have models"
        )
    if kind == "plain" and data.get("tiers") is not None:
        yield CheckFault(
            path=("tiers",), message="a service of kind plain must not have tiers"
        )


def _check_unique(
    data: Any, list_name: str, field_name: str, parent: NodePath = ()
) -> Iterator[CheckFault]:
    seen: dict[str, NodePath] = {}
    for path, item in _list_items(data, list_name, parent):
        value = item.get(field_name)
        if not isinstance(value, str):
            continue
        if value in seen:
            message = f"has the same value as {format_path(seen[value])}"
            yield CheckFault(path=(*path, field_name), message=message)
        seen.setdefault(value, (*path, field_name))


def _check_unique_adapters(data: dict[str, Any]) -> Iterator[CheckFault]:
    for path, model in _list_items(data, "models", ()):
        yield from _check_unique(model, "adapters", "name", path)


def _check_unique_digests(data: dict[str, Any]) -> Iterator[CheckFault]:
    seen: dict[str, NodePath] = {}
    for path, customer in _list_items(data, "customers", ()):
        digests = customer.get("key_digests")
        if not isinstance(digests, list):
            continue
        for index, digest in enumerate(digests):
            digest_path = (*path, "key_digests", index)
            if not isinstance(digest, str):
                continue
            if digest in seen:
                message = f"has the same value as {format_path(seen[digest])}"
                yield CheckFault(path=digest_path, message=message)
            seen.setdefault(digest, digest_path)


def _check_deadlines(data: dict[str, Any]) -> Iterator[CheckFault]:
    deadlines = data.get("deadlines")
    if not isinstance(deadlines, dict):
        return
    default = deadlines.get("default")
    longest = deadlines.get("longest")
    if _is_number(default) and _is_number(longest) and default > longest:
        path = ("deadlines", "default")
        yield CheckFault(path=path, message="must not exceed deadlines.longest")


def _check_weight_sum(data: dict[str, Any]) -> Iterator[CheckFault]:
    tiers = data.get("tiers")
    weights = tiers.get("weights") if isinstance(tiers, dict) else None
    if not isinstance(weights, dict):
        return
    names = ("first_token", "recomputed", "link_use")
    values = [weights[name] for name in names if _is_number(weights.get(name))]
    if len(values) < len(names):
        return
    # Written with "not", so that NaN is rejected as well.
    if not abs(sum(values) - 1.0) <= WEIGHT_SUM_TOLERANCE:
        yield CheckFault(path=("tiers", "weights"), message="the weights must sum to 1")


def _list_items(
    data: Any, name: str, parent: NodePath
) -> Iterator[tuple[NodePath, dict[str, Any]]]:
    items = data.get(name)
    if not isinstance(items, list):
        return
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield (*parent, name, index), item


def _is_number(value: object) -> TypeGuard[int | float]:
    return isinstance(value, int | float) and not isinstance(value, bool)


def format_path(path: NodePath) -> str:
    """Format a path as text, such as ``customers[2].share``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text
