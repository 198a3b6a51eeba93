"""What the gateway asks of the outside: exchanges with targets, replies to callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from gypsumsail.gateway.models import Address, Call, HeaderPairs, TargetEntry
from gypsumsail.gateway.targets import ReportedLoad


@dataclass(frozen=True, slots=True, kw_only=True)
class ContextTransfer:
    """Parts of a prompt that an engine fetches from stores and saves to them.

    Attributes
    ----------
    fetch, save
        One store for each part of the prompt, ``None`` for no store; empty when
        there is nothing to move.
    fetch_until_ms
        Time on the clock of the engines at which an unfinished fetch is thrown away.
    """

    fetch: tuple[Address | None, ...] = ()
    save: tuple[Address | None, ...] = ()
    fetch_until_ms: int = 0


NO_TRANSFER = ContextTransfer()


@dataclass(frozen=True, slots=True, kw_only=True)
class SendTerms:
    """What goes with a call to a target.

    Attributes
    ----------
    time_left
        Seconds after which the target stops its work.
    cache_scope
        Text under which an engine finds cached parts.
    weight_version
        Version of the weights that the engine must have; ``None`` for any.
    resume_after
        Last event that the caller has; empty for a new run.
    """

    time_left: float
    customer: str
    priority: int
    cache_scope: str = ""
    weight_version: int | None = None
    resume_after: str = ""
    transfer: ContextTransfer = NO_TRANSFER


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Head of a target's answer.

    Attributes
    ----------
    is_signed
        Whether it bears the target's own signature.
    says_not_run
        Whether the target states that it did not run the call.
    is_wrong_target
        Whether another target than the named one has the address, or its weights
        have another version.
    headers
        Those that go on to the caller.
    """

    status: int
    is_signed: bool
    says_not_run: bool
    is_wrong_target: bool
    target_name: str
    load: ReportedLoad | None
    weight_version: int | None
    headers: HeaderPairs


class Exchange(Protocol):
    """One call at a target."""

    async def async_head(self) -> AnswerHead:
        """Wait for the head; raises ``TransportError``."""

    async def async_read(self) -> bytes:
        """Return bytes of the body; empty at its end; raises ``TransportError``."""

    async def async_read_all(self, limit: int) -> bytes:
        """Return the whole body; raises ``TransportError``."""

    def finish(self) -> None:
        """Give the connection back, or close it when the answer isn't whole."""

    def abort(self) -> None:
        """Close the connection, so that the target stops its work."""


class TargetCalls(Protocol):
    """Sends calls to targets."""

    async def async_send(
        self, target: TargetEntry, call: Call, terms: SendTerms, now: float
    ) -> Exchange:
        """Send a call; raises ``TransportError``, with nothing sent if it says so."""

    async def async_check(self, target: TargetEntry) -> None:
        """Open a connection and keep it for a call; raises ``TransportError``."""

    def forget(self, target: TargetEntry) -> None:
        """Close idle connections to a target that is gone."""


class CallerReply(Protocol):
    """The reply to a caller."""

    @property
    def has_begun(self) -> bool:
        """Return whether any byte of the reply was sent."""

    def send(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Send a whole reply."""

    def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of a stream."""

    def write(self, data: bytes) -> None:
        """Send a part of a stream."""

    def end(self) -> None:
        """Mark a stream as whole."""

    def abort(self) -> None:
        """Break the reply off, so that it can't look whole."""

    async def async_drain(self) -> None:
        """Wait while the caller reads slowly."""
