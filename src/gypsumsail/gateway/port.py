"""Interfaces (protocols) through which the gateway reaches targets and callers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from gypsumsail.cold_targets.models import ColdStatement
from gypsumsail.gateway.models import Address, Call, HeaderPairs, TargetEntry
from gypsumsail.gateway.notices import NO_NOTICES, AnswerNotices
from gypsumsail.gateway.targets import TargetReportedLoad


@dataclass(frozen=True, slots=True, kw_only=True)
class ContextTransfer:
    """Where an engine fetches the KV cache of prompt parts, and where it saves it.

    Attributes
    ----------
    fetch
        For each part of the prompt, the engine or store to fetch it from, or ``None``;
        empty if nothing is fetched.
    save
        For each part of the prompt, the store to save it to, or ``None``; empty if
        nothing is saved.
    fetch_until_ms
        Time in milliseconds, on the clock of the engines, at which an unfinished
        fetch is discarded.
    """

    fetch: tuple[Address | None, ...] = ()
    save: tuple[Address | None, ...] = ()
    fetch_until_ms: int = 0


NO_TRANSFER = ContextTransfer()


class LifeProof(Enum):
    """What is asked of a target, before a call, about the process that will run it.

    Attributes
    ----------
    NONE
        Nothing.
    STATED
        Its life, over the connection of the call; the call is sent whatever it is.
    SAME
        The same; the call is sent only if it is the life of the target's entry.
    """

    NONE = auto()
    STATED = auto()
    SAME = auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class SendTerms:
    """Parameters that accompany a call to a target.

    Attributes
    ----------
    time_left
        Seconds after which the target stops its work.
    priority
        Priority at the engine; it is unrelated to the priority of the route.
    cache_scope
        Scope under which an engine looks up cached prompt parts.
    weight_version
        Version of the weights that the engine must have; ``None`` for any.
    resume_after
        Id of the last event that the caller has received; empty for a new run.
    """

    time_left: float
    customer: str
    priority: int
    cache_scope: str = ""
    weight_version: int | None = None
    resume_after: str = ""
    transfer: ContextTransfer = NO_TRANSFER
    life_proof: LifeProof = LifeProof.NONE


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Head of a target's answer.

    Attributes
    ----------
    is_signed
        Whether the answer has the target's own signature.
    says_not_run
        Whether the target states that it did not run the call.
    is_wrong_target
        Whether the answer reports a mismatch: another target than the addressed one
        answered, or the weights do not have the expected version. ``target_name``
        tells the two apart. ``NotTaken.is_wrong_target`` is true only if another
        target answered.
    target_name
        Name that the target gave; empty where it gave none.
    headers
        Headers that are forwarded to the caller.
    is_framed
        Whether the answer has a length or comes in chunks. Otherwise it ends with its
        connection, as it also does when the target fails.
    notices
        What the target says of itself.
    """

    status: int
    is_signed: bool
    says_not_run: bool
    is_wrong_target: bool
    target_name: str
    load: TargetReportedLoad | None
    weight_version: int | None
    headers: HeaderPairs
    is_framed: bool = True
    notices: AnswerNotices = NO_NOTICES

    def is_from_another(self, addressed: str) -> bool:
        """Return whether another target than the addressed one answered."""
        return self.is_wrong_target and self.target_name not in ("", addressed)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionUse:
    """Which use of which connection a call to a target is.

    Attributes
    ----------
    port
        Local port of the connection.
    number
        Number of the call on the connection, from 1.
    """

    port: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SkippedAnswer:
    """Answer that came for a call and does not bear its id.

    Attributes
    ----------
    request_id
        Id that it bears; ``None`` without one.
    expected_id
        Id of the call.
    number
        Number of skipped answers to the call so far, from 1.
    """

    status: int
    request_id: str | None
    expected_id: str
    use: ConnectionUse
    number: int


class Exchange(Protocol):
    """A call that was sent to a target, and its answer."""

    @property
    def use(self) -> ConnectionUse | None:
        """Return the connection of the call, if it is known."""

    @property
    def life(self) -> int | None:
        """Return the life that the target has stated over the connection, if any."""

    async def async_head(self) -> AnswerHead:
        """Return the head of the answer; raises ``TransportError``."""

    async def async_read(self) -> bytes:
        """Return bytes of the body, empty at its end; raises ``TransportError``."""

    async def async_read_all(self, limit: int) -> bytes:
        """Return the complete body; raises ``TransportError``.

        Parameters
        ----------
        limit
            Largest body in bytes.
        """

    def finish(self) -> None:
        """Release the connection, or close it if the answer is incomplete."""

    def abort(self) -> None:
        """Close the connection, so that the target stops its work."""


class TargetClient(Protocol):
    """Client that sends calls to targets.

    Attributes
    ----------
    on_skipped
        Called with a target and an answer of it that was not taken.
    on_cold_stated
        Called with a target that says in the answer to a check how long it stays cold,
        and the time at which the check was sent.
    """

    on_skipped: Callable[[TargetEntry, SkippedAnswer], None]
    on_cold_stated: Callable[[TargetEntry, ColdStatement, float], None]

    async def async_send(
        self, target: TargetEntry, call: Call, terms: SendTerms, now: float
    ) -> Exchange:
        """Send a call; raises ``TransportError`` only if no byte of it was sent."""

    async def async_check(self, target: TargetEntry) -> None:
        """Open a connection and pool it for a call; raises ``TransportError``."""

    async def async_life(self, target: TargetEntry) -> int | None:
        """Return the life that an engine states over a new connection, if any.

        Raises ``TransportError`` if it does not answer, or another target does.
        """

    async def async_check_health(self, target: TargetEntry, path: str) -> None:
        """Check that a plain target answers at a path without running a call.

        Raises ``TransportError`` if it does not answer, or another target does.
        """

    def forget(self, target: TargetEntry) -> None:
        """Close idle connections to a target that was removed."""


class CallerReply(Protocol):
    """Reply to a caller."""

    @property
    def has_begun(self) -> bool:
        """Return whether any byte of the reply has been sent."""

    def send(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Send a complete reply."""

    def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of a stream."""

    def write(self, data: bytes) -> None:
        """Send a part of a stream."""

    def end(self) -> None:
        """Mark a stream as complete."""

    def abort(self) -> None:
        """Close the connection, so that the reply can't appear complete."""

    async def async_drain(self) -> None:
        """Wait until the send buffer has drained, if the caller reads slowly."""
