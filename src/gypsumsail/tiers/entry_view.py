"""Kept context as an entry's choice of engines sees it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from gypsumsail.context.const import TOKENS_PER_BLOCK
from gypsumsail.context.coordinator import ContextCoordinator
from gypsumsail.context.port import TargetSource
from gypsumsail.context.prompt import PromptBlocks
from gypsumsail.entry.context_view import KeptView
from gypsumsail.entry.models import ModelJob
from gypsumsail.relay.models import EngineSelection
from gypsumsail.routing.models import Expectation
from gypsumsail.targets.port import AnswerEnd
from gypsumsail.tiers.coordinator import AnsweredPrompt, TierCoordinator


class TierContextView:
    """Directory, engine views and stores; implements the port ``ContextView``.

    Parameters
    ----------
    prefill_rate
        Returns the learnt prompt tokens a second of a target.
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

    async def async_lookup(self, blocks: PromptBlocks) -> KeptView:
        """Return what is known; empty when nobody answers in time."""
        lookup = await self.tiers.async_lookup(blocks)
        cached = {
            link.target: self.context.cached_blocks(link.target, blocks.hashes, lookup)
            for link in self.source.engines()
            if link.service == blocks.service
        }
        return KeptView(
            cached_blocks=cached, kept=self.tiers.importable_prefixes(blocks, lookup)
        )

    async def async_hold(
        self, selection: EngineSelection, deadline: float
    ) -> EngineSelection:
        """Hold what the selection imports; return it with what is really held.

        To be called between the choice and the sending; ``deadline`` is in
        seconds from now.
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
        """Note that an engine has computed the prompt and now answers it.

        Callers who return while the first answer still runs are so sent to the
        engine that has the prompt.
        """
        if selection.blocks.hashes:
            self.context.on_computed(selection.blocks.hashes, selection.vm.vm_id)

    def on_ended(
        self, job: ModelJob, selection: EngineSelection, end: AnswerEnd
    ) -> None:
        """Note that an engine computed a whole answer on the blocks."""
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
    """Return the expectation when fewer blocks are imported than planned."""
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
