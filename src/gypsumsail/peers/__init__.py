"""Authenticated websocket links between entries.

An entry is a VM of the gateway that accepts requests of callers.
"""

from __future__ import annotations
