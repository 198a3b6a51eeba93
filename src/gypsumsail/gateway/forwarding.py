"""Forwards calls to another VM while this one reaches no target of their service.

The other VM, the helper, serves the call as one of its own: limits, pauses, leaving
targets and blocked parts hold there. It never forwards the call again.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from gypsumsail.core.callback import callback
from gypsumsail.core.errors import TransportError
from gypsumsail.evacuations.homes import Homes
from gypsumsail.gateway.const import (
    FORWARD_TIMEOUT_MARGIN_SECONDS,
    MAX_ANSWER_BYTES,
    REACHABILITY_POLL_SECONDS,
    TIMEOUT_MARGIN_SECONDS,
)
from gypsumsail.gateway.job import Job
from gypsumsail.gateway.models import Call, HeaderPairs
from gypsumsail.gateway.outcomes import (
    NOT_RUN_STATUSES,
    Broken,
    Delivered,
    NotSent,
    SendOutcome,
    TimedOut,
)
from gypsumsail.gateway.port import CallerReply

if TYPE_CHECKING:
    from gypsumsail.gateway.coordinator import Gateway


class ForwardRefusal(StrEnum):
    """Why a helper did not take a call.

    Attributes
    ----------
    UNREACHABLE
        The helper reaches no target of the service either.
    OLDER_DOCUMENT
        The helper has an older routing document than the sender.
    FULL
        The helper serves as many forwarded calls as it takes.
    STOPPING
        The helper is shutting down.
    """

    UNREACHABLE = "unreachable"
    OLDER_DOCUMENT = "older document"
    FULL = "full"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardTerms:
    """Parameters that accompany a forwarded call.

    Attributes
    ----------
    service
        Service that the sender has chosen for the call.
    document_revision
        Revision of the sender's routing document.
    max_targets
        Number of targets to which the helper may send the call.
    time_left
        Seconds until the deadline of the call.
    build
        Build at which a stream goes on; empty for any.
    """

    service: str
    document_revision: int
    max_targets: int
    time_left: float
    build: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardHead:
    """Head of a helper's answer.

    Attributes
    ----------
    refusal
        Why the helper did not take the call; ``None`` if it took it.
    is_stream
        Whether the body comes in parts that are passed on as they arrive.
    """

    status: int
    headers: HeaderPairs
    refusal: ForwardRefusal | None
    is_stream: bool


class ForwardExchange(Protocol):
    """A call that was sent to a helper, and its answer."""

    async def async_head(self) -> ForwardHead:
        """Return the head of the answer; raises ``TransportError``."""

    async def async_read(self) -> bytes:
        """Return bytes of the body, empty at its end; raises ``TransportError``."""

    async def async_read_all(self, limit: int) -> bytes:
        """Return the complete body of at most ``limit`` bytes."""

    def finish(self) -> None:
        """Release the connection, or close it if the answer is incomplete."""


class ForwardClient(Protocol):
    """Client that sends calls to helpers."""

    async def async_forward(
        self, host: str, call: Call, terms: ForwardTerms
    ) -> ForwardExchange:
        """Send a call; raises ``TransportError`` only if no byte of it was sent."""


class HelperDirectory(Protocol):
    """Chooses helpers and learns from their answers."""

    def choose(
        self, service: str, tried: set[str], homes: Homes, now: float
    ) -> str | None:
        """Return the host of a helper; ``None`` if there is none."""

    def begin(self, host: str) -> None:
        """Count a call that is forwarded to a helper."""

    def end(self, host: str) -> None:
        """Stop to count a call."""

    def record_served(self, host: str, service: str, now: float) -> None:
        """Record that a helper took a call."""

    def record_failure(self, host: str, now: float) -> None:
        """Record that a helper can't be connected to, or broke off an answer."""

    def record_refusal(
        self, host: str, service: str, refusal: ForwardRefusal, now: float
    ) -> None:
        """Record that a helper did not take a call."""

    def is_silent(self, host: str, now: float) -> bool:
        """Return whether a helper has sent no message for too long."""


