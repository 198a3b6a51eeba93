"""What an entry asks of the directory of kept context."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from gypsumsail.context.prompt import PromptBlocks, make_prompt_blocks
from gypsumsail.entry.models import ModelJob
from gypsumsail.relay.models import EngineSelection
from gypsumsail.routing.models import KeptPrefix
from gypsumsail.targets.port import AnswerEnd


@dataclass(frozen=True, slots=True, kw_only=True)
class BlockLocations:
    """Where blocks of a prompt are believed to be.

    Attributes
    ----------
    cached_blocks
        Blocks from the start in each engine's cache, by target.
    kept
        What stores hold, for each store.
    """

    cached_blocks: dict[str, int] = field(default_factory=dict)
    kept: tuple[KeptPrefix, ...] = ()


class ContextView(Protocol):
    """The directory of kept context."""

    async def async_lookup(self, blocks: PromptBlocks) -> BlockLocations:
        """Return what is known; empty when nobody answers in time."""

    async def async_hold(
        self, selection: EngineSelection, deadline: float
    ) -> EngineSelection:
        """Hold what the selection imports; return it with what is really held."""

    def on_first_token(self, selection: EngineSelection) -> None:
        """Note that an engine has computed a prompt."""

    def on_ended(
        self, job: ModelJob, selection: EngineSelection, end: AnswerEnd
    ) -> None:
        """Note that an engine computed a whole answer on the blocks."""


def blocks_of(job: ModelJob, weight_version: str) -> PromptBlocks:
    """Return the blocks of a job's prompt under a weight version."""
    return make_prompt_blocks(
        job.body.prompt,
        service=job.route_match.service,
        customer=job.route_match.customer.name,
        model=job.body.model,
        adapter=job.adapter,
        weight_version=weight_version,
    )
