"""Routing policies and their names in the settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.routing.const import DEFAULT_POLICY


@dataclass(frozen=True, slots=True, kw_only=True)
class ExpectedFirstToken:
    """Minimize the weighted time to first token, recomputation and link use."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundRobin:
    """Select the engines in turn.

    If ``use_store`` is set, the engine imports the longest stored prefix, as far as the
    link budget allows.
    """

    use_store: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LeastLoaded:
    """Select the engine with the fewest requests."""

    use_store: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StickyByCustomer:
    """Select the engine to which the customer's name hashes."""

    use_store: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PrefixAffinity:
    """Select the engine with the longest cached prefix; import no stored blocks."""


Policy = (
    ExpectedFirstToken | RoundRobin | LeastLoaded | StickyByCustomer | PrefixAffinity
)

POLICIES: Final[dict[str, Policy]] = {
    DEFAULT_POLICY: ExpectedFirstToken(),
    "round-robin": RoundRobin(),
    "round-robin-store": RoundRobin(use_store=True),
    "least-loaded": LeastLoaded(),
    "least-loaded-store": LeastLoaded(use_store=True),
    "sticky-by-customer": StickyByCustomer(),
    "sticky-by-customer-store": StickyByCustomer(use_store=True),
    "prefix-affinity": PrefixAffinity(),
}
