"""A store of kept KV cache is cut off, crashes behind the cut and starts again empty.

One VM lets an engine save a part to it, while another lets an engine fetch that part.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
import json
from pathlib import Path
import time
from typing import Any

from harness_3 import (
    DOWN_WAIT_SECONDS,
    HOST_NAME,
    KEY,
    Answer,
    CannotRunError,
    Fleet,
    Link,
    Record,
    Vm,
    async_exchange,
    configuration,
    has_trouble,
    now_ms,
    route,
    run_case,
)

from stand_ins.raw_http import RawRequest, RawServer, encode_response
from stand_ins.v1_platform import ExecutionLog, Target

FOLDER = Path(__file__).resolve().parent
MODEL = "m0"
TOKEN_BYTES = 18_432
STORE_LINK_MBPS = 19_000.0
STORE_FIRST_SECONDS = 0.006
PREFILL_TOKENS_PER_SECOND = 36_100.0
PART_TOKENS = 13_300
"""Largest part of the site's dossier-verdict."""
OWN_TOKENS = 100
ENGINE_TOKENS = 41_616
DEADLINE_MS = 5000
SAVE_TIMEOUT_SECONDS = 4.5
"""Time after which the VM that sent the save no longer counts on its event."""
CUT_SECONDS = 4.0
DOWN_SECONDS = 0.5
ENGINES = 5
FETCHING_CALLS = 8
"""Calls over the time in which the part is written."""
CALL_PAUSE_SECONDS = 0.015
MOST_OTHER_PARTS = 40

PartKey = tuple[str, str]


class KeptStore:
    """Managed store of kept KV cache.

    Attributes
    ----------
    held, partial
        Tokens of the parts that are complete, and of those that are being written.
    lost_parts
        Parts of which the event never arrives, for anyone.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.server = RawServer(self.handle)
        self.port = 0
        self.epoch = now_ms()
        self.held: dict[PartKey, int] = {}
        self.partial: dict[PartKey, int] = {}
        self.events: list[tuple[int, str, str, str, int, str]] = []
        self.lost_parts: set[str] = set()
        self.changed = asyncio.Condition()

    async def async_start(self) -> None:
        """Start listening, at the port that it may have had before."""
        self.port = await self.server.async_start("127.0.0.1", self.port)

    async def async_crash(self) -> None:
        """End, and lose everything."""
        await self.server.async_stop()
        self.held.clear()
        self.partial.clear()
        self.events.clear()

    async def async_start_again(self) -> None:
        """Start as a new process."""
        self.epoch = now_ms()
        self.server = RawServer(self.handle)
        await self.async_start()

    async def async_save(self, key: PartKey, tokens: int) -> None:
        """Write a part, whose space is reserved at once; a part once made stays."""
        if key in self.held or key in self.partial:
            return
        epoch = self.epoch
        self.partial[key] = tokens
        self.record.add(f"store: part {key[1]} is being written")
        await asyncio.sleep(transfer_seconds(tokens))
        if self.epoch != epoch or self.partial.pop(key, None) is None:
            return
        self.held[key] = tokens
        self.record.add(f"store: part {key[1]} is complete")
        if key[1] in self.lost_parts:
            return
        number = len(self.events) + 1
        self.events.append((number, "+", *key, tokens, MODEL))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Respond to one call; return whether the connection stays open."""
        status = 200
        match request.path:
            case "/v1/kv-list":
                held = [[*key, tokens, MODEL] for key, tokens in self.held.items()]
                partial = [[*key, 0, tokens] for key, tokens in self.partial.items()]
                body = {**self._state(), "held": held, "partial": partial}
            case "/v1/kv-events":
                body = await self._async_events(request)
            case "/v1/kv-free":
                status, body = 409, {}
            case _:
                status, body = 404, {}
        writer.write(encode_response(status, json.dumps(body).encode()))
        return True

    def _state(self) -> dict[str, Any]:
        return {
            "epoch": self.epoch,
            "next": len(self.events),
            "clock_ms": clock_ms(),
        }

    async def _async_events(self, request: RawRequest) -> dict[str, Any]:
        since = int(request.query["since"])
        try:
            async with (
                asyncio.timeout(int(request.headers.get("wait-ms", "0")) / 1000),
                self.changed,
            ):
                await self.changed.wait_for(lambda: len(self.events) > since)
        except TimeoutError:
            pass
        return {**self._state(), "lost": False, "events": self.events[since:]}


def transfer_seconds(tokens: int) -> float:
    """Return the time of a transfer to or from the store."""
    return STORE_FIRST_SECONDS + tokens * TOKEN_BYTES * 8 / (STORE_LINK_MBPS * 1e6)


