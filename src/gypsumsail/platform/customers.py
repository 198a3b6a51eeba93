"""Decodes the customers of a routing document.

A customer whose fields can't be read costs itself alone: the document comes into force
for all others, and with it what isolates them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace
from typing import Any, Final

import msgspec

from gypsumsail.gateway.models import Customer
from gypsumsail.platform.text import NO_REGION, parse_home_regions


class CustomerFields(msgspec.Struct, frozen=True):
    """Fields of a customer, as the operator writes them."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    dedicated: bool = False
    home_regions: Any = None


SAFE_VALUES: Final[dict[str, Any]] = {"priority": None, "dedicated": True}
"""Values that replace unreadable ones: the customer is isolated rather than not."""


def customers_by_key(items: Sequence[CustomerFields]) -> dict[str, Customer]:
    """Return the customers by API key, without those that have no name.

    A key in several entries leads to the customer of the last one.
    """
    found: dict[str, Customer] = {}
    isolated = isolated_customers(items)
    for item in items:
        if not item.name:
            continue
        customer = Customer(
            name=item.name,
            priority=item.priority,
            is_isolated=item.dedicated,
            home_regions=parse_home_regions(item.home_regions),
        )
        for key in item.api_keys:
            earlier = found.get(key)
            if earlier is None or not _is_ambiguous(earlier, item.name, isolated):
                found[key] = customer
            else:
                found[key] = replace(customer, is_ambiguous=True)
    return found


def _is_ambiguous(earlier: Customer, name: str, isolated: frozenset[str]) -> bool:
    """Return whether a key is that of several customers of whom one is isolated."""
    if earlier.is_ambiguous:
        return True
    return earlier.name != name and not isolated.isdisjoint((earlier.name, name))


def isolated_customers(items: Iterable[CustomerFields]) -> frozenset[str]:
    """Return the names of the customers that any entry isolates."""
    return frozenset(item.name for item in items if item.dedicated)


def invalid_fields_of(items: Iterable[CustomerFields]) -> Iterator[str]:
    """Return the missing names of customers, and home regions that can't be read."""
    for index, item in enumerate(items):
        if not item.name:
            yield f"tenants[{index}].name"
        if parse_home_regions(item.home_regions) is NO_REGION:
            yield f"tenants[{item.name}].home_regions"


def repair_customers(entries: Any) -> tuple[str, ...]:
    """Replace in place what can't be read in a decoded list of customers.

    An entry without a readable name is replaced by one that has neither name nor keys.

    Returns
    -------
    tuple
        Fields that were replaced, but for names.
    """
    if not isinstance(entries, list):
        return ()
    invalid: list[str] = []
    for index, entry in enumerate(entries):
        if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
            entries[index] = {"name": ""}
            continue
        for field in _unreadable_fields(entry):
            entry[field] = _safe_value(field, entry[field])
            invalid.append(f"tenants[{entry['name']}].{field}")
    return tuple(invalid)


def _unreadable_fields(entry: dict[str, Any]) -> list[str]:
    return [
        field.name
        for field in msgspec.structs.fields(CustomerFields)
        if field.name in entry and not _is_readable(entry[field.name], field.type)
    ]


def _is_readable(value: Any, kind: Any) -> bool:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return False
    return True


def _safe_value(field: str, value: Any) -> Any:
    """Return the value that replaces an unreadable one; of keys, the readable ones."""
    if field in SAFE_VALUES:
        return SAFE_VALUES[field]
    keys = value if isinstance(value, list) else []
    return [key for key in keys if isinstance(key, str)]
