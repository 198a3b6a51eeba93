"""The operators' limit on second sends, validated before the VM starts."""

from __future__ import annotations

from gypsumsail.core.findings import Finding, SettingsInvalidError
from gypsumsail.hedging.const import MAX_SHARE


def parse_share(text: str, place: str) -> float:
    """Return the largest number of second sends per call; 0 if there are none.

    Parameters
    ----------
    place
        Flag and environment variable, for the finding.

    Raises
    ------
    SettingsInvalidError
        The value is not a number from 0 to ``MAX_SHARE``.
    """
    try:
        share = float(text)
    except ValueError:
        share = float("nan")
    if not 0.0 <= share <= MAX_SHARE:
        message = f"must be a number from 0 to {MAX_SHARE}"
        raise SettingsInvalidError([Finding(place=place, message=message)])
    return share
