"""Stand-ins of engines and plain targets with the ``/v1/`` API.

Only the soak uses them, in its own process; faults are set as attributes. The bench
uses platform.py, engine.py and plain.py, which have another API and run as processes.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
import hashlib
import json
import random
import time
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

from stand_ins.raw_http import RawRequest, RawServer, encode_response, reset_connection
from stand_ins.v1_cold import (
    NOTICE_SECONDS,
    ColdLimits,
    ColdPhase,
    EngineRequest,
    LateEntries,
)
from stand_ins.v1_context_store import V1ContextStore
from stand_ins.v1_object_store import V1ObjectStore as V1ObjectStore
from stand_ins.v1_part_cache import PartCache, PartUse

SERVER_STAMP = "stand-in"
EVENT_SECONDS = 0.02
SLOW_EVENT_SECONDS = 0.25
SLOW_ANSWER_SECONDS = 1.0
DRIP_SECONDS = 0.1
CRASH_DELAY_SECONDS = 0.05
CRASHED_SECONDS = 1.0
HEALTH_PATH = "/healthz"
LAST_EVENT = 8
"""Number of the last event of a complete stream."""


def event_content(request_id: str, event: int) -> str:
    """Return the data of one event in the answer to a request."""
    return hashlib.blake2b(f"{request_id}/{event}".encode(), digest_size=8).hexdigest()


class RequestContent(NamedTuple):
    """What identifies a request besides its id.

    Attributes
    ----------
    target
        Path with the query.
    body_hash
        Hash of the body.
    """

    method: str
    target: str
    body_hash: str

    @classmethod
    def of(cls, method: str, target: str, body: bytes) -> RequestContent:
        """Return the content of a request with a body."""
        body_hash = hashlib.blake2b(body, digest_size=8).hexdigest()
        return cls(method, target, body_hash)


@dataclass(slots=True)
class Execution:
    """One execution of a request by a target.

    Attributes
    ----------
    content
        What the target was asked for.
    is_complete
        Whether the target has sent the whole answer.
    """

    target: str
    tenant: str
    content: RequestContent
    is_complete: bool = False


LIMIT_WINDOW_SECONDS = 4.0
LIMIT_NOTICE_SECONDS = 3.0
LEAVING_NOTICE_SECONDS = 2.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


def most_arrivals(arrivals: list[float], since: float) -> int:
    """Return the most arrivals in any window from a time on."""
    found = sorted(at for at in arrivals if at >= since)
    return max(
        (
            bisect_left(found, at + LIMIT_WINDOW_SECONDS) - index
            for index, at in enumerate(found)
        ),
        default=0,
    )


def allowed_arrivals(limit: float) -> float:
    """Return the most calls that a target accepts in a window."""
    return LIMIT_FACTOR * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK


class ArrivedOrder(NamedTuple):
    """Order to load weights that has reached an engine.

    Attributes
    ----------
    at
        Monotonic time of the arrival, in seconds.
    engine
        Name of the engine, which took the order if ``is_taken``.
    holder, fence
        Holder of the lease and fencing number, as the order states them.
    vm
        VM that sent the order, by the id of the call; empty if it has none.
    """

    at: float
    engine: str
    holder: str
    fence: int
    vm: str
    is_taken: bool


@dataclass(slots=True)
class ExecutionLog:
    """All executions at all targets by request id.

    Attributes
    ----------
    orders
        Orders to all engines, by their arrival.
    builds
        Builds of the engines that wrote events of each stream, by the id of the request
        that began it; events that were written after a restart don't count.
    requests
        Requests that have reached engines, by their arrival.
    cold_crashes
        Times of crashes of cold engines by too many requests.
    part_uses
        Uses of cached parts by requests at all engines.
    on_start
        Called with the request id at the start of each execution.
    """

    executions: dict[str, list[Execution]] = field(default_factory=dict)
    builds: dict[str, set[str]] = field(default_factory=dict)
    orders: list[ArrivedOrder] = field(default_factory=list)
    requests: list[EngineRequest] = field(default_factory=list)
    cold_crashes: list[float] = field(default_factory=list)
    part_uses: list[PartUse] = field(default_factory=list)

    on_start: Callable[[str, Execution], None] = lambda request_id, execution: None

    def record_start(
        self, request_id: str, target: str, tenant: str, content: RequestContent
    ) -> Execution:
        """Record and return a new execution of a request."""
        execution = Execution(target, tenant, content)
        self.executions.setdefault(request_id, []).append(execution)
        self.on_start(request_id, execution)
        return execution


class PauseAnswer(NamedTuple):
    """Answer to a call that asks for a pause.

    Attributes
    ----------
    text
        Value of ``Retry-After``.
    """

    at: float
    request_id: str
    text: str


class Target:
    """An engine or a plain target.

    Attributes
    ----------
    fault
        Empty, ``mute`` (no answer for 20 s), ``reset`` (the connection is reset
        before the answer), ``cut`` (it is reset in the middle of a stream), ``busy``
        (refused with status 503 and not run), ``double`` (a plain target sends a
        second answer), ``late double`` (it sends it later, when the connection may be
        in use again), ``slow`` (an answer or an event comes late), ``drip`` (an
        engine sends a byte of an event from time to time, and never a whole one),
        ``refused again`` (it refuses one call on each connection, and writes this
        refusal once more, without an id, before each later answer there) or ``cut and
        error`` (as ``cut``; calls that go on with a stream often get an error).
    started_at_ms
        Start time in Unix milliseconds, which identifies the incarnation.
    version
        Loaded weight version.
    order_count
        Number of orders accepted since the start.
    registered_address
        Address in the target's store entry; it may be that of a proxy.
    limit
        Value of the ``Server-Limit`` header in all answers; empty for none.
    limited_at
        Time of the first answer with a limit; ``None`` before it.
    restarted_at
        Time of the last restart.
    is_leaving
        Whether all answers say that the target leaves.
    left_at
        Time of the first answer that said so; ``None`` before it.
    retry_after
        Value of ``Retry-After`` in answers of the fault ``busy``; empty for none.
    arrivals
        Times at which calls have arrived, including rejected ones.
    arrived_ids
        Ids of the same calls.
    pauses
        Answers with ``Retry-After``.
    build
        Version of the software; empty for an entry without one.
    fences
        Fencing numbers of all orders that were accepted.
    crashing_parts
        Names of prompt parts on which an engine crashes when it begins to write; it is
        back ``CRASHED_SECONDS`` later.
    crashes
        Times of these crashes.
    crashing_arrivals
        Times at which calls with such a part have arrived.
    has_ended
        Whether the target has ended for good and lists itself no more.
    context_stores
        Context stores that an engine may save parts to, by address.
    slow_answer_seconds
        Time for an answer of a plain target with the fault ``slow``.
    answer_padding
        Bytes that a plain target adds to each answer.
    is_unframed
        Whether an engine's streams have no length and end with their connection.
    zone
        Zone in the target's entry.
    cold
        Cold times of an engine, and ``None`` for a target that is never cold.
    entries
        Entries of an engine that is cold at times; others are listed at once.
    state
        Last state in the entry.
    """

    def __init__(
        self, name: str, store: V1ObjectStore, execution_log: ExecutionLog, service: str
    ) -> None:
        self.name = name
        self.store = store
        self.execution_log = execution_log
        self.service = service
        self.server = RawServer(self.handle)
        self.random = random.Random(name)
        self.fault = ""
        self.started_at_ms = int(time.time() * 1000)
        self.version = 1
        self.order_count = 0
        self.host = ""
        self.registered_address = ""
        self.port = 0
        self.limit = ""
        self.limited_at: float | None = None
        self.restarted_at = float("-inf")
        self.is_leaving = False
        self.left_at: float | None = None
        self.retry_after = ""
        self.arrivals: list[float] = []
        self.arrived_ids: list[str] = []
        self.pauses: list[PauseAnswer] = []
        self.fences: list[int] = []
        self.build = ""
        self.crashing_parts: set[str] = set()
        self.crashes: list[float] = []
        self.crashing_arrivals: list[float] = []
        self.restarts: set[asyncio.Task[None]] = set()
        self.has_ended = False
        self.context_stores: dict[str, V1ContextStore] = {}
        self.part_cache = PartCache()
        self.is_unframed = False
        self.zone = "z1"
        self.cold: ColdPhase | None = None
        self.entries = LateEntries(name, self._async_list)
        self.state = "ready"
        self.slow_answer_seconds = SLOW_ANSWER_SECONDS
        self.answer_padding = b""
        self.refusals: WeakKeyDictionary[asyncio.StreamWriter, bytes] = (
            WeakKeyDictionary()
        )

    @property
    def is_engine(self) -> bool:
        """Return whether the target is an engine, which streams its answers."""
        return self.service == "llm"

    async def async_start(self, host: str, port: int = 0) -> None:
        """Start listening, on a free port if none is given."""
        self.host = host
        self.port = await self.server.async_start(host, port)

    def use_cold_times(self, limits: ColdLimits, *, is_cold: bool) -> None:
        """Be cold after each start; write the entry regularly, to be listed late.

        Parameters
        ----------
        is_cold
            Whether the engine is cold now.
        """
        self.cold = ColdPhase(limits)
        if is_cold:
            self.cold.begin(time.monotonic(), 0.0)
        self.entries.start_writing(self._async_register_again)

    async def async_become_cold(self, notice_seconds: float = NOTICE_SECONDS) -> None:
        """Become cold in the same life, and write the entry."""
        if self.cold is not None:
            self.cold.begin(time.monotonic(), notice_seconds)
            await self.register(self.registered_address, self.state)

    async def _async_register_again(self) -> None:
        if not self.server.resets_connections:
            await self.register(self.registered_address, self.state)

    async def _async_list(self, spec: dict[str, Any]) -> None:
        if not self.has_ended:
            await self.store.put("servers", self.name, spec)

    async def async_stop(self) -> None:
        """Stop listening and writing entries."""
        self.entries.stop()
        await self.server.async_stop()

    async def register(self, address: str = "", state: str = "ready") -> None:
        """Write the target's entry in the object store."""
        if self.has_ended:
            return
        self.state = state
        spec: dict[str, Any] = {
            "service": self.service,
            "addr": address or f"{self.host}:{self.port}",
            "zone": self.zone,
            "slots": 16,
            "state": state,
            "born": self.started_at_ms,
            "call_seq": self.order_count,
        }
        if self.build:
            spec["version"] = self.build
        if self.is_engine:
            spec["models"] = [{"name": "m0", "version": self.version}]
        if self.cold is None:
            await self._async_list(spec)
            return
        spec["cold_left_ms"] = self.cold.left_ms(time.monotonic())
        self.entries.write(spec)

    def limit_finding(self) -> str:
        """Return how the calls of this life exceed its limit; empty if they don't."""
        if not self.limit or self.limited_at is None:
            return ""
        since = self.limited_at + LIMIT_NOTICE_SECONDS
        most = most_arrivals(self.arrivals, since)
        if most <= allowed_arrivals(float(self.limit)):
            return ""
        return f"{self.name} got {most} calls in 4 s with a limit of {self.limit}"

    def leaving_finding(self) -> str:
        """Return how long this life got calls after it said that it leaves."""
        if self.left_at is None or not self.arrivals:
            return ""
        late = max(self.arrivals) - self.left_at
        if late <= LEAVING_NOTICE_SECONDS:
            return ""
        return f"{self.name} got a call {late:.1f} s after it said that it leaves"

    def restart(self, *, closes: bool = False) -> None:
        """Continue as a new incarnation of the same name.

        Parameters
        ----------
        closes
            Whether all connections are closed instead of reset.
        """
        if closes:
            self.server.close_connections()
        was_down = self.server.resets_connections
        self.server.start_resetting()
        self.started_at_ms = max(int(time.time() * 1000), self.started_at_ms + 1)
        self.order_count = 0
        self.restarted_at = time.monotonic()
        if self.cold is not None:
            # An engine that was down has reset all connections of VMs, which know by
            # that; the successor of one that was not answers at once.
            notice_seconds = 0.0 if was_down else NOTICE_SECONDS
            self.cold.restart(self.restarted_at, notice_seconds)
        self.is_leaving = False
        self.left_at = None
        self.limited_at = None
        self.arrivals.clear()
        self.arrived_ids.clear()
        self.pauses.clear()
        self.server.stop_resetting()

    def _has_crashing_part(self, request: RawRequest) -> bool:
        text = request.headers.get("gypsumsail-prompt-prefix", "")
        names = [item.partition(":")[0] for item in text.split(",")]
        return not self.crashing_parts.isdisjoint(names[:-1])

    def _crash(self, crashes: list[float]) -> None:
        """Reset all connections until the engine is back as a new incarnation.

        Parameters
        ----------
        crashes
            List to which the time is added.
        """
        if self.server.resets_connections:
            return
        crashes.append(time.monotonic())
        self.server.start_resetting()
        task = asyncio.get_running_loop().create_task(self._async_come_back())
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def _async_come_back(self) -> None:
        await asyncio.sleep(CRASHED_SECONDS)
        self.restart()
        await self.register(self.registered_address)

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Respond to one request; return whether the connection stays open."""
        is_meant = self._is_meant(request)
        if self.is_engine and is_meant and request.path == "/v1/report":
            report = json.dumps(self._report()).encode()
            headers = {**self._notices(), **self._cold_notice()}
            self._write(writer, encode_response(200, report, headers))
            return True
        if self.cold is not None and is_meant and request.path == HEALTH_PATH:
            headers = {**self._notices(), **self._cold_notice()}
            self._write(writer, encode_response(200, b"", headers))
            return True
        if self.is_engine and is_meant and request.path == "/v1/order":
            return await self._order(request, writer)
        return await self._run(request, writer)

    def _is_meant(self, request: RawRequest) -> bool:
        """Return whether a request names this target or none."""
        named = request.headers.get("gypsumsail-target-instance", self.name)
        return named == self.name

    def _report(self) -> dict[str, Any]:
        models = [{"name": "m0", "version": self.version}]
        return {
            "busy": False,
            "call_seq": self.order_count,
            "born": self.started_at_ms,
            "models": models,
        }

    def _notices(self) -> dict[str, str]:
        """Return the headers that all answers have."""
        notices = {}
        if self.limit:
            notices["Server-Limit"] = self.limit
        if self.is_leaving:
            notices["Server-Leaving"] = "1"
        return notices

    def _cold_notice(self) -> dict[str, str]:
        """Return the header that health answers and reports have besides."""
        if self.cold is None:
            return {}
        return {"Gypsumsail-Cold-Ms": str(self.cold.left_ms(time.monotonic()))}

    def _note_request(self, request_id: str, *, is_refused: bool) -> bool:
        """Record a request to an engine; return whether it crashes at it.

        Parameters
        ----------
        is_refused
            Whether the answer is 421, so that the request is no load for a cold engine.
        """
        now = time.monotonic()
        phase = None if is_refused else self.cold
        cold = phase.time_at(now) if phase else None
        self.execution_log.requests.append(
            EngineRequest(now, self.name, self.zone, request_id, cold)
        )
        return phase is not None and phase.crashes_at(now)

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write an answer, or its head; note when a VM was first told of a notice.

        An answer that is never written tells nobody.
        """
        if writer.transport.is_closing():
            return
        now = time.monotonic()
        if b"\r\nServer-Limit: " in data:
            self.limited_at = self.limited_at or now
        if b"\r\nServer-Leaving: " in data:
            self.left_at = self.left_at or now
        writer.write(data)

    async def _order(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        order = json.loads(request.body)
        is_taken = order.get("expect", self.order_count) == self.order_count
        request_id = request.headers.get("gypsumsail-request-id", "")
        arrived = ArrivedOrder(
            at=time.monotonic(),
            engine=self.name,
            holder=order["holder"],
            fence=order["fence"],
            vm=request_id.removeprefix("system-order-").rpartition("-")[0],
            is_taken=is_taken,
        )
        self.execution_log.orders.append(arrived)
        if not is_taken:
            self._write(writer, encode_response(409, b"", self._notices()))
            return True
        self.order_count += 1
        self.fences.append(order["fence"])
        await asyncio.sleep(0.2)
        self.version = order["version"]
        self._write(writer, encode_response(202, b"", self._notices()))
        return True

    async def _run(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        request_id = request.headers.get("gypsumsail-request-id", "")
        self.arrivals.append(time.monotonic())
        self.arrived_ids.append(request_id)
        if self.is_engine and self._has_crashing_part(request):
            self.crashing_arrivals.append(time.monotonic())
        response_headers = {
            "Gypsumsail-Request-Id": request_id,
            "Gypsumsail-Instance-Id": self.name,
            **self._notices(),
        }
        if not self._is_meant(request):
            self._write(writer, encode_response(421, b"", response_headers))
            return True
        expected = request.headers.get("gypsumsail-expect-version")
        is_mismatch = expected not in (None, str(self.version))
        if self.is_engine and self._note_request(request_id, is_refused=is_mismatch):
            self._crash(self.execution_log.cold_crashes)
            raise ConnectionError
        if not request_id:
            response_headers["Gypsumsail-Not-Run"] = "1"
            self._write(writer, encode_response(400, b"", response_headers))
            return True
        if self.is_engine and is_mismatch:
            mismatch_headers = {
                **response_headers,
                "Gypsumsail-Weight-Versions": str(self.version),
            }
            self._write(writer, encode_response(421, b"", mismatch_headers))
            return True
        if self.fault == "busy":
            response_headers["Gypsumsail-Not-Run"] = "1"
            if self.retry_after:
                pause = PauseAnswer(time.monotonic(), request_id, self.retry_after)
                self.pauses.append(pause)
                response_headers["Retry-After"] = self.retry_after
            self._write(writer, encode_response(503, b"", response_headers))
            return True
        if self.fault == "refused again" and self._refuses_again(writer, request_id):
            return True
        execution = self.execution_log.record_start(
            request_id,
            self.name,
            request.headers.get("gypsumsail-tenant", ""),
            RequestContent.of(request.method, request.target, request.body),
        )
        await asyncio.sleep(self.random.uniform(0.01, 0.06))
        if self.fault == "mute":
            await asyncio.sleep(20)
            return False
        if self.fault == "slow" and not self.is_engine:
            await asyncio.sleep(self.slow_answer_seconds)
        if self.fault == "reset":
            reset_connection(writer)
            return False
        response_headers["Gypsumsail-Server-Stamp"] = SERVER_STAMP
        if self.is_engine:
            self._read_prompt(request, request_id)
            await self._save_parts(request)
            await self._stream(request, request_id, response_headers, writer)
            execution.is_complete = True
            return not self.is_unframed
        body = event_content(request_id, 0).encode() + request.body
        body += self.answer_padding
        self._write(writer, encode_response(200, body, response_headers))
        if self.fault == "late double":
            copy = encode_response(200, body, response_headers)
            asyncio.get_running_loop().call_later(
                self.random.uniform(0.0, 0.1), writer.write, copy
            )
        if self.fault == "double":
            self._write(
                writer, encode_response(200, b"another answer", {**response_headers})
            )
        execution.is_complete = True
        return self.fault != "double"

    def _read_prompt(self, request: RawRequest, request_id: str) -> None:
        """Use the cached parts of a prompt and cache the others."""
        headers = request.headers
        parts = headers.get("gypsumsail-prompt-prefix", "").split(",")
        self.execution_log.part_uses += self.part_cache.read(
            headers.get("gypsumsail-cache-salt", ""),
            [part.partition(":")[0] for part in parts],
            request_id,
            headers.get("gypsumsail-tenant", ""),
            time.monotonic(),
        )

    async def _save_parts(self, request: RawRequest) -> None:
        """Save parts of the prompt to the context stores that the request names."""
        salt = request.headers.get("gypsumsail-cache-salt", "")
        stores = request.headers.get("gypsumsail-kv-save", "").split(",")
        parts = request.headers.get("gypsumsail-prompt-prefix", "").split(",")
        for address, item in zip(stores, parts, strict=False):
            name, _, tokens = item.partition(":")
            if store := self.context_stores.get(address):
                await store.async_save(salt, name, int(tokens))

    def _refuses_again(self, writer: asyncio.StreamWriter, request_id: str) -> bool:
        """Refuse the first call on a connection; repeat that refusal before others."""
        found = self.refusals.get(writer)
        if found is not None:
            writer.write(found)
            return False
        headers = {"Gypsumsail-Not-Run": "1"}
        self.refusals[writer] = encode_response(503, b"", headers)
        headers["Gypsumsail-Request-Id"] = request_id
        self._write(writer, encode_response(503, b"", headers))
        return True

    def _writes_error(
        self, response_headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call that goes on with a stream with an error, but not always."""
        errors = [
            (404, b"nothing here\n\n"),
            (500, b"error\n\n"),
            (204, b""),
            (200, b"error: no memory\n\n"),
        ]
        index = self.random.randrange(2 * len(errors))
        if index >= len(errors):
            return False
        status, body = errors[index]
        answer = encode_response(status, body, response_headers)
        if status == 204:
            answer = answer.replace(b"Content-Length: 0\r\n", b"")
        self._write(writer, answer)
        return True

    async def _drip(self, writer: asyncio.StreamWriter) -> None:
        """Send bytes of an event that never ends, until the connection is closed."""
        while not writer.transport.is_closing():
            writer.write(b"1\r\n:\r\n")
            await writer.drain()
            await asyncio.sleep(DRIP_SECONDS)
        raise ConnectionError

    async def _stream(
        self,
        request: RawRequest,
        request_id: str,
        response_headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        response_headers["Gypsumsail-Weight-Versions"] = str(self.version)
        first_event = int(request.headers.get("last-event-id", "0")) + 1
        may_write_error = self.fault == "cut and error" and first_event > 1
        if may_write_error and self._writes_error(response_headers, writer):
            return
        lines = [f"{name}: {value}" for name, value in response_headers.items()]
        if not self.is_unframed:
            lines.append("Transfer-Encoding: chunked")
        head = "\r\n".join(["HTTP/1.1 200 S", *lines, "", ""])
        self._write(writer, head.encode())
        wrote = f": {self.name} {self.started_at_ms} {self.build}\n"
        build = self.build
        if self._has_crashing_part(request):
            await asyncio.sleep(CRASH_DELAY_SECONDS)
            self._crash(self.crashes)
            raise ConnectionError
        began_as = request.headers.get("resumes", request_id)
        if self.fault == "drip":
            await self._drip(writer)
        # The fault ``cut`` ends the answer in event 5.
        is_cut = self.fault == "cut" or (
            self.fault == "cut and error" and first_event == 1
        )
        for event in range(first_event, LAST_EVENT + 1):
            if writer.transport.is_closing():
                raise ConnectionError
            content = event_content(began_as, event)
            text = f"{wrote}id: {event}\ndata: {content}\n\n".encode()
            if is_cut and event == 5:
                writer.write(b"%x\r\n%b" % (len(text), text[:7]))
                reset_connection(writer)
                raise ConnectionError
            writer.write(
                text if self.is_unframed else b"%x\r\n%b\r\n" % (len(text), text)
            )
            self.execution_log.builds.setdefault(began_as, set()).add(build)
            await writer.drain()
            await asyncio.sleep(
                SLOW_EVENT_SECONDS if self.fault == "slow" else EVENT_SECONDS
            )
        if not self.is_unframed:
            writer.write(b"0\r\n\r\n")
