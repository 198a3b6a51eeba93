"""Calls in progress: the work of a call and the response to its caller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import RequestError
from gypsumsail.entry.answers import (
    BufferedSink,
    StreamSink,
    async_send_error,
    async_send_plain,
)
from gypsumsail.entry.head import Send
from gypsumsail.entry.models import Job, ModelJob, PlainJob
from gypsumsail.object_api.port import VmRecord
from gypsumsail.relay.model_work import EngineSelector, ModelWork
from gypsumsail.relay.plain_work import PlainSelector, PlainWork
from gypsumsail.relay.port import Work
from gypsumsail.targets.port import Engine, PlainService


class Call(Protocol):
    """A call in progress: its work, and the response to its caller."""

    @property
    def work(self) -> Work[Any]:
        """Return the work, which holds the job and sends it to targets."""

    async def async_finish(self) -> None:
        """Send the remainder of the complete answer."""

    async def async_fail(self, error: RequestError) -> None:
        """Send the error that ends the call."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFactory:
    """Creates the calls of validated jobs."""

    engine_selector: EngineSelector
    plain_selector: PlainSelector
    engine_of: Callable[[VmRecord], Engine]
    plain_service_of: Callable[[VmRecord], PlainService]
    cancel: Callable[[VmRecord, str], None]
    clock: Clock

    def make(self, job: Job, send: Send) -> Call:
        """Return a call that serves the job."""
        match job:
            case ModelJob():
                return ModelCall(job, send, self)
            case PlainJob():
                return PlainCall(job, send, self)
        raise TypeError(f"unsupported job type {type(job).__name__}")


class ModelCall:
    """A call that model engines serve, and its response."""

    def __init__(self, job: ModelJob, send: Send, factory: CallFactory) -> None:
        self.send = send
        self.job = job
        self.closed = False
        make_sink = StreamSink if job.body.stream else BufferedSink
        self.sink: StreamSink | BufferedSink = make_sink(
            self._async_send, job.request_id, job.body.model
        )
        self.work = ModelWork(
            job,
            self.sink,
            selector=factory.engine_selector,
            engine_of=factory.engine_of,
            cancel=factory.cancel,
            clock=factory.clock,
        )

    async def _async_send(self, message: object) -> None:
        """Send a message unless the call has ended while its job still runs."""
        if not self.closed:
            await self.send(message)

    async def async_finish(self) -> None:
        """Mark the call as ended; the sink has already sent the answer."""
        self.closed = True

    async def async_fail(self, error: RequestError) -> None:
        """Send the error as the response, or as the last event of a stream."""
        if self.closed:
            return
        if isinstance(self.sink, StreamSink) and self.sink.response_started:
            await self.sink.async_fail(error)
        elif not self.sink.response_started:
            await async_send_error(self.send, error, self.job.request_id)
        self.closed = True


class PlainCall:
    """A call that targets of a plain service serve, and its response."""

    def __init__(self, job: PlainJob, send: Send, factory: CallFactory) -> None:
        self.send = send
        self.job = job
        self.closed = False
        self.work = PlainWork(
            job,
            selector=factory.plain_selector,
            service_of=factory.plain_service_of,
            clock=factory.clock,
        )

    async def async_finish(self) -> None:
        """Send the complete answer."""
        if self.closed or self.work.answer is None:
            return
        self.closed = True
        await async_send_plain(self.send, self.work.answer, self.job.request_id)

    async def async_fail(self, error: RequestError) -> None:
        """Send the error as the response."""
        if self.closed:
            return
        self.closed = True
        await async_send_error(self.send, error, self.job.request_id)
