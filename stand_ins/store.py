"""Stand-in of a store VM for KV cache blocks, with a memory tier and a disk tier."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any
import uuid

import click
import xxhash

from stand_ins.asgi import App, HttpError, Request, Response, json_response
from stand_ins.faults import Faults
from stand_ins.rates import Link
from stand_ins.serving import serve


@dataclass(slots=True, kw_only=True)
class Block:
    """One completely written block.

    Attributes
    ----------
    size
        Simulated size in bytes, which counts against the tier's limit.
    sequence
        Sequence number of the write or of the last move.
    held_until
        Event loop time in seconds at which the last hold ends.
    freed
        Whether the block is removed when its last hold ends.
    """

    body: bytes
    checksum: str
    tier: str
    size: int
    sequence: int
    held_until: float = 0.0
    freed: bool = False


@dataclass(slots=True, kw_only=True)
class TierState:
    """Capacity and link of a tier; ``limit`` and ``used`` are in bytes."""

    limit: int
    link: Link
    used: int = 0


class BlockStore:
    """State of the store and the handlers of its HTTP API.

    Attributes
    ----------
    used_names
        All block names that were ever written; none can be written again.
    """

    def __init__(self, tiers: dict[str, TierState]) -> None:
        self.faults = Faults()
        self.tiers = tiers
        self.blocks: dict[str, Block] = {}
        self.used_names: set[str] = set()
        self.sequence = 0
        self.incarnation = uuid.uuid4().hex
        self.counts = {"written": 0, "read": 0, "missing": 0, "refused": 0}

    def counters(self) -> dict[str, Any]:
        """Return the counters that ``GET /control`` lists."""
        moved = {name: tier.link.bytes_moved for name, tier in self.tiers.items()}
        return {**self.counts, "blocks": len(self.blocks), "bytes_moved": moved}

    def app(self) -> App:
        """Return the ASGI application with all routes."""
        app = App(self.faults, self.counters)
        app.add("PUT", "/blocks/{name}", self.put_block)
        app.add("GET", "/blocks/{name}", self.get_block)
        app.add("GET", "/load", self.load)
        app.add("GET", "/contents", self.contents)
        app.add("POST", "/hold", self.hold)
        app.add("POST", "/free", self.free)
        app.add("POST", "/move", self.move)
        return app

    def remove_freed_blocks(self) -> None:
        """Remove the freed blocks whose last hold has ended."""
        now = asyncio.get_running_loop().time()
        for name, block in list(self.blocks.items()):
            if block.freed and block.held_until <= now:
                self.tiers[block.tier].used -= block.size
                del self.blocks[name]

    def factor(self) -> float:
        """Return the factor on the bandwidth of the links."""
        return float(self.faults.value("link_factor", "factor", 1.0))

    def tier(self, name: str) -> TierState:
        """Return a tier by its name.

        Raises
        ------
        HttpError
            No such tier exists (status 400).
        """
        if name not in self.tiers:
            raise HttpError(400, {"error": "tier"})
        return self.tiers[name]

    async def put_block(self, request: Request) -> Response:
        """Store one block after its transfer time, unless the request is invalid."""
        self.remove_freed_blocks()
        name, tier_name = request.path_values["name"], request.query.get("tier", "")
        tier, size = self.tier(tier_name), int(request.query.get("size", "0"))
        checksum = request.headers.get("x-checksum", "")
        if name in self.used_names:
            raise HttpError(409, {"error": "name"})
        if xxhash.xxh3_64_hexdigest(request.body) != checksum:
            raise HttpError(422, {"error": "checksum"})
        if self.faults.on("full") or tier.used + size > tier.limit:
            self.counts["refused"] += 1
            raise HttpError(507, {"error": "full"})
        self.used_names.add(name)
        tier.used += size
        await tier.link.transfer(size, self.factor())
        self.sequence += 1
        self.counts["written"] += 1
        self.blocks[name] = Block(
            body=request.body,
            checksum=checksum,
            tier=tier_name,
            size=size,
            sequence=self.sequence,
        )
        return json_response({}, status=201)

    async def get_block(self, request: Request) -> Response:
        """Return one block after its transfer time."""
        self.remove_freed_blocks()
        name = request.path_values["name"]
        block = self.blocks.get(name)
        if block is not None:
            await self.tiers[block.tier].link.transfer(block.size, self.factor())
            self.remove_freed_blocks()
        if block is None or name not in self.blocks:
            self.counts["missing"] += 1
            raise HttpError(404, {"error": "name"})
        self.counts["read"] += 1
        return Response(
            body=block.body,
            content_type="application/octet-stream",
            headers={"x-checksum": block.checksum},
        )

    async def load(self, request: Request) -> Response:
        """Return the use of the capacity and of the link for each tier."""
        self.remove_freed_blocks()
        now, factor = asyncio.get_running_loop().time(), self.factor()
        tiers = [
            {
                "tier": name,
                "used": tier.limit if self.faults.on("full") else tier.used,
                "limit": tier.limit,
                "queued_bytes": tier.link.queued_bytes(now, factor),
                "bytes_per_second": tier.link.bytes_per_second * factor,
            }
            for name, tier in self.tiers.items()
        ]
        return self.versioned_response({"tiers": tiers})

    async def contents(self, request: Request) -> Response:
        """Return the blocks that were written or moved after a sequence number."""
        self.remove_freed_blocks()
        after = int(request.query.get("after", "0"))
        blocks = [
            {"name": name, "tier": block.tier, "size": block.size}
            for name, block in self.blocks.items()
            if block.sequence > after and not block.freed
        ]
        return self.versioned_response({"blocks": blocks})

    def versioned_response(self, values: dict[str, Any]) -> Response:
        """Return a response with values and the store's incarnation and sequence."""
        base = {"incarnation": self.incarnation, "sequence": self.sequence}
        return json_response(base | values)

    async def hold(self, request: Request) -> Response:
        """Protect blocks from removal for some seconds; return their names."""
        self.remove_freed_blocks()
        order = request.json()
        until = asyncio.get_running_loop().time() + float(order["seconds"])
        held = []
        for name in order["names"]:
            block = self.blocks.get(name)
            if block is None or block.freed:
                continue
            block.held_until = max(block.held_until, until)
            held.append(name)
        return json_response({"held": held})

    async def free(self, request: Request) -> Response:
        """Mark blocks as freed; held ones are removed when their hold ends."""
        for name in request.json()["names"]:
            if name in self.blocks:
                self.blocks[name].freed = True
        self.remove_freed_blocks()
        return json_response({})

    async def move(self, request: Request) -> Response:
        """Move blocks to a tier; blocks that do not fit into it stay where they are."""
        self.remove_freed_blocks()
        order = request.json()
        target = self.tier(order["tier"])
        for name in order["names"]:
            block = self.blocks.get(name)
            if block is None or block.freed or block.tier == order["tier"]:
                continue
            if target.used + block.size > target.limit:
                continue
            await self.move_block(block, order["tier"])
        return json_response({})

    async def move_block(self, block: Block, tier_name: str) -> None:
        """Move one block; the transfer takes as long as on the slower link."""
        source, target = self.tiers[block.tier], self.tiers[tier_name]
        source.used -= block.size
        target.used += block.size
        block.tier = tier_name
        self.sequence += 1
        block.sequence = self.sequence
        await asyncio.gather(
            source.link.transfer(block.size, self.factor()),
            target.link.transfer(block.size, self.factor()),
        )


@click.command()
@click.option("--port", default=0)
@click.option("--memory-bytes", default=256 * 1024 * 1024)
@click.option("--disk-bytes", default=2048 * 1024 * 1024)
@click.option("--memory-bytes-per-second", default=40e6, help="0 means no limit.")
@click.option("--disk-bytes-per-second", default=10e6, help="0 means no limit.")
def main(
    port: int,
    memory_bytes: int,
    disk_bytes: int,
    memory_bytes_per_second: float,
    disk_bytes_per_second: float,
) -> None:
    """Run the stand-in of a store VM for KV cache blocks."""
    memory = Link(bytes_per_second=memory_bytes_per_second)
    disk = Link(bytes_per_second=disk_bytes_per_second)
    tiers = {
        "memory": TierState(limit=memory_bytes, link=memory),
        "disk": TierState(limit=disk_bytes, link=disk),
    }
    serve(BlockStore(tiers).app(), port)


if __name__ == "__main__":
    main()
