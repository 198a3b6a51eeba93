"""What a target says of itself in each of its answers, whatever the answer is."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.cold_targets.models import ColdStatement
from gypsumsail.gateway.call_limit import NO_LIMIT, LimitStatement
from gypsumsail.gateway.target_pause import PauseStatement


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerNotices:
    """Notices of one answer.

    Attributes
    ----------
    limit
        Rate of calls that the target takes from all VMs.
    is_leaving
        Whether the target is about to leave.
    pause
        Pause that it asks this VM for; ``None`` for none.
    cold
        Time for which it stays cold; ``None`` if it states none.
    """

    limit: LimitStatement = NO_LIMIT
    is_leaving: bool = False
    pause: PauseStatement | None = None
    cold: ColdStatement | None = None


NO_NOTICES = AnswerNotices()
