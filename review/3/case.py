"""A store of kept KV cache loses power for a moment and returns empty."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
import json
from pathlib import Path
import signal
import sys
import time
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    CannotRunError,
    Deployment,
    Machine,
    Record,
    async_request,
    configuration,
    has_trouble,
    route,
)

from stand_ins.raw_http import RawRequest, RawServer, encode_response

ENGINES = 4
ENGINE_TOKENS = 41_616
PREFILL_TOKENS_PER_SECOND = 36_100.0
TOKEN_BYTES = 18_432
STORE_TOKENS = 601_223
STORE_BYTES_PER_SECOND = 19e9 / 8
STORE_FIRST_SECONDS = 0.006
EVENT_LAG_SECONDS = 0.06
HEAD_TOKENS = 2_520
DOSSIER_TOKENS = 5_000
QUESTION_TOKENS = 1_670
DOSSIERS = 4
FILLER_TOKENS = 8_000
FILLERS = 7
OUTAGE_SECONDS = 0.8
CONTACT_SECONDS = 3.0
DEADLINE_MS = 5000
MIN_AHEAD_SECONDS = 0.72
MAX_AHEAD_SECONDS = 0.97
START_SECONDS = 0.43
"""Time from the start of a machine's process to its first call to the store."""

Part = tuple[str, str]


class KeptStore:
    """Managed store of kept KV cache.

    Attributes
    ----------
    held, partial
        Tokens of the parts that are complete, and of those that are being written.
    polls
        Times of the latest answers to questions for events, by connection.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.server = RawServer(self.handle)
        self.host = "127.81.0.90"
        self.port = 0
        self.epoch = 77_120
        self.is_dark = False
        self.held: dict[Part, int] = {}
        self.partial: dict[Part, int] = {}
        self.events: list[list[Any]] = []
        self.changed = asyncio.Condition()
        self.link_free_at = 0.0
        self.polls: dict[int, float] = {}
        self.on_listed = asyncio.Event()
        self.answered = asyncio.Condition()
        self.tasks: set[asyncio.Task[None]] = set()

    async def async_outage(self) -> None:
        """Lose power and return empty; earlier connections stay silent for good."""
        self.is_dark = True
        self.epoch += 1
        self.held.clear()
        self.partial.clear()
        self.events.clear()
        await asyncio.sleep(OUTAGE_SECONDS)
        self.on_listed.clear()
        self.link_free_at = 0.0
        self.is_dark = False

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer one call; a call from before an outage is never answered."""
        epoch = self.epoch
        body: dict[str, Any] = {}
        status = 200
        if self.is_dark:
            await asyncio.sleep(30.0)
        if request.path == "/v1/kv-list":
            held = [[*part, tokens, "m0"] for part, tokens in self.held.items()]
            body = {**self.state(), "held": held}
        elif request.path == "/v1/kv-events":
            body = await self.async_events(request)
        elif request.path == "/v1/kv-free":
            status = 409
        else:
            status = 404
        if self.is_dark or epoch != self.epoch:
            await asyncio.sleep(30.0)
            return False
        writer.write(encode_response(status, json.dumps(body).encode()))
        if request.path == "/v1/kv-list":
            self.on_listed.set()
        elif request.path == "/v1/kv-events":
            async with self.answered:
                self.polls[id(writer)] = time.monotonic()
                self.answered.notify_all()
        return True

    def state(self) -> dict[str, Any]:
        """Return the fields that all answers have."""
        clock_ms = round(time.monotonic() * 1000)
        return {"epoch": self.epoch, "next": len(self.events), "clock_ms": clock_ms}

    async def async_events(self, request: RawRequest) -> dict[str, Any]:
        """Wait for events and return them."""
        since = int(request.query["since"])
        epoch = self.epoch
        try:
            async with (
                asyncio.timeout(int(request.headers["wait-ms"]) / 1000),
                self.changed,
            ):
                await self.changed.wait_for(
                    lambda: epoch != self.epoch or len(self.events) > since
                )
        except TimeoutError:
            pass
        return {**self.state(), "lost": False, "events": self.events[since:]}

    def save(self, part: Part, tokens: int) -> None:
        """Reserve the space of a part and begin to write it."""
        if self.is_dark or part in self.held or part in self.partial:
            return
        self.partial[part] = tokens
        task = asyncio.create_task(self.async_write(part, tokens, self.epoch))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def async_write(self, part: Part, tokens: int, epoch: int) -> None:
        """Write a part, after the transfers that were begun before."""
        now = time.monotonic()
        seconds = STORE_FIRST_SECONDS + tokens * TOKEN_BYTES / STORE_BYTES_PER_SECOND
        self.link_free_at = max(self.link_free_at, now) + seconds
        await asyncio.sleep(self.link_free_at - now)
        if epoch != self.epoch or self.is_dark:
            return
        self.held[part] = self.partial.pop(part)
        self.record.write(f"the store has {part[1]} complete")
        await asyncio.sleep(EVENT_LAG_SECONDS)
        if epoch != self.epoch:
            return
        number = len(self.events) + 1
        self.events.append([number, "+", part[0], part[1], tokens, "m0"])
        async with self.changed:
            self.changed.notify_all()