class ForwardSend:
    """One attempt to have a call served by a helper.

    Attributes
    ----------
    allowed_targets
        Number of targets to which the helper may send the call. One stays for another
        helper, if this one fails.
    """

    def __init__(
        self, gateway: Gateway, job: Job, host: str, reply: CallerReply
    ) -> None:
        assert gateway.forward_client is not None
        assert gateway.helpers is not None
        self.client = gateway.forward_client
        self.helpers = gateway.helpers
        self.clock = gateway.clock
        self.document_revision = gateway.document_revision
        self.job = job
        self.host = host
        self.reply = reply
        self.may_have_run_before = job.may_have_run
        targets_left = job.route.max_targets - job.targets_used
        self.allowed_targets = max(targets_left - 1, 1)

    async def async_run(self) -> SendOutcome:
        """Forward the call and pass the answer on to the caller."""
        self.job.helpers_tried.add(self.host)
        self.helpers.begin(self.host)
        left = self.job.deadline - self.clock.monotonic()
        margin = TIMEOUT_MARGIN_SECONDS + FORWARD_TIMEOUT_MARGIN_SECONDS
        try:
            async with asyncio.timeout(max(left + margin, 0.0)):
                return await self._async_exchange(left)
        except TimeoutError:
            if not self.job.may_have_run:
                return NotSent(reason="the deadline passed before the VM was connected")
            return TimedOut()
        finally:
            self.helpers.end(self.host)

    async def _async_exchange(self, time_left: float) -> SendOutcome:
        job = self.job
        terms = ForwardTerms(
            service=job.service,
            document_revision=self.document_revision,
            max_targets=self.allowed_targets,
            time_left=time_left,
            build=job.build or "",
        )
        try:
            exchange = await self.client.async_forward(self.host, job.call, terms)
        except TransportError as err:
            self.helpers.record_failure(self.host, self.clock.monotonic())
            return NotSent(reason=str(err))
        job.connection = None
        job.may_have_run = True
        job.targets_used += self.allowed_targets
        try:
            return await self._async_answer(exchange)
        except TransportError as err:
            self.helpers.record_failure(self.host, self.clock.monotonic())
            return Broken(reason=str(err))
        finally:
            exchange.finish()

    async def _async_answer(self, exchange: ForwardExchange) -> SendOutcome:
        head = await self._async_head(exchange)
        now = self.clock.monotonic()
        if head is None:
            self.helpers.record_failure(self.host, now)
            return Broken(reason="abandoned: the other VM is silent")
        if head.refusal is not None:
            return await self._async_refused(exchange, head.refusal, now)
        self.helpers.record_served(self.host, self.job.service, now)
        if head.is_stream:
            return await self._async_stream(exchange, head)
        body = await exchange.async_read_all(MAX_ANSWER_BYTES)
        if head.status in NOT_RUN_STATUSES and self.may_have_run_before:
            # An earlier helper may have had the call run.
            return Broken(reason="not run by this VM, but may have run before")
        self.job.first_at = self.clock.monotonic()
        self.reply.send(head.status, head.headers, body)
        return Delivered(status=head.status)

    async def _async_head(self, exchange: ForwardExchange) -> ForwardHead | None:
        """Return the head; ``None`` if another helper should be tried instead."""
        while self._may_abandon():
            try:
                async with asyncio.timeout(REACHABILITY_POLL_SECONDS):
                    return await exchange.async_head()
            except TimeoutError:
                if self.helpers.is_silent(self.host, self.clock.monotonic()):
                    return None
        return await exchange.async_head()

    def _may_abandon(self) -> bool:
        route = self.job.route
        return route.may_repeat and self.job.targets_used < route.max_targets

    async def _async_refused(
        self, exchange: ForwardExchange, refusal: ForwardRefusal, now: float
    ) -> SendOutcome:
        await exchange.async_read_all(MAX_ANSWER_BYTES)
        self.job.may_have_run = self.may_have_run_before
        self.job.targets_used -= self.allowed_targets
        self.helpers.record_refusal(self.host, self.job.service, refusal, now)
        return NotSent(reason=f"not taken by the other VM: {refusal}")

    async def _async_stream(
        self, exchange: ForwardExchange, head: ForwardHead
    ) -> SendOutcome:
        self.reply.begin(head.status, head.headers)
        while data := await exchange.async_read():
            self.job.first_at = self.job.first_at or self.clock.monotonic()
            self.reply.write(data)
            # They aren't kept while a slow caller reads.
            del data
            await self.reply.async_drain()
        self.reply.end()
        return Delivered(status=head.status)


@callback
def forward_refusal(
    gateway: Gateway, terms: ForwardTerms, now: float
) -> ForwardRefusal | None:
    """Return why this VM does not take a call of another VM; ``None`` if it does."""
    document = gateway.document
    if document is None or document.revision < terms.document_revision:
        return ForwardRefusal.OLDER_DOCUMENT
    if gateway.view.is_cut_off(terms.service, now):
        return ForwardRefusal.UNREACHABLE
    return None
