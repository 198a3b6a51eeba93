"""Interface to the directory of cached and stored KV blocks of prompt prefixes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from gypsumsail.context.prompt import PromptBlocks, make_prompt_blocks
from gypsumsail.entry.models import ModelJob
from gypsumsail.relay.models import EngineSelection
from gypsumsail.routing.models import ImportablePrefix
from gypsumsail.targets.port import AnswerEnd


@dataclass(frozen=True, slots=True, kw_only=True)
class BlockLocations:
    """Engines and stores that are believed to hold blocks of a prompt.

    Attributes
    ----------
    cached_blocks
        Number of leading blocks in each engine's cache, by target.
    kept
        Stored prefixes: leading blocks of the prompt that can be imported from each
        store.
    """

    cached_blocks: dict[str, int] = field(default_factory=dict)
    kept: tuple[ImportablePrefix, ...] = ()


class ContextView(Protocol):
    """The directory of cached and stored KV blocks of prompt prefixes."""

    async def async_lookup(self, blocks: PromptBlocks) -> BlockLocations:
        """Return the known locations; empty if no entry answers in time."""

    async def async_hold(
        self, selection: EngineSelection, deadline: float
    ) -> EngineSelection:
        """Pin the blocks that the engine will import.

        Their store does not evict them for ``deadline`` seconds, the time left for
        the job; an implementation may limit this duration. Returns the selection with
        the blocks that could be pinned.
        """

    def on_first_token(self, selection: EngineSelection) -> None:
        """Record that an engine has computed the prompt."""

    def on_ended(
        self, job: ModelJob, selection: EngineSelection, end: AnswerEnd
    ) -> None:
        """Record that an engine completed the answer to the prompt."""


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
