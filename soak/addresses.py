"""Addresses of context stores and engines that plain targets use again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
import socket
from typing import TYPE_CHECKING, Any

from soak.const import MAX_REUSE_SECONDS
from stand_ins.v1_platform import Target

if TYPE_CHECKING:
    from soak.run import Soak


def hold_port(host: str, port: int) -> socket.socket:
    """Return a socket that refuses connections and keeps the port for this process."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((host, port))
    return held


async def _async_start_successor(
    soak: Soak, held: socket.socket, host: str, port: int, listed: str
) -> Target:
    """Let a plain target listen at a held address and register another for it."""
    held.close()
    target = Target(soak.new_name("r"), soak.store, soak.execution_log, "plain")
    await target.async_start(host, port)
    target.registered_address = listed
    await target.register(listed)
    soak.targets.append(target)
    return target


async def reuse_store_address(soak: Soak) -> None:
    """End a context store for good; a plain target takes over its address.

    The document names the next store before or after that.
    """
    rng = soak.address_random
    is_document_first = rng.random() < 0.5
    delays = [rng.uniform(0.3, MAX_REUSE_SECONDS / 2) for _ in range(2)]
    old = soak.context_store
    await soak.async_start_context_store()
    await old.server.async_stop()
    held = hold_port(old.host, old.port)
    if is_document_first:
        await soak.async_put_next_document()
    await asyncio.sleep(delays[0])
    await _async_start_successor(soak, held, old.host, old.port, old.address)
    await asyncio.sleep(delays[1])
    if not is_document_first:
        await soak.async_put_next_document()


async def reuse_engine_address(soak: Soak) -> None:
    """End an engine for good; a plain target takes over its address.

    Another engine starts elsewhere. The ended one leaves the list before or after.
    """
    rng = soak.address_random
    is_removed_first = rng.random() < 0.5
    delays = [rng.uniform(0.3, MAX_REUSE_SECONDS / 2) for _ in range(2)]
    old = rng.choice([target for target in soak.targets if target.is_engine])
    soak.targets.remove(old)
    old.has_ended = True
    soak.ended_names.append(old.name)
    await old.async_stop()
    held = hold_port(old.host, old.port)
    engine = Target(soak.new_name("e"), soak.store, soak.execution_log, "llm")
    engine.version = soak.weight_version
    engine.build = old.build
    await soak.async_add_target(engine)
    if is_removed_first:
        await soak.store.delete("servers", old.name)
    await asyncio.sleep(delays[0])
    target = await _async_start_successor(
        soak, held, old.host, old.port, old.registered_address
    )
    soak.proxies[target.name] = soak.proxies.pop(old.name)
    await asyncio.sleep(delays[1])
    if not is_removed_first:
        await soak.store.delete("servers", old.name)


REUSES: list[Callable[[Soak], Coroutine[Any, Any, None]]] = [
    reuse_store_address,
    reuse_engine_address,
]


async def async_reuse_addresses(soak: Soak) -> None:
    """Let plain targets take over addresses, one after another or at once."""
    rng = soak.address_random
    end = asyncio.get_running_loop().time() + soak.seconds - MAX_REUSE_SECONDS
    running: set[asyncio.Task[None]] = set()
    while True:
        await asyncio.sleep(rng.uniform(0.5, 2.5))
        reuse = rng.choice(REUSES)
        if asyncio.get_running_loop().time() > end:
            break
        soak.report.faults.append(reuse.__name__)
        running.add(asyncio.create_task(reuse(soak)))
    await asyncio.gather(*running)
