"""View of cached prompts for the engine selection of an entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from gypsumsail.context.const import TOKENS_PER_BLOCK
from gypsumsail.context.coordinator import ContextCoordinator
from gypsumsail.context.port import TargetSource
from gypsumsail.context.prompt import PromptBlocks
from gypsumsail.entry.context_view import BlockLocations
from gypsumsail.entry.models import ModelJob
from gypsumsail.relay.models import EngineSelection
from gypsumsail.routing.models import Expectation
from gypsumsail.targets.port import AnswerEnd
from gypsumsail.tiers.coordinator import AnsweredPrompt, TierCoordinator


class TierContextView:
    """Implements ``ContextView`` with the directory, the engine caches and the stores.

    Parameters
    ----------
    prefill_rate
        Returns the estimated prefill speed of a target, in tokens per second.
    """

    def __init__(
        self,
        context: ContextCoordinator,
        tiers: TierCoordinator,
        source: TargetSource,
        *,
        prefill_rate: Callable[[str], float],
    ) -> None:
        self.context = context
        self.tiers = tiers
        self.source = source
        self.prefill_rate = prefill_rate

    async def async_lookup(self, blocks: PromptBlocks) -> BlockLocations:
        """Return the cached blocks by engine and the stored prefixes of a prompt."""
        lookup = await self.tiers.async_lookup(blocks)
        cached = {
            handle.target: self.context.cached_blocks(
                handle.target, blocks.hashes, lookup
            )
            for handle in self.source.engines()
            if handle.service == blocks.service
        }
        return BlockLocations(
            cached_blocks=cached, kept=self.tiers.importable_prefixes(blocks, lookup)
        )

    async def async_hold(
        self, selection: EngineSelection, deadline: float
    ) -> EngineSelection:
        """Hold the blocks to import; return the selection with the held blocks.

        To be called after the engine is selected and before the request is sent.
        The ``deadline`` is the time left for the request, in seconds.
        """
        if selection.kept is None:
            return selection
        expected = selection.expected
        cached = (
            len(selection.kept.names) - expected.imported_tokens // TOKENS_PER_BLOCK
        )
        held = await self.tiers.async_hold(
            selection.blocks, selection.kept, cached_blocks=cached, deadline=deadline
        )
        left = len(held.names) - cached if held is not None else 0
        return replace(selection, kept=held, expected=_with_imported(expected, left))

    def on_first_token(self, selection: EngineSelection) -> None:
        """Record that an engine has computed the prompt and started to answer.

        Requests with the same prompt that arrive before the answer ends can then be
        routed to this engine.
        """
        if selection.blocks.hashes:
            self.context.on_computed(selection.blocks.hashes, selection.vm.vm_id)

    def on_ended(
        self, job: ModelJob, selection: EngineSelection, end: AnswerEnd
    ) -> None:
        """Record that an engine has completed the answer to a prompt."""
        target = selection.vm.vm_id
        self.tiers.on_answer_ended(
            AnsweredPrompt(
                request_id=job.request_id,
                blocks=selection.blocks,
                target=target,
                kept=selection.kept,
                end=end,
                prefill_tokens_per_second=self.prefill_rate(target),
            )
        )


def _with_imported(expected: Expectation, blocks: int) -> Expectation:
    """Return the expectation adjusted to the number of imported blocks."""
    imported = blocks * TOKENS_PER_BLOCK
    lost = expected.imported_tokens - imported
    if lost <= 0:
        return expected
    share = imported / expected.imported_tokens
    return replace(
        expected,
        computed_tokens=expected.computed_tokens + lost,
        imported_tokens=imported,
        link_bytes=int(expected.link_bytes * share),
    )
