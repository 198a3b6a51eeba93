"""A tenant becomes dedicated while its requests wait in a machine's queue."""

from __future__ import annotations

import asyncio
from pathlib import Path
import time

from harness_2 import (
    BROKEN,
    COULD_NOT_RUN,
    HOLDS,
    TROUBLE,
    ZONES,
    Answer,
    Machine,
    Record,
    Store,
    async_call,
    config,
    loopback_network,
    run,
)
from llm_engine_2 import MODEL, LlmEngine, dossier_route, llm_service

HERE = Path(__file__).resolve().parent
KEYS = {"jeye930": "nu6wsjnbanfqasnmgkcu", "bozi300": "yj8pjbvk9m68k7b2ex5w"}
BECOMES_DEDICATED = "jeye930"
OTHER = "bozi300"
SYSTEM_PART = "5c1e07a2:2520"
"""Part of the prompts of all tenants."""
BURST = 5
"""Dossiers that the tenant sends at once; two engines take one each at first."""
CONFIG_SECONDS = 2.0
"""The bound ``config_ms``."""


def tenants(dedicated: str = "") -> list[dict[str, object]]:
    """Return the tenants of a configuration."""
    return [
        {
            "name": name,
            "api_keys": [key],
            "priority": 1,
            "dedicated": name == dedicated,
        }
        for name, key in KEYS.items()
    ]


async def async_send(
    machine: Machine, tenant: str, number: int, record: Record
) -> Answer:
    """Send one dossier of a tenant."""
    request_id = f"{tenant}{number:04x}"
    parts = f"{SYSTEM_PART},{tenant}d0c:5000,{request_id}:1670"
    headers = {
        "Host": "dossiers.example",
        "Gypsumsail-Request-Id": request_id,
        "Gypsumsail-Model": MODEL,
        "Gypsumsail-Token-Count": "9190,10",
        "Gypsumsail-Prompt-Prefix": parts,
        "Gypsumsail-Deadline-Ms": "5000",
        "Authorization": f"Bearer {KEYS[tenant]}",
    }
    record.write(f"{request_id} is sent")
    try:
        answer = await async_call(
            machine.host,
            machine.base,
            "POST",
            "/verdict/2f",
            headers,
            b"dossier " * 2000,
            seconds=6.0,
        )
    except (OSError, TimeoutError):
        answer = Answer(0, {}, b"", is_whole=False)
    record.write(f"{request_id} gets {answer.status}, {len(answer.body)} bytes")
    return answer


async def main() -> int:
    """Run the case."""
    record = Record(HERE)
    network = loopback_network()
    store = Store()
    address = await store.async_start(f"{network}.250")
    routes, services = [dossier_route("llm-claims")], [llm_service("llm-claims")]
    await store.async_put("config", "main", config(7, routes, services, tenants()))
    await store.async_put("versions", MODEL, {"model": MODEL, "version": 1})
    engines = []
    for number, zone in enumerate(ZONES[:2]):
        engine = LlmEngine(f"i-llm{number}", "llm-claims", zone, record)
        await engine.async_start(f"{network}.{100 + number}")
        await store.async_put("servers", engine.name, engine.entry())
        engines.append(engine)
    machine = Machine("front-brest-hall-1", f"{network}.1", ZONES[0])
    machine.write_settings(address, [], first=True)
    try:
        await machine.async_start()
        if not await machine.async_wait_ready():
            return COULD_NOT_RUN
        await asyncio.sleep(3.0)
        burst = [
            asyncio.create_task(async_send(machine, BECOMES_DEDICATED, n, record))
            for n in range(BURST)
        ]
        await asyncio.sleep(0.1)
        acknowledged_at = time.monotonic()
        if TROUBLE:
            new = config(9, routes, services, tenants(BECOMES_DEDICATED))
            await store.async_put("config", "main", new)
            record.write(f"version 9 is acknowledged: {BECOMES_DEDICATED} is dedicated")
        answers = await asyncio.gather(*burst)
        late_by = acknowledged_at + CONFIG_SECONDS + 1.0 - time.monotonic()
        await asyncio.sleep(max(late_by, 0.0))
        answers += await asyncio.gather(
            *(async_send(machine, OTHER, n, record) for n in range(4))
        )
        served = sum(answer.status == 200 and answer.is_whole for answer in answers)
        others = [answer for answer in answers[BURST:] if answer.status == 200]
        uses = [use for engine in engines for use in engine.uses]
        foreign = [
            use
            for use in uses
            if use.tenant != use.made_by
            and BECOMES_DEDICATED in (use.tenant, use.made_by)
        ]
        for use in foreign:
            record.write(
                f"{use.request_id} of {use.tenant} uses part {use.part}, "
                f"which {use.made_by_request} of {use.made_by} made"
            )
        record.write(f"{served} of {len(answers)} served, {len(foreign)} foreign uses")
        if not TROUBLE:
            # No tenant is dedicated: sharing is allowed.
            return HOLDS if others else COULD_NOT_RUN
        if not others:
            return COULD_NOT_RUN
        return BROKEN if foreign else HOLDS
    finally:
        await machine.async_end()


run(main)
