"""Checks of IP numbers."""

from __future__ import annotations

from ipaddress import ip_address


def is_ip(text: str) -> bool:
    """Return whether a text is the number of a host; names are not looked up."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True
