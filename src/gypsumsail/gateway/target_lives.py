"""Decides what has to be known of the process (life) that runs a call.

An entry of the platform's list may lag behind its target: a target that has restarted
under its name is listed with its former life, and perhaps its former build, for a
while. Whether an answer without a length is complete also depends on the process: it
ends with its connection, as it does when the process is killed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.const import LIFE_CHECK_SECONDS
from gypsumsail.gateway.job import Job
from gypsumsail.gateway.models import CallKind, Service, TargetEntry
from gypsumsail.gateway.port import LifeProof

if TYPE_CHECKING:
    from gypsumsail.gateway.coordinator import Gateway


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


async def async_still_runs(gateway: Gateway, job: Job, entry: TargetEntry) -> bool:
    """Return whether a target still runs the life of its entry, by its own word."""
    service = gateway.service(job)
    try:
        async with asyncio.timeout(LIFE_CHECK_SECONDS):
            if service.engine is None:
                await _async_check_plain(gateway, entry, service)
                return True
            life = await gateway.calls.async_life(entry)
    except TimeoutError:
        # The health check of a plain target waits for a slot, as its calls do.
        return service.engine is None
    except TransportError:
        return False
    return not entry.life or life == entry.life


async def _async_check_plain(
    gateway: Gateway, entry: TargetEntry, service: Service
) -> None:
    """Check that a plain target answers; raises ``TransportError``.

    Only its health path is known to run no call. Nothing is sent to a target of an
    evacuated zone; that it accepts a connection must do.
    """
    if service.health_path and not gateway.view.is_evacuated(entry):
        await gateway.calls.async_check_health(entry, service.health_path)
    else:
        await gateway.calls.async_check(entry)
