"""Attempts of a job, their failures and the decision on a retry."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from gypsumsail.context.prompt import PromptBlocks
from gypsumsail.core.errors import GypsumsailError, RequestError, RunState
from gypsumsail.object_api.port import VmRecord
from gypsumsail.routing.models import Expectation
from gypsumsail.targets.port import AnswerEnd, StoredBlocks


@dataclass(frozen=True, slots=True, kw_only=True)
class Constraints:
    """Restrictions on the selection of a target.

    Attributes
    ----------
    excluded
        Targets that must not be selected: they failed this job, are avoided (see
        `Progress`), or have no free suspect slot.
    required_target
        The only target that may be selected; empty for any.
    weight_version
        The only weight version that may be selected, because earlier tokens of the
        answer were computed with it; empty for any.
    isolated
        Whether the job is suspected of having crashed a target and must be the only
        such job on its target; the least loaded target is selected.
    """

    excluded: frozenset[str] = frozenset()
    required_target: str = ""
    weight_version: str = ""
    isolated: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Selection:
    """The target of one attempt.

    Attributes
    ----------
    incarnation
        Incarnation to which the request is sent; it changes when the target's
        process restarts. For an engine, it is the one that the engine last reported,
        and for a plain service, the one in the platform's VM list.
    """

    vm: VmRecord
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSelection(Selection):
    """The engine of one attempt and the estimates for the attempt.

    Attributes
    ----------
    kept
        Blocks that the engine imports from a store; ``None`` if it imports nothing.
    tokens_ahead
        Estimated prompt tokens that the engine computes before this request's.
    """

    blocks: PromptBlocks
    kept: StoredBlocks | None
    expected: Expectation
    tokens_ahead: float


class FailureKind(StrEnum):
    """How an attempt failed.

    - ``NOT_SENT``: no byte of the request left this entry.
    - ``REFUSED``: the target declined the request and did not run it.
    - ``LOST``: the attempt failed after the request was sent; the target may still
      be alive and working on it.
    - ``CRASHED``: as ``LOST``, but the target's process has certainly ended.
    """

    NOT_SENT = "not sent"
    REFUSED = "refused"
    LOST = "lost"
    CRASHED = "crashed"


class AttemptFailedError(GypsumsailError):
    """An attempt ended without a complete answer."""

    code = "attempt_failed"

    def __init__(self, message: str, *, kind: FailureKind) -> None:
        super().__init__(message)
        self.kind = kind


@dataclass(slots=True, kw_only=True)
class Progress:
    """Progress of a job over all its attempts.

    Attributes
    ----------
    end
        End of a model job's complete answer.
    first_token_at
        Monotonic time at which the first token was received from an engine.
    tokens_sent
        Number of answer tokens passed to the sink, which streams or buffers them.
    weight_version
        Weight version that computed these tokens; empty before the first one.
    excluded
        Targets that must not be used for this job again.
    lost_targets, avoided
        Targets whose connection was lost during an attempt, and those that lost
        several attempts. The latter are used only if no other is available.
    """

    attempts: int = 0
    end: AnswerEnd | None = None
    first_token_at: float | None = None
    tokens_sent: int = 0
    weight_version: str = ""
    run_state: RunState = RunState.NOT_RUN
    excluded: frozenset[str] = frozenset()
    lost_targets: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()

    def record_loss(self, target: str) -> None:
        """Record that the connection to a target was lost during an attempt."""
        if target in self.lost_targets:
            self.avoided |= {target}
        self.lost_targets |= {target}


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """The job is retried, but not on the excluded targets."""

    excluded: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """The job fails with an error."""

    error: RequestError


NextStep: TypeAlias = Retry | GiveUp