def clock_ms() -> float:
    """Return the engines' clock."""
    return time.monotonic() * 1000


class ModelEngine(Target):
    """Engine that reads prompts part by part.

    Attributes
    ----------
    cached
        Tokens of the cached parts; the least recently used yield.
    """

    def __init__(self, name: str, case: Case) -> None:
        super().__init__(name, case.fleet.store, ExecutionLog(), "llm")
        self.case = case
        self.cached: OrderedDict[PartKey, int] = OrderedDict()
        self.saves: set[asyncio.Task[None]] = set()

    def _read_prompt(self, request: RawRequest, request_id: str) -> None:
        """Leave the prompt to `_save_parts`, which may wait."""

    async def _save_parts(self, request: RawRequest) -> None:
        """Fetch or prefill each part, and begin to save it where that is asked for."""
        headers = request.headers
        request_id = headers.get("gypsumsail-request-id", "")
        salt = headers.get("gypsumsail-cache-salt", "")
        until = float(headers.get("gypsumsail-kv-until", "inf"))
        prefix = headers.get("gypsumsail-prompt-prefix", "").split(",")
        fetches = headers.get("gypsumsail-kv-fetch", "").split(",")
        saves = headers.get("gypsumsail-kv-save", "").split(",")
        self.case.record.add(
            f"engine {self.name}: begins {request_id}, parts {prefix},"
            f" fetch {fetches}, save {saves}"
        )
        for number, item in enumerate(prefix):
            part, _, text = item.partition(":")
            key, tokens = (salt, part), int(text)
            is_fetched = key in self.cached
            if not is_fetched and fetches[number : number + 1] == [
                self.case.store_address
            ]:
                is_fetched = await self._async_fetch(key, tokens, until, request_id)
            if not is_fetched:
                await asyncio.sleep(tokens / PREFILL_TOKENS_PER_SECOND)
            self._cache(key, tokens)
            if saves[number : number + 1] == [self.case.store_address]:
                task = asyncio.create_task(self.case.kept.async_save(key, tokens))
                self.saves.add(task)
                task.add_done_callback(self.saves.discard)

    def _cache(self, key: PartKey, tokens: int) -> None:
        self.cached[key] = tokens
        self.cached.move_to_end(key)
        while sum(self.cached.values()) > ENGINE_TOKENS:
            self.cached.popitem(last=False)

    def has_cached(self, part: str) -> bool:
        """Return whether a part is cached."""
        return any(name == part for _, name in self.cached)

    async def _async_fetch(
        self, key: PartKey, tokens: int, until: float, request_id: str
    ) -> bool:
        """Fetch a part; return whether it is used.

        All tokens are read for which space is reserved, as no number is named.
        """
        kept, record = self.case.kept, self.case.record
        await asyncio.sleep(STORE_FIRST_SECONDS)
        is_partial = key in kept.partial
        if not is_partial and key not in kept.held:
            record.add(f"engine {self.name}: {request_id} misses part {key[1]}")
            return False
        await asyncio.sleep(transfer_seconds(tokens) - STORE_FIRST_SECONDS)
        if clock_ms() > until:
            record.add(f"engine {self.name}: {request_id} discards a late fetch")
            return False
        record.add(f"engine {self.name}: {request_id} fetched part {key[1]}")
        if is_partial:
            record.find(
                f"MIXED: {request_id} took part {key[1]} from the store, where it was"
                " being written"
            )
        return True


