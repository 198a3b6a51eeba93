"""Scopes of cached prompt parts: engines and stores find a part in its scope only.

A scope contains the version of the weights and either the one customer that uses it or
the customers that it keeps out. Calls of different customers therefore meet in a scope
only if none of them was isolated for any of the calls, whatever documents were in force
from the acceptance of each to its send, and on whatever VM.
"""

from __future__ import annotations

from collections.abc import Collection
from functools import lru_cache
from typing import Final
from urllib.parse import quote

import xxhash

from gypsumsail.core.ids import new_id

UNSHARED_PREFIX: Final = "unshared/"
"""Beginning of scopes that only one send uses; no version begins like this."""
MAX_GROUP_NAMES: Final = 256
"""Sets of isolated customers whose names are kept; calls use one or two at a time."""


def isolated_for_call(
    before: frozenset[str], current: frozenset[str]
) -> frozenset[str]:
    """Return the customers that a call shares nothing with once a document is replaced.

    Documents may be replaced while a call waits or is sent once more. A customer that
    any of them isolates is isolated for the call.

    Parameters
    ----------
    before
        Names of the customers that were isolated for the call until now.
    current
        Names of the customers that the document isolates which comes into force.
    """
    if before <= current:
        return current
    return before | current


def shared_scope(customer: str, version: int, isolated: frozenset[str]) -> str | None:
    """Return the scope in which a call finds cached parts and leaves its own.

    Parameters
    ----------
    customer
        Name of the customer; empty for calls without one.
    version
        Version of the engine's weights; 0 if it is unknown.
    isolated
        Customers that are isolated for the call.

    Returns
    -------
    str or None
        Printable ASCII text; ``None`` if nothing may be shared, as the weights are
        unknown.
    """
    if not version:
        return None
    if customer in isolated:
        return f"{version}/{quote(customer, safe='')}"
    group = sharing_group(isolated)
    return f"{version}//{group}" if group else str(version)


def unshared_scope() -> str:
    """Return a scope that no other send has, nor any caller can know."""
    return UNSHARED_PREFIX + new_id()


def version_of(scope: str) -> int | None:
    """Return the weight version of a scope; ``None`` for one that is not shared."""
    version = scope.partition("/")[0]
    return int(version) if version.isascii() and version.isdigit() else None


@lru_cache(maxsize=MAX_GROUP_NAMES)
def sharing_group(isolated: frozenset[str]) -> str:
    """Return a name of the customers that share parts; empty if all do.

    The length of the digest differs from that of builds which let calls of isolated
    customers into the group, so that nothing they cached is found.
    """
    if not isolated:
        return ""
    return xxhash.xxh3_128_hexdigest(_joined(isolated).encode())


def _joined(names: Collection[str]) -> str:
    """Join names so that different sets give different texts."""
    return "/".join(sorted(quote(name, safe="") for name in names))
