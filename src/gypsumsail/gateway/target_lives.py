"""Finds out whether the process (life) that answered a call still runs.

An answer without a length ends with its connection, as it does when the process is
killed.
"""

from __future__ import annotations

import asyncio

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.const import LIFE_CHECK_SECONDS
from gypsumsail.gateway.models import Service, TargetEntry
from gypsumsail.gateway.port import TargetClient


async def async_still_runs(
    calls: TargetClient, entry: TargetEntry, service: Service
) -> bool:
    """Return whether a target still runs the life of its entry, by its own word.

    A plain target that accepts a connection and stays silent counts as running: the
    check waits for a slot there, as calls do.
    """
    is_plain = service.engine is None
    try:
        async with asyncio.timeout(LIFE_CHECK_SECONDS):
            life = await calls.async_life(
                entry, service.health_path if is_plain else ""
            )
    except TimeoutError:
        return is_plain
    except TransportError:
        return False
    return is_plain or not entry.life or life == entry.life