class Case:
    """One play of the case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.fleet = Fleet(record, vms=2)
        self.kept = KeptStore(record)
        self.store_address = ""
        self.link: Link | None = None
        self.engines = [
            ModelEngine(f"i-llm-{number}", self) for number in range(ENGINES)
        ]
        self.ids: Iterator[int] = iter(range(1, 10_000))

    async def async_call(self, vm: Vm, part: str) -> Answer:
        """Send a stream request whose prompt has a shared part and one of its own."""
        request_id = f"{next(self.ids):016x}"
        lines = [
            "POST /verdict/a HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Gypsumsail-Request-Id: {request_id}",
            f"Gypsumsail-Deadline-Ms: {DEADLINE_MS}",
            f"Authorization: Bearer {KEY}",
            f"Gypsumsail-Model: {MODEL}",
            f"Gypsumsail-Token-Count: {PART_TOKENS + OWN_TOKENS},8",
            f"Gypsumsail-Prompt-Prefix: {part}:{PART_TOKENS},{request_id}:{OWN_TOKENS}",
            "Content-Length: 6",
        ]
        request = ("\r\n".join(lines) + "\r\n\r\n").encode() + b"prompt"
        self.record.add(f"client: {request_id} with part {part} sent to {vm.name}")
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1.0):
                answer = await async_exchange(vm.host, vm.port, request)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = Answer()
        self.record.add(f"client: {request_id} got status {answer.status}")
        return answer

    async def async_start(self) -> None:
        """Start the platform, the store of KV cache and the engines."""
        fleet = self.fleet
        await fleet.async_start_store()
        await self.kept.async_start()
        self.link = Link("127.0.0.1", self.kept.port)
        self.store_address = await self.link.async_start()
        for engine in self.engines:
            await engine.async_start("127.0.0.1")
            await engine.register()
        await fleet.store.put("versions", MODEL, {"model": MODEL, "version": 1})
        document = configuration(
            1,
            [
                route(
                    "verdict",
                    "streaming",
                    "llm",
                    timeout_ms=5000,
                    sticky=True,
                    resumable=False,
                    gap_aim_ms=500,
                )
            ],
            ["llm"],
        )
        document["services"][0]["engine"] = {
            "slots": 16,
            "kv_tokens": ENGINE_TOKENS,
            "kv_token_bytes": TOKEN_BYTES,
            "link_mbps": 550_000.0,
            "managed": True,
            "models": [{"name": MODEL}],
        }
        document["services"].append(
            {
                "name": "kept",
                "kv_store_addr": self.store_address,
                "zone": "z1",
                "kv_tokens": 601_223,
                "link_mbps": STORE_LINK_MBPS,
                "max_inflight": 12,
                "managed": True,
                "first_ms": STORE_FIRST_SECONDS * 1000,
            }
        )
        await fleet.store.put("config", "main", document)
        for vm in fleet.vms:
            vm.write_settings(fleet.store_address, [found.host for found in fleet.vms])

    async def async_start_vm(self, vm: Vm) -> None:
        """Start a VM and wait until it is ready."""
        await vm.async_start()
        if not await self.fleet.async_wait_ready(vm, DOWN_WAIT_SECONDS):
            self.record.add(f"{vm.name} is not ready: {vm.log_tail()}")
            raise CannotRunError(f"{vm.name} did not become ready")
        self.record.add(f"{vm.name} is ready")

    async def async_run(self) -> None:
        """Play the case."""
        saver, fetcher = self.fleet.vms
        await self.async_start_vm(saver)
        await asyncio.sleep(4.0)
        # The event of this part never arrives. A VM that starts later lists it.
        self.kept.lost_parts.add("aa")
        await self.async_call(saver, "aa")
        await asyncio.sleep(SAVE_TIMEOUT_SECONDS)
        if not any(part == "aa" for _, part in self.kept.held):
            raise CannotRunError("the part was not saved")
        await self.async_start_vm(fetcher)
        await asyncio.sleep(4.0)
        # Other parts make the engines' memory yield the first one.
        for number in range(0, MOST_OTHER_PARTS, 2):
            calls = [
                self.async_call(vm, f"b{number + place}")
                for place, vm in enumerate(self.fleet.vms)
            ]
            await asyncio.gather(*calls)
            if not any(engine.has_cached("aa") for engine in self.engines):
                break
        else:
            raise CannotRunError("the part is still cached by an engine")
        await asyncio.sleep(0.05)
        if has_trouble():
            assert self.link is not None
            self.link.is_whole.clear()
            self.record.add("trouble: the store is cut off from the VMs")
            await asyncio.sleep(0.05)
            await self.kept.async_crash()
            self.record.add("trouble: the store crashes")
            await asyncio.sleep(DOWN_SECONDS)
            await self.kept.async_start_again()
            self.record.add("trouble: the store starts again, empty")
        tasks = [asyncio.create_task(self.async_call(saver, "aa"))]
        await asyncio.sleep(PART_TOKENS / PREFILL_TOKENS_PER_SECOND - 0.02)
        for _ in range(FETCHING_CALLS):
            await asyncio.sleep(CALL_PAUSE_SECONDS)
            tasks.append(asyncio.create_task(self.async_call(fetcher, "aa")))
        await asyncio.gather(*tasks)
        if has_trouble():
            assert self.link is not None
            await asyncio.sleep(CUT_SECONDS - DOWN_SECONDS - 1.0)
            self.link.is_whole.set()
            self.record.add("trouble: the cut has healed")

    async def async_stop(self) -> None:
        """End everything."""
        await self.fleet.async_stop()
        if self.link is not None:
            await self.link.async_stop()
        await self.kept.server.async_stop()
        for engine in self.engines:
            await engine.async_stop()


async def async_play(record: Record) -> None:
    """Play the case."""
    case = Case(record)
    try:
        await case.async_start()
        await case.async_run()
    finally:
        await case.async_stop()


if __name__ == "__main__":
    run_case(FOLDER, async_play)
