"""Decides what has to be known of the process (life) that runs a call.

An entry of the platform's list may lag behind its target: a target that has restarted
under its name is listed with its former life, and perhaps its former build, for a
while. Whether an answer without a length is complete also depends on the process: it
ends with its connection, as it does when the process is killed.
"""

from __future__ import annotations

import asyncio

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.const import LIFE_CHECK_SECONDS
from gypsumsail.gateway.job import Job
from gypsumsail.gateway.models import CallKind, Service, TargetEntry
from gypsumsail.gateway.port import LifeProof, TargetClient


def life_proof(job: Job, entry: TargetEntry) -> LifeProof:
    """Return what a target must prove before a job is sent to it.

    The build of a stream's target counts only where the stream may be resumed. A target
    that is listed without a life has a name of its own in each life, which every call
    states.
    """
    is_resumable = job.route.kind is CallKind.STREAM and job.route.is_resumable
    if not is_resumable or not entry.life:
        return LifeProof.NONE
    return LifeProof.STATED if job.build is None else LifeProof.SAME


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
