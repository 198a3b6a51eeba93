"""An authenticated link to another entry."""

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
    MAX_QUEUED_BYTES,
    MAX_QUEUED_FRAMES,
    MAX_RUNNING_HANDLERS,
)
from gypsumsail.peers.diagnostics import PeerCounters
from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.peers.frames import (
    ErrorResponse,
    Frame,
    Notification,
    Request,
    Response,
    decode_frame,
    encode_frame,
)
from gypsumsail.peers.handshake import FrameAuthenticator, Identity
from gypsumsail.peers.hybrid_clock import (
    HybridClock,
    prepend_timestamp,
    split_timestamp,
)
from gypsumsail.peers.port import EntryId, Message

_LOGGER = logging.getLogger(__name__)

Dispatch = Callable[[EntryId, Message], Awaitable[Message | None]]


@dataclass(slots=True, kw_only=True)
class _QueuedFrame:
    """A frame in the send queue; ``started`` is set before its first byte is sent."""

    body: bytes
    started: bool = False
    cancelled: bool = False


@dataclass(slots=True, kw_only=True)
class _PendingRequest:
    """A request that waits for its response."""

    outgoing: _QueuedFrame
    answer: asyncio.Future[Message | None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Link:
    """Sends frames to one peer and receives frames from it.

    Attributes
    ----------
    peer
        Authenticated identity of the peer.
    last_used
        Monotonic time in seconds of the last message in either direction, not
        counting responses.
    """

    def __init__(
        self,
        connection: Connection,
        peer: Identity,
        *,
        send_authenticator: FrameAuthenticator,
        receive_authenticator: FrameAuthenticator,
        dispatch: Dispatch,
        counters: PeerCounters,
        hybrid_clock: HybridClock,
        clock: Clock,
    ) -> None:
        self.connection = connection
        self.peer = peer
        self.send_authenticator = send_authenticator
        self.receive_authenticator = receive_authenticator
        self.dispatch = dispatch
        self.counters = counters
        self.hybrid_clock = hybrid_clock
        self.clock = clock
        self.last_used = clock.monotonic()
        self.closed = False
        self.queue: deque[_QueuedFrame] = deque()
        self.queued_bytes = 0
        self.pending: dict[int, _PendingRequest] = {}
        self.handlers: set[asyncio.Task[None]] = set()
        self._request_numbers = itertools.count(1)
        self._frames_queued = asyncio.Event()
        self._handler_slots = asyncio.Semaphore(MAX_RUNNING_HANDLERS)

    @property
    def busy(self) -> bool:
        """Return whether frames are queued, requests are pending or handlers run."""
        return bool(self.queue or self.pending or self.handlers)

    async def async_run(self) -> None:
        """Send and receive frames until the link is closed."""
        writer = asyncio.create_task(self._async_write())
        try:
            await self._async_read()
        except ConnectionClosed:
            pass
        except MessageInvalidError as error:
            self.counters.refused += 1
            _LOGGER.warning("Closing link to %s: %s", self.peer.entry.name, error)
        finally:
            self._abort_pending()
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writer
            await self.connection.close()

    async def async_close(self) -> None:
        """Close the link, which makes ``async_run`` return."""
        await self.connection.close()

    @callback
    def send(self, message: Message) -> None:
        """Queue a message for sending; raises TransportError."""
        self.last_used = self.clock.monotonic()
        self._enqueue(Notification(message=message))

    async def async_request(
        self, message: Message, *, timeout: float
    ) -> Message | None:
        """Send a request and wait for its response; raises TransportError."""
        self.last_used = self.clock.monotonic()
        number = next(self._request_numbers)
        waiting = _PendingRequest(
            outgoing=self._enqueue(Request(number=number, message=message))
        )
        self.pending[number] = waiting
        try:
            async with asyncio.timeout(timeout):
                return await waiting.answer
        except TimeoutError as error:
            raise TransportError(
                f"no response from {self.peer.entry.name} within {timeout} s",
                sent=waiting.outgoing.started,
            ) from error
        finally:
            waiting.outgoing.cancelled = True
            self.pending.pop(number, None)

    def _enqueue(self, frame: Frame) -> _QueuedFrame:
        if self.closed:
            raise TransportError("link is closed", sent=False)
        body = encode_frame(frame)
        if len(body) > MAX_BODY_BYTES:
            raise TransportError("message is too large", sent=False)
        full = len(self.queue) >= MAX_QUEUED_FRAMES
        if full or self.queued_bytes + len(body) > MAX_QUEUED_BYTES:
            self.counters.dropped += 1
            raise TransportError("send queue is full", sent=False)
        outgoing = _QueuedFrame(body=body)
        self.queue.append(outgoing)
        self.queued_bytes += len(body)
        self._frames_queued.set()
        return outgoing

    async def _async_write(self) -> None:
        with contextlib.suppress(ConnectionClosed):
            while True:
                await self._frames_queued.wait()
                self._frames_queued.clear()
                while self.queue:
                    await self._async_write_one(self.queue.popleft())

    async def _async_write_one(self, outgoing: _QueuedFrame) -> None:
        self.queued_bytes -= len(outgoing.body)
        if outgoing.cancelled:
            return
        outgoing.started = True
        stamped = prepend_timestamp(self.hybrid_clock.timestamp(), outgoing.body)
        frame = self.send_authenticator.sign(stamped)
        self.counters.count_sent(len(frame))
        await self.connection.send(frame)

    async def _async_read(self) -> None:
        async for data in self.connection:
            if isinstance(data, str):
                raise MessageInvalidError("frame is not binary")
            self.counters.count_received(len(data))
            stamp, body = split_timestamp(self.receive_authenticator.verify(data))
            self.hybrid_clock.observe(stamp)
            await self._async_process_frame(decode_frame(body))

    async def _async_process_frame(self, frame: Frame) -> None:
        match frame:
            case Notification(message=message):
                await self._async_start_handler(message, number=None)
            case Request(number=number, message=message):
                await self._async_start_handler(message, number=number)
            case Response(number=number, message=answer):
                self._resolve(number, answer)
            case ErrorResponse(number=number, reason=reason):
                self._fail(number, reason)

    async def _async_start_handler(
        self, message: Message, *, number: int | None
    ) -> None:
        self.last_used = self.clock.monotonic()
        await self._handler_slots.acquire()
        task = asyncio.create_task(self._async_handle(message, number))
        self.handlers.add(task)
        task.add_done_callback(self._on_handler_done)

    def _on_handler_done(self, task: asyncio.Task[None]) -> None:
        self.handlers.discard(task)
        self._handler_slots.release()

    async def _async_handle(self, message: Message, number: int | None) -> None:
        reply: Frame
        try:
            answer = await self.dispatch(self.peer.entry, message)
            reply = Response(number=number or 0, message=answer)
        except Exception as error:
            _LOGGER.exception("Error in the handler for %s", type(message).__name__)
            reply = ErrorResponse(number=number or 0, reason=type(error).__name__)
        # A notification gets no response.
        if number is None:
            return
        with contextlib.suppress(TransportError):
            self._enqueue(reply)

    def _resolve(self, number: int, answer: Message | None) -> None:
        waiting = self.pending.get(number)
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_result(answer)

    def _fail(self, number: int, reason: str) -> None:
        waiting = self.pending.get(number)
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_exception(
                TransportError(f"handler of the peer failed: {reason}", sent=True)
            )

    def _abort_pending(self) -> None:
        self.closed = True
        for waiting in self.pending.values():
            if not waiting.answer.done():
                waiting.answer.set_exception(
                    TransportError(
                        "link closed before the response arrived",
                        sent=waiting.outgoing.started,
                    )
                )
        for task in self.handlers:
            task.cancel()
