"""Regions to which calls and kept context are confined."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

Homes = frozenset[str] | None
"""Regions to which a call is confined; ``None`` for any, empty for none at all."""


def common_homes(route: frozenset[str], customer: frozenset[str]) -> Homes:
    """Return the homes of a call; if both its route and customer set any, both apply.

    Parameters
    ----------
    route, customer
        Home regions that each sets; empty for any region.
    """
    if route and customer:
        return route & customer
    return route or customer or None


@dataclass(frozen=True, slots=True, kw_only=True)
class Regions:
    """Region of each zone of the deployment.

    A zone that is not listed has no known region, and is no home.

    Attributes
    ----------
    own_zone
        Zone of this VM.
    by_zone
        Regions by zone.
    """

    own_zone: str
    by_zone: Mapping[str, str] = field(default_factory=dict)

    def is_home(self, zone: str, homes: Homes) -> bool:
        """Return whether a call may reach targets and stores in a zone."""
        return homes is None or self.by_zone.get(zone) in homes

    def may_forward(self, zone: str, homes: Homes) -> bool:
        """Return whether this VM may forward a call to a VM in a zone.

        This VM has the call already, so its own region may have it.
        """
        if zone == self.own_zone or self.is_home(zone, homes):
            return True
        region = self.by_zone.get(zone)
        return region is not None and region == self.by_zone.get(self.own_zone)
