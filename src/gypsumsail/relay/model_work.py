"""Runs a model job on engines and forwards the answer tokens."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.entry.answers import AnswerSink
from gypsumsail.entry.models import ModelJob
from gypsumsail.object_api.port import VmRecord
from gypsumsail.relay.models import (
    AttemptFailedError,
    Constraints,
    EngineSelection,
    FailureKind,
    Progress,
)
from gypsumsail.targets.errors import EngineRefusedError
from gypsumsail.targets.port import (
    AnswerEnd,
    AnswerToken,
    EngineClient,
    EngineRequest,
)


class EngineSelector(Protocol):
    """Selects engines and records the outcome of each attempt."""

    async def async_select(
        self, job: ModelJob, constraints: Constraints
    ) -> EngineSelection:
        """Select an engine; raises RequestError if none is available."""

    def on_sent(
        self, job: ModelJob, selection: EngineSelection, attempt_id: str
    ) -> None:
        """Record that a request is about to be sent."""

    def on_first_token(self, selection: EngineSelection, attempt_id: str) -> None:
        """Record that the first token was received."""

    def on_ended(
        self,
        job: ModelJob,
        selection: EngineSelection,
        attempt_id: str,
        end: AnswerEnd | None,
    ) -> None:
        """Record the end of an attempt; ``end`` is ``None`` if it failed."""

    def on_unreachable(self, selection: EngineSelection) -> None:
        """Record that the engine was unreachable or refused the request."""

    def on_connection_lost(self, selection: EngineSelection) -> None:
        """Record that the engine's answer was interrupted."""


class ModelWork:
    """One model job and the progress of its answer."""

    def __init__(
        self,
        job: ModelJob,
        sink: AnswerSink,
        *,
        selector: EngineSelector,
        engine_of: Callable[[VmRecord], EngineClient],
        cancel: Callable[[VmRecord, str], None],
        clock: Clock,
    ) -> None:
        self.job = job
        self.sink = sink
        self.progress = Progress()
        self.selector = selector
        self.engine_of = engine_of
        self.cancel = cancel
        self.clock = clock

    async def async_select(self, constraints: Constraints) -> EngineSelection:
        """Select an engine."""
        return await self.selector.async_select(self.job, constraints)

    async def async_attempt(self, selection: EngineSelection, attempt_id: str) -> None:
        """Stream the remaining answer from one engine to the sink."""
        self.selector.on_sent(self.job, selection, attempt_id)
        end: AnswerEnd | None = None
        try:
            end = await self._async_forward(selection, attempt_id)
        except TransportError as error:
            kind = _failure_kind(error)
            match kind:
                case FailureKind.NOT_SENT | FailureKind.REFUSED:
                    self.selector.on_unreachable(selection)
                case FailureKind.LOST | FailureKind.CRASHED:
                    self.selector.on_connection_lost(selection)
            raise AttemptFailedError(str(error), kind=kind) from error
        finally:
            self.selector.on_ended(self.job, selection, attempt_id, end)
        self.progress.end = end
        await self.sink.async_end(end)

    def cancel_attempt(self, selection: EngineSelection, attempt_id: str) -> None:
        """Cancel the attempt on the engine."""
        self.cancel(selection.vm, attempt_id)

    async def _async_forward(
        self, selection: EngineSelection, attempt_id: str
    ) -> AnswerEnd:
        progress = self.progress
        sink = self.sink
        stream = self.engine_of(selection.vm).stream(
            self._request(selection, attempt_id)
        )
        awaiting_first = True
        async for batch in stream:
            last = batch[-1]
            end = last if isinstance(last, AnswerEnd) else None
            tokens = [item for item in batch if isinstance(item, AnswerToken)]
            if tokens:
                if awaiting_first:
                    self.selector.on_first_token(selection, attempt_id)
                    awaiting_first = False
                    if progress.first_token_at is None:
                        progress.first_token_at = self.clock.monotonic()
                _check_first_index(tokens, progress)
                progress.weight_version = selection.blocks.weight_version
                await sink.async_tokens(tokens)
                progress.tokens_sent += len(tokens)
            if end is not None:
                _check_end(end, selection, progress)
                return end
        raise TransportError("the stream ended without a finish reason", sent=True)

    def _request(self, selection: EngineSelection, attempt_id: str) -> EngineRequest:
        body = self.job.body
        return EngineRequest(
            attempt_id=attempt_id,
            model=body.model,
            adapter=self.job.adapter,
            weight_version=selection.blocks.weight_version,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            cache_salt=selection.blocks.salt,
            priority=self.job.priority,
            deadline=max(self.job.deadline_at - self.clock.monotonic(), 0.0),
            first_token=self.progress.tokens_sent,
            kept=selection.kept,
        )


def _check_first_index(tokens: list[AnswerToken], progress: Progress) -> None:
    if tokens[0].index != progress.tokens_sent:
        raise TransportError("the stream did not start at the next token", sent=True)


def _check_end(end: AnswerEnd, selection: EngineSelection, progress: Progress) -> None:
    if end.weight_version != selection.blocks.weight_version:
        raise TransportError(
            "the answer was computed with another weight version", sent=True
        )
    if end.answer_tokens != progress.tokens_sent:
        raise TransportError(
            "the number of received tokens is not the one that the engine reports",
            sent=True,
        )


def _failure_kind(error: TransportError) -> FailureKind:
    if isinstance(error, EngineRefusedError):
        return FailureKind.REFUSED
    return FailureKind.LOST if error.sent else FailureKind.NOT_SENT
