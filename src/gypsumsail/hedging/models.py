"""Data classes of second sends."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Withheld(StrEnum):
    """Why a slow call gets no second send.

    Attributes
    ----------
    FEW_SAMPLES
        The route has too few recent answers for a threshold.
    VM_HELD_UP
        This VM was held up itself, so that the answer may be unread.
    MAX_TARGETS
        The call may not be sent to another target.
    TIME_LEFT
        Too little time is left.
    SUSPECT
        Targets have crashed while they ran the request, or on a part of its prompt.
    SILENT_TARGET
        The first target seems silent. The call stays there, so that it is overdue and
        the target counts as stalled.
    QUEUE
        Calls wait in the queue.
    RETRY_BUDGET
        The retry budget has no room for a second send.
    SHARE
        The operator's limit is reached.
    NO_HELP
        Second sends of the route do not help at the moment.
    NO_ROOM
        No other target has room.
    """

    FEW_SAMPLES = "few samples"
    VM_HELD_UP = "vm held up"
    MAX_TARGETS = "max targets"
    TIME_LEFT = "time left"
    SUSPECT = "suspect"
    SILENT_TARGET = "silent target"
    QUEUE = "queue"
    RETRY_BUDGET = "retry budget"
    SHARE = "share"
    NO_HELP = "no help"
    NO_ROOM = "no room"


class HedgeEnd(StrEnum):
    """How a second send ended.

    Attributes
    ----------
    WON
        Its answer began first.
    LOST
        The answer of the first send began first.
    FAILED
        It ended without an answer.
    CANCELLED
        The caller left before either answer began.
    """

    WON = "won"
    LOST = "lost"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeFacts:
    """Facts on a slow call that decide whether it gets a second send.

    Attributes
    ----------
    targets_used
        Number of targets to which the call was sent, with the first send.
    queued_calls
        Number of calls of the service that wait on this VM.
    has_budget
        Whether the retry budget has room for a second send.
    is_suspect
        Whether targets have crashed on the request or on a part of its prompt.
    time_left
        Seconds until the caller needs an answer.
    work_seconds
        Seconds that a target is expected to work before the first event or answer.
    """

    targets_used: int
    max_targets: int
    queued_calls: int
    has_budget: bool
    is_suspect: bool
    time_left: float
    work_seconds: float
