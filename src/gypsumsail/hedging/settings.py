"""The operators' limit on second sends, checked before the VM starts."""

from __future__ import annotations

from gypsumsail.core.findings import Finding
from gypsumsail.hedging.const import MAX_SHARE


def check_share(text: str, place: str) -> tuple[float, tuple[Finding, ...]]:
    """Return the largest number of second sends per call, 0 for none, and findings.

    Parameters
    ----------
    place
        Flag and environment variable, for the finding.
    """
    try:
        share = float(text)
    except ValueError:
        share = float("nan")
    if 0.0 <= share <= MAX_SHARE:
        return share, ()
    message = f"must be a number from 0 to {MAX_SHARE}"
    return 0.0, (Finding(place=place, message=message),)
