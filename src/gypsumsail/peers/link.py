"""One authenticated link to another entry."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
import contextlib
from dataclasses import dataclass, field
import itertools
import logging

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.peers.const import (
    MAX_BODY_BYTES,
    MAX_RUNNING_HANDLERS,
    SEND_QUEUE_BYTES,
    SEND_QUEUE_FRAMES,
)
from gypsumsail.peers.diagnostics import PeerCounters
from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.peers.frames import (
    Answer,
    Ask,
    Failure,
    Frame,
    Tell,
    decode_frame,
    encode_frame,
)
from gypsumsail.peers.handshake import Identity, Seal
from gypsumsail.peers.port import EntryId, Message
from gypsumsail.peers.stamps import Stamps, put_stamp, take_stamp

_LOGGER = logging.getLogger(__name__)

Dispatch = Callable[[EntryId, Message], Awaitable[Message | None]]


@dataclass(slots=True, kw_only=True)
class _Outgoing:
    """A frame that waits to be sent; ``started`` once a byte may have left."""

    body: bytes
    started: bool = False
    withdrawn: bool = False


@dataclass(slots=True, kw_only=True)
class _Waiting:
    """A request that waits for its answer."""

    outgoing: _Outgoing
    answer: asyncio.Future[Message | None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Link:
    """Frames to and from one peer.

    Attributes
    ----------
    peer
        The proven identity of the other side.
    last_used
        Monotonic seconds of the last message either way, answers aside.
    """

    def __init__(
        self,
        connection: Connection,
        peer: Identity,
        *,
        seal_out: Seal,
        seal_in: Seal,
        dispatch: Dispatch,
        counters: PeerCounters,
        stamps: Stamps,
        clock: Clock,
    ) -> None:
        self.connection = connection
        self.peer = peer
        self.seal_out = seal_out
        self.seal_in = seal_in
        self.dispatch = dispatch
        self.counters = counters
        self.stamps = stamps
        self.clock = clock
        self.last_used = clock.monotonic()
        self.closed = False
        self.queue: deque[_Outgoing] = deque()
        self.queued_bytes = 0
        self.waiting: dict[int, _Waiting] = {}
        self.handlers: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)
        self._wake = asyncio.Event()
        self._room = asyncio.Semaphore(MAX_RUNNING_HANDLERS)

    @property
    def busy(self) -> bool:
        """Whether something is waiting or running on the link."""
        return bool(self.queue or self.waiting or self.handlers)

    async def async_run(self) -> None:
        """Send and receive until the link ends."""
        writer = asyncio.create_task(self._async_write())
        try:
            await self._async_read()
        except ConnectionClosed:
            pass
        except MessageInvalidError as error:
            self.counters.refused += 1
            _LOGGER.warning("Link to %s closed: %s", self.peer.entry.name, error)
        finally:
            self._end()
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writer
            await self.connection.close()

    async def async_close(self) -> None:
        """Close the link; its run ends."""
        await self.connection.close()

    @callback
    def send(self, message: Message) -> None:
        """Queue a message; raises TransportError."""
        self.last_used = self.clock.monotonic()
        self._put(Tell(message=message))

    async def async_request(
        self, message: Message, *, timeout: float
    ) -> Message | None:
        """Send a request and wait for its answer; raises TransportError."""
        self.last_used = self.clock.monotonic()
        number = next(self._numbers)
        waiting = _Waiting(outgoing=self._put(Ask(number=number, message=message)))
        self.waiting[number] = waiting
        try:
            async with asyncio.timeout(timeout):
                return await waiting.answer
        except TimeoutError as error:
            raise TransportError(
                f"no answer from {self.peer.entry.name} in {timeout} s",
                sent=waiting.outgoing.started,
            ) from error
        finally:
            waiting.outgoing.withdrawn = True
            self.waiting.pop(number, None)

    def _put(self, frame: Frame) -> _Outgoing:
        if self.closed:
            raise TransportError("link is closed", sent=False)
        body = encode_frame(frame)
        if len(body) > MAX_BODY_BYTES:
            raise TransportError("message is too large", sent=False)
        full = len(self.queue) >= SEND_QUEUE_FRAMES
        if full or self.queued_bytes + len(body) > SEND_QUEUE_BYTES:
            self.counters.dropped += 1
            raise TransportError("send queue is full", sent=False)
        outgoing = _Outgoing(body=body)
        self.queue.append(outgoing)
        self.queued_bytes += len(body)
        self._wake.set()
        return outgoing

    async def _async_write(self) -> None:
        with contextlib.suppress(ConnectionClosed):
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self.queue:
                    await self._async_write_one(self.queue.popleft())

    async def _async_write_one(self, outgoing: _Outgoing) -> None:
        self.queued_bytes -= len(outgoing.body)
        if outgoing.withdrawn:
            return
        outgoing.started = True
        stamped = put_stamp(self.stamps.timestamp(), outgoing.body)
        frame = self.seal_out.close(stamped)
        self.counters.count_sent(len(frame))
        await self.connection.send(frame)

    async def _async_read(self) -> None:
        async for data in self.connection:
            if isinstance(data, str):
                raise MessageInvalidError("frame is not binary")
            self.counters.count_received(len(data))
            stamp, body = take_stamp(self.seal_in.open(data))
            self.stamps.observe(stamp)
            await self._async_take(decode_frame(body))

    async def _async_take(self, frame: Frame) -> None:
        match frame:
            case Tell(message=message):
                await self._async_start(message, number=None)
            case Ask(number=number, message=message):
                await self._async_start(message, number=number)
            case Answer(number=number, message=answer):
                self._resolve(number, answer)
            case Failure(number=number, reason=reason):
                self._fail(number, reason)

    async def _async_start(self, message: Message, *, number: int | None) -> None:
        self.last_used = self.clock.monotonic()
        await self._room.acquire()
        task = asyncio.create_task(self._async_handle(message, number))
        self.handlers.add(task)
        task.add_done_callback(self._handled)

    def _handled(self, task: asyncio.Task[None]) -> None:
        self.handlers.discard(task)
        self._room.release()

    async def _async_handle(self, message: Message, number: int | None) -> None:
        reply: Frame
        try:
            answer = await self.dispatch(self.peer.entry, message)
            reply = Answer(number=number or 0, message=answer)
        except Exception as error:
            _LOGGER.exception("Handler of %s failed", type(message).__name__)
            reply = Failure(number=number or 0, reason=type(error).__name__)
        if number is None:
            return
        with contextlib.suppress(TransportError):
            self._put(reply)

    def _resolve(self, number: int, answer: Message | None) -> None:
        waiting = self.waiting.get(number)
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_result(answer)

    def _fail(self, number: int, reason: str) -> None:
        waiting = self.waiting.get(number)
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_exception(
                TransportError(f"the peer's handler failed: {reason}", sent=True)
            )

    def _end(self) -> None:
        self.closed = True
        for waiting in self.waiting.values():
            if not waiting.answer.done():
                waiting.answer.set_exception(
                    TransportError("link ended", sent=waiting.outgoing.started)
                )
        for task in self.handlers:
            task.cancel()
