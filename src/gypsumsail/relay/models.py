"""Attempts at a job, how they fail and what comes next."""

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
    """What the choice of a target must keep to.

    Attributes
    ----------
    excluded
        Targets that failed this job.
    only
        The one target allowed; empty for any.
    weight_version
        The one version allowed, once tokens of it are out; empty for any.
    isolated
        Whether the job is a suspect and needs the idlest target.
    """

    excluded: frozenset[str] = frozenset()
    only: str = ""
    weight_version: str = ""
    isolated: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Selection:
    """The target of one attempt.

    Attributes
    ----------
    incarnation
        The target's incarnation as last read from itself, which is newer than
        the platform's list.
    """

    vm: VmRecord
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSelection(Selection):
    """The engine of one attempt and what was expected of it.

    Attributes
    ----------
    tokens_ahead
        Prompt tokens that were believed to be computed before.
    """

    blocks: PromptBlocks
    kept: StoredBlocks | None
    expected: Expectation
    tokens_ahead: float


class FailureKind(StrEnum):
    """What is known of a failed attempt."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    LOST = "lost"
    CRASHED = "crashed"


class AttemptFailedError(GypsumsailError):
    """An attempt ended without the whole answer."""

    code = "attempt_failed"

    def __init__(self, message: str, *, kind: FailureKind) -> None:
        super().__init__(message)
        self.kind = kind


@dataclass(slots=True, kw_only=True)
class Progress:
    """How far a job has come over all its attempts.

    Attributes
    ----------
    end
        End of the whole answer of a model job.
    first_token_at
        Monotonic time at which the first token was sent to the caller.
    tokens_out
        Answer tokens that the caller was sent.
    weight_version
        Version that computed them; empty while there are none.
    excluded
        Targets that the job may not go to again.
    lost_on, avoided
        Targets that lost an attempt, and those that lost several: the job goes
        to these only when there is no other.
    """

    attempts: int = 0
    end: AnswerEnd | None = None
    first_token_at: float | None = None
    tokens_out: int = 0
    weight_version: str = ""
    run_state: RunState = RunState.NOT_RUN
    excluded: frozenset[str] = frozenset()
    lost_on: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()

    def note_loss(self, target: str) -> None:
        """Count an attempt that a target lost."""
        if target in self.lost_on:
            self.avoided |= {target}
        self.lost_on |= {target}


@dataclass(frozen=True, slots=True, kw_only=True)
class TryAgain:
    """Another attempt may be made."""

    excluded: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """The job ends with an error."""

    error: RequestError


NextStep: TypeAlias = TryAgain | GiveUp