class Engine:
    """Engine with a cache of prompt parts.

    Attributes
    ----------
    torn
        Fetches of parts that were not whole in the store: the request and the part.
    """

    def __init__(
        self, number: int, deployment: Deployment, store: KeptStore, torn: list[str]
    ) -> None:
        self.name = f"i-llm{number}"
        self.host = f"127.81.0.{101 + number}"
        self.zone = "brest-hall" if number < ENGINES // 2 else "rennes-hall"
        self.deployment = deployment
        self.record = deployment.record
        self.store = store
        self.torn = torn
        self.server = RawServer(self.handle)
        self.cache: OrderedDict[Part, int] = OrderedDict()
        self.free_at = 0.0

    async def async_start(self) -> None:
        """Listen and register."""
        port = await self.server.async_start(self.host)
        spec = {
            "service": "llm",
            "addr": f"{self.host}:{port}",
            "zone": self.zone,
            "slots": 64,
            "state": "ready",
            "born": 1_780_000_000_000,
            "call_seq": 0,
            "version": "v1",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
        }
        await self.deployment.store.put("servers", self.name, spec)

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Run one request."""
        request_id = request.headers.get("gypsumsail-request-id", "")
        headers = {
            "Gypsumsail-Request-Id": request_id,
            "Gypsumsail-Instance-Id": self.name,
            "Gypsumsail-Weight-Versions": "1",
        }
        if not request_id:
            writer.write(encode_response(404, b"", headers))
            return True
        await self.async_read_prompt(request_id, request)
        headers["Gypsumsail-Server-Stamp"] = f"{self.name}.1"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", *lines]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        event = b"id: 1\ndata: verdict\n\n"
        writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(event), event))
        return True

    async def async_read_prompt(self, request_id: str, request: RawRequest) -> None:
        """Fetch the parts that are kept, prefill the others and save them."""
        salt = request.headers["gypsumsail-cache-salt"]
        items = request.headers["gypsumsail-prompt-prefix"].split(",")
        none = ",".join("-" * len(items))
        fetch = request.headers.get("gypsumsail-kv-fetch", none).split(",")
        save = request.headers.get("gypsumsail-kv-save", none).split(",")
        store_address = f"{self.store.host}:{self.store.port}"
        self.record.write(
            f"{self.name} begins {request_id}: fetch {fetch}, save {save}"
        )
        is_cached = True
        for item, source, target in zip(items, fetch, save, strict=True):
            name, _, text = item.partition(":")
            part, tokens = (salt, name), int(text)
            if is_cached and part in self.cache:
                self.cache.move_to_end(part)
                continue
            if is_cached and source == store_address and not self.store.is_dark:
                if part in self.store.partial:
                    self.torn.append(f"{request_id} {name}")
                    self.record.write(
                        f"{self.name} takes {name} for {request_id} from the store,"
                        " where it is still being written"
                    )
                    self.keep(part, tokens)
                    continue
                if part in self.store.held:
                    self.keep(part, tokens)
                    continue
            is_cached = False
            now = time.monotonic()
            self.free_at = max(self.free_at, now) + tokens / PREFILL_TOKENS_PER_SECOND
            await asyncio.sleep(self.free_at - now)
            self.keep(part, tokens)
            if target == store_address:
                self.store.save(part, tokens)

    def keep(self, part: Part, tokens: int) -> None:
        """Cache a part; the least recently used parts yield."""
        self.cache[part] = tokens
        while sum(self.cache.values()) > ENGINE_TOKENS:
            self.cache.popitem(last=False)


class Case:
    """The platform, two machines, four engines and a store.

    Attributes
    ----------
    torn
        See `Engine`.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(2, record)
        self.kept = KeptStore(record)
        self.torn: list[str] = []
        self.engines = [
            Engine(number, self.deployment, self.kept, self.torn)
            for number in range(ENGINES)
        ]
        self.sent = 0

    async def async_send(self, machine: Machine, dossier: int) -> None:
        """Ask a question on a dossier; a negative one stands for a short prompt."""
        self.sent += 1
        request_id = f"verdict{self.sent:09}"
        question = f"{self.sent:08x}:{QUESTION_TOKENS}"
        parts = (
            f"5c1e07a2:{HEAD_TOKENS},d0551e{dossier:02x}:{DOSSIER_TOKENS},{question}"
        )
        total = HEAD_TOKENS + DOSSIER_TOKENS + QUESTION_TOKENS
        if dossier < 0:
            parts, total = f"{self.sent:08x}:{FILLER_TOKENS}", FILLER_TOKENS
        answer = await async_request(
            machine,
            "POST",
            "/verdict/7",
            request_id,
            DEADLINE_MS,
            {
                "Gypsumsail-Model": "m0",
                "Gypsumsail-Token-Count": f"{total},10",
                "Gypsumsail-Prompt-Prefix": parts,
            },
        )
        self.record.write(
            f"{request_id} (dossier {dossier}) at {machine.name}: {answer.status}"
        )
        if answer.status != 200:
            raise CannotRunError("a prompt was not answered")

    async def async_next_answer(self, polls: set[int]) -> float:
        """Wait for the store's next answer on one of these connections."""
        before = {poll: self.kept.polls.get(poll, 0.0) for poll in polls}
        async with asyncio.timeout(5.0), self.kept.answered:
            await self.kept.answered.wait_for(
                lambda: any(self.kept.polls.get(p, 0.0) > t for p, t in before.items())
            )
        return max(self.kept.polls[poll] for poll in polls)

    async def async_start_second(self, first_polls: set[int]) -> None:
        """Start the second machine between two answers to the first one."""
        second = self.deployment.machines[1]
        wanted = (MIN_AHEAD_SECONDS + MAX_AHEAD_SECONDS) / 2
        delay = 1.0 - wanted - START_SECONDS
        for _ in range(6):
            known = set(self.kept.polls)
            answered_at = await self.async_next_answer(first_polls)
            await asyncio.sleep(answered_at + delay % 1.0 - time.monotonic())
            second.start()
            await self.deployment.async_wait_ready(second)
            await asyncio.sleep(1.5)
            first = await self.async_next_answer(first_polls)
            last = max(self.kept.polls[poll] for poll in set(self.kept.polls) - known)
            self.record.write(
                f"the last answer to {second.name} is {first - last:.2f} s older than"
                " that to the other machine"
            )
            if MIN_AHEAD_SECONDS <= first - last <= MAX_AHEAD_SECONDS:
                return
            delay += first - last - wanted
            second.signal(signal.SIGTERM)
            await second.async_exit(10.0)
        raise CannotRunError("the machines ask the store at the same time")

    async def async_run(self) -> int:
        """Run the case; return the number of torn fetches."""
        self.kept.port = await self.kept.server.async_start(self.kept.host)
        for engine in self.engines:
            await engine.async_start()
        await self.deployment.async_start_store(self.make_configuration())
        first, second = self.deployment.machines
        first.start()
        await self.deployment.async_wait_ready(first)
        await asyncio.sleep(CONTACT_SECONDS)
        for dossier in range(DOSSIERS):
            await self.async_send(first, dossier)
        await asyncio.sleep(1.0)
        for _ in range(FILLERS):
            await self.async_send(first, -1)
        if len(self.kept.held) != DOSSIERS + 1:
            raise CannotRunError("the dossiers are not in the store")
        first_polls = set(self.kept.polls)
        await self.async_start_second(first_polls)
        await asyncio.sleep(CONTACT_SECONDS + 0.5)
        await self.async_next_answer(first_polls)
        self.kept.on_listed.clear()
        if has_trouble():
            self.record.write("the store loses power")
            await self.kept.async_outage()
            self.record.write("the store is back, empty")
            async with asyncio.timeout(2.0):
                await self.kept.on_listed.wait()
            self.record.write("a machine has listed the store's parts")
        await asyncio.sleep(0.01)
        asked = [
            asyncio.create_task(self.async_send(second, dossier))
            for dossier in range(DOSSIERS)
        ]
        for _ in range(40):
            await asyncio.sleep(0.01)
            if len(self.kept.partial) > 1:
                break
        asked += [
            asyncio.create_task(self.async_send(first, dossier))
            for dossier in (1, 2, 3, 0, 3, 2, 1, 0)
        ]
        await asyncio.gather(*asked)
        return len(self.torn)

    def make_configuration(self) -> dict[str, Any]:
        """Return the configuration."""
        stream = route(
            "verdict",
            "streaming",
            "llm",
            timeout_ms=DEADLINE_MS,
            goal_ms=800,
            gap_aim_ms=500,
            sticky=True,
        )
        engine = {
            "slots": 64,
            "kv_tokens": ENGINE_TOKENS,
            "kv_token_bytes": TOKEN_BYTES,
            "managed": True,
            "models": [{"name": "m0"}],
        }
        services = [
            {"name": "llm", "health_path": "/healthz", "engine": engine},
            {
                "name": "keep-b",
                "kv_store_addr": f"{self.kept.host}:{self.kept.port}",
                "zone": "rennes-hall",
                "kv_tokens": STORE_TOKENS,
                "link_mbps": 19_000.0,
                "first_ms": 6.0,
                "max_inflight": 12,
                "managed": True,
            },
        ]
        return configuration(3, [stream], services)

    async def async_stop(self) -> None:
        """End all processes, engines and the store."""
        await self.deployment.async_stop()
        for engine in self.engines:
            await engine.server.async_stop()
        await self.kept.server.async_stop()


async def async_main(record: Record) -> int:
    """Run the case; return 1 if the rule was broken."""
    case = Case(record)
    try:
        torn = await case.async_run()
    finally:
        await case.async_stop()
    record.write(f"{torn} parts were taken from the store while they were not whole")
    return 1 if torn else 0


if __name__ == "__main__":
    log = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        sys.exit(asyncio.run(async_main(log)))
    except (CannotRunError, OSError, TimeoutError) as error:
        log.write(f"the case could not run: {error}")
        sys.exit(2)
