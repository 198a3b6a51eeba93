"""Checks from the side of a target that VMs heed the pauses that it asks for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.const import MAX_CALLS_IN_PAUSE, PAUSE_NOTICE_SECONDS

if TYPE_CHECKING:
    from soak.run import Soak
    from stand_ins.v1_platform import PauseAnswer, Target


def pause_seconds(text: str) -> float:
    """Return the seconds of a valid ``Retry-After``; 0 for others."""
    try:
        return max(float(text), 0.0)
    except ValueError:
        return 0.0


def pause_finding(soak: Soak, target: Target, pause: PauseAnswer) -> str:
    """Return how a VM did not heed a pause; empty if it did or is excused.

    A proxy hides the VM from the target, so it is known by the id of the request.
    """
    vm = soak.vm_by_request_id.get(pause.request_id, "")
    start = pause.at + PAUSE_NOTICE_SECONDS
    end = pause.at + pause_seconds(pause.text)
    calls = sum(
        start < at < end and soak.vm_by_request_id.get(request_id) == vm
        for at, request_id in zip(target.arrivals, target.arrived_ids, strict=True)
    )
    if calls <= MAX_CALLS_IN_PAUSE or soak.is_disturbed(vm, target.name, pause.at, end):
        return ""
    return f"{target.name} got {calls} calls from {vm} in its pause of {pause.text} s"
