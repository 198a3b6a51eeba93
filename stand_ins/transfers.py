"""Transfers of an engine: blocks to and from stores, and weights."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Final

import httpx
import xxhash

from stand_ins.content import BLOCK_TOKENS, KV_BYTES_PER_TOKEN
from stand_ins.weights import LoadedModel

MAX_PARALLEL_TRANSFERS: Final = 8
BLOCK_TRANSFER_BYTES: Final = BLOCK_TOKENS * KV_BYTES_PER_TOKEN
BLOCK_TRANSFER_TIMEOUT_SECONDS: Final = 60.0
WEIGHT_LOAD_TIMEOUT_SECONDS: Final = 600.0


class Transfers:
    """HTTP client of an engine for stores and the platform.

    Attributes
    ----------
    slots
        Semaphore that limits the number of parallel transfers.
    """

    def __init__(self, *, platform_url: str, weight_bytes: int) -> None:
        self.platform_url = platform_url
        self.weight_bytes = weight_bytes
        self.client = httpx.AsyncClient(trust_env=False)
        self.slots = asyncio.Semaphore(MAX_PARALLEL_TRANSFERS)

    async def close(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def import_blocks(
        self, store_url: str, names: list[str], *, timeout: float
    ) -> list[bytes]:
        """Return the values of the blocks before the first that fails or is late.

        Parameters
        ----------
        timeout
            Seconds after which the remaining transfers are cancelled.
        """
        tasks = [asyncio.create_task(self.read(store_url, name)) for name in names]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout)
        values: list[bytes] = []
        for task in tasks:
            if not task.done() or task.exception() is not None:
                break
            values.append(task.result())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return values

    async def read(self, store_url: str, name: str) -> bytes:
        """Read one block; its checksum is not verified."""
        async with self.slots:
            url = f"{store_url}/blocks/{name}"
            response = await self.client.get(
                url, timeout=BLOCK_TRANSFER_TIMEOUT_SECONDS
            )
            response.raise_for_status()
            return response.content

    async def export_blocks(
        self,
        store_url: str,
        tier: str,
        generation: str,
        blocks: Iterable[tuple[str, bytes]],
    ) -> list[str]:
        """Write blocks; return the hashes of those that the store confirmed."""
        outcomes = await asyncio.gather(
            *(
                self.write(store_url, tier, f"{block_hash}.{generation}", value)
                for block_hash, value in blocks
            )
        )
        return [name.rpartition(".")[0] for name in outcomes if name]

    async def write(self, store_url: str, tier: str, name: str, value: bytes) -> str:
        """Write one block; return its name, or an empty string on an error."""
        async with self.slots:
            try:
                response = await self.client.put(
                    f"{store_url}/blocks/{name}",
                    params={"tier": tier, "size": str(BLOCK_TRANSFER_BYTES)},
                    headers={"X-Checksum": xxhash.xxh3_64_hexdigest(value)},
                    content=value,
                    timeout=BLOCK_TRANSFER_TIMEOUT_SECONDS,
                )
            except httpx.HTTPError:
                return ""
        return name if response.status_code == httpx.codes.CREATED else ""

    async def fetch_weights(self, model: LoadedModel) -> None:
        """Simulate the loading of a model version; retry every 0.2 s on errors."""
        if not self.platform_url:
            return
        url = f"{self.platform_url}/weights/{model.model}/{model.weight_version}"
        while True:
            try:
                response = await self.client.post(
                    url,
                    params={"bytes": str(self.weight_bytes)},
                    timeout=WEIGHT_LOAD_TIMEOUT_SECONDS,
                )
                if response.is_success:
                    return
            except httpx.HTTPError:
                pass
            await asyncio.sleep(0.2)
