"""HTTP client of a store VM."""

from __future__ import annotations

import json

from gypsumsail.core.errors import TransportError
from gypsumsail.stores.port import (
    StoreContents,
    StoredBlock,
    StoreLoad,
    Tier,
    TierLoad,
)
from gypsumsail.stores.wire import ContentsBody, HeldBody, StoreLoadBody
from gypsumsail.transport.client import (
    HttpClient,
    HttpResponse,
    parse,
    raise_for_status,
)
from gypsumsail.transport.const import CALL_TIMEOUT_SECONDS
from gypsumsail.transport.polling import PollingClient


class HttpStore:
    """HTTP client of one store VM; implements the protocol ``Store``."""

    def __init__(self, base_url: str, *, timeout: float = CALL_TIMEOUT_SECONDS):
        self.client = HttpClient(base_url, send_limit_seconds=timeout)
        self.polling_client = PollingClient(base_url)
        self.timeout = timeout

    async def async_close(self) -> None:
        """Close all connections."""
        await self.polling_client.async_close()
        await self.client.async_close()

    async def async_load(self) -> StoreLoad:
        """Return the capacity and link use of each tier."""
        body = parse(StoreLoadBody, await self._async_get("/load"))
        tiers = tuple(
            TierLoad(
                tier=tier.tier,
                used=tier.used,
                limit=tier.limit,
                queued_bytes=tier.queued_bytes,
                bytes_per_second=tier.bytes_per_second,
            )
            for tier in body.tiers
        )
        return StoreLoad(
            incarnation=body.incarnation, tiers=tiers, sequence=body.sequence
        )

    async def async_contents(self, *, after: int) -> StoreContents:
        """Return the blocks that were completed after a sequence number."""
        answer = await self._async_get("/contents", {"after": str(after)})
        body = parse(ContentsBody, answer)
        blocks = tuple(
            StoredBlock(name=block.name, tier=block.tier, size=block.size)
            for block in body.blocks
        )
        return StoreContents(
            incarnation=body.incarnation, sequence=body.sequence, blocks=blocks
        )

    async def async_hold(self, names: tuple[str, ...], *, seconds: float) -> set[str]:
        """Protect blocks from being freed; return the names of those that exist."""
        body = {"names": names, "seconds": seconds}
        held = set(parse(HeldBody, await self._async_post("/hold", body)).held)
        if not held <= set(names):
            raise TransportError(
                "hold: the answer contains names that were not requested", sent=True
            )
        return held

    async def async_free(self, names: tuple[str, ...]) -> None:
        """Free blocks; a held block is freed when its last hold ends."""
        await self._async_post("/free", {"names": names})

    async def async_move(self, names: tuple[str, ...], *, tier: Tier) -> None:
        """Move blocks between the tiers of the store."""
        await self._async_post("/move", {"names": names, "tier": tier.value})

    async def _async_get(
        self, path: str, query: dict[str, str] | None = None
    ) -> HttpResponse:
        answer = await self.polling_client.async_get(
            path, query=query, timeout=self.timeout
        )
        raise_for_status(answer, path)
        return answer

    async def _async_post(self, path: str, body: object) -> HttpResponse:
        answer = await self.client.async_call(
            "POST", path, body=json.dumps(body).encode(), timeout=self.timeout
        )
        raise_for_status(answer, path)
        return answer
