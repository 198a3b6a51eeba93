"""HTTP client for a model engine."""

from __future__ import annotations

from collections.abc import AsyncIterator
import json

import httpx

from gypsumsail.core.errors import TransportError
from gypsumsail.targets.errors import OldFenceError
from gypsumsail.targets.port import (
    AnswerEnd,
    AnswerToken,
    CacheEvent,
    CacheEvents,
    EngineRequest,
    EngineState,
    ExportBlocks,
    ExportResult,
    LoadedModel,
    LoadReport,
    SetState,
)
from gypsumsail.targets.stream import EngineStreams
from gypsumsail.targets.wire import (
    CacheEventsBody,
    ExportBody,
    LoadBody,
    LoadedModelBody,
    OutdatedFencingTokenBody,
    StateBody,
)
from gypsumsail.transport.client import (
    HttpClient,
    HttpResponse,
    parse,
    raise_for_status,
)
from gypsumsail.transport.const import (
    CALL_TIMEOUT_SECONDS,
    EVENT_POLL_MARGIN_SECONDS,
    EXPORT_TIMEOUT_SECONDS,
)
from gypsumsail.transport.polling import PollingClient


class HttpEngineClient:
    """HTTP client for one model engine; implements the ``EngineClient`` protocol."""

    def __init__(self, base_url: str, *, timeout: float = CALL_TIMEOUT_SECONDS):
        self.client = HttpClient(base_url, send_limit_seconds=timeout)
        self.polling_client = PollingClient(base_url)
        self.streams = EngineStreams(base_url)
        self.timeout = timeout

    async def async_close(self) -> None:
        """Close all connections but those of active streams and polls."""
        await self.streams.async_close()
        await self.polling_client.async_close()
        await self.client.async_close()

    def stream(
        self, request: EngineRequest
    ) -> AsyncIterator[tuple[AnswerToken | AnswerEnd, ...]]:
        """Send a request; yield the validated parts of the answer in batches."""
        return self.streams.stream(request)

    async def async_cancel(self, attempt_id: str) -> None:
        """Cancel an attempt."""
        await self._async_post("/v1/cancel", {"request_id": attempt_id})

    async def async_load(self) -> LoadReport:
        """Return the load report, whose ``age`` says how old it is."""
        body = parse(LoadBody, await self._async_get("/load"))
        return LoadReport(
            incarnation=body.incarnation,
            running=body.running,
            waiting=body.waiting,
            queued_prompt_tokens=body.queued_prompt_tokens,
            cache_used=body.cache_used,
            cache_limit=body.cache_limit,
            age=body.age,
        )

    async def async_cache_events(self, *, after: int, wait: float) -> CacheEvents:
        """Return the cache events after a sequence number.

        Waits up to ``wait`` seconds for new events.
        """
        answer = await self._async_get(
            "/cache/events",
            {"after": str(after), "wait": str(wait)},
            timeout=wait + EVENT_POLL_MARGIN_SECONDS,
        )
        return _cache_events(answer)

    async def async_cache_contents(self) -> CacheEvents:
        """Return all cached hashes as one stored event, for a full resync."""
        return _cache_events(await self._async_get("/cache/contents"))

    async def async_state(self) -> EngineState:
        """Return the role and the loaded models of the engine."""
        return _state(await self._async_get("/state"))

    async def async_set_state(self, order: SetState) -> EngineState:
        """Send the desired state; a later ``async_state`` shows when it is reached.

        Raises
        ------
        OldFenceError
            The engine has seen a higher fencing token and ignored the command.
        """
        models = [
            {
                "model": model.model,
                "weight_version": model.weight_version,
                "adapters": list(model.adapters),
            }
            for model in order.models
        ]
        values = {"fence": order.fence, "role": order.role.value, "models": models}
        answer = await self.client.async_call(
            "POST", "/state", body=json.dumps(values).encode(), timeout=self.timeout
        )
        if answer.status == httpx.codes.CONFLICT:
            highest = parse(OutdatedFencingTokenBody, answer).highest_fence
            raise OldFenceError(
                f"fencing token {order.fence} is outdated", highest_fence=highest
            )
        raise_for_status(answer, "/state")
        return _state(answer)

    async def async_export(self, order: ExportBlocks) -> ExportResult:
        """Export cached blocks to a store."""
        values = {
            "cache_salt": order.cache_salt,
            "weight_version": order.weight_version,
            "hashes": list(order.block_hashes),
            "generation": order.generation,
            "store_url": order.store_url,
            "tier": order.tier,
        }
        answer = await self._async_post(
            "/cache/export", values, timeout=EXPORT_TIMEOUT_SECONDS
        )
        body = parse(ExportBody, answer)
        if not set(body.stored) <= set(order.block_hashes):
            raise TransportError(
                "export: engine reported hashes that were not requested", sent=True
            )
        return ExportResult(stored=body.stored, bytes_sent=body.bytes_sent)

    async def _async_get(
        self,
        path: str,
        query: dict[str, str] | None = None,
        *,
        timeout: float | None = None,
    ) -> HttpResponse:
        answer = await self.polling_client.async_get(
            path, query=query, timeout=timeout or self.timeout
        )
        raise_for_status(answer, path)
        return answer

    async def _async_post(
        self, path: str, values: object, *, timeout: float | None = None
    ) -> HttpResponse:
        answer = await self.client.async_call(
            "POST",
            path,
            body=json.dumps(values).encode(),
            timeout=timeout or self.timeout,
        )
        raise_for_status(answer, path)
        return answer


def _cache_events(answer: HttpResponse) -> CacheEvents:
    body = parse(CacheEventsBody, answer)
    events = tuple(
        CacheEvent(sequence=event.sequence, kind=event.kind, block_hashes=event.hashes)
        for event in body.events
    )
    return CacheEvents(
        incarnation=body.incarnation, events=events, last_sequence=body.next
    )


def _state(answer: HttpResponse) -> EngineState:
    body = parse(StateBody, answer)
    return EngineState(
        incarnation=body.incarnation,
        role=body.role,
        models=_models(body.models),
        loading=_models(body.loading),
        highest_fence=body.highest_fence,
    )


def _models(bodies: tuple[LoadedModelBody, ...]) -> tuple[LoadedModel, ...]:
    return tuple(
        LoadedModel(
            model=body.model,
            weight_version=body.weight_version,
            adapters=body.adapters,
        )
        for body in bodies
    )
