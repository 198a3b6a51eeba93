"""Messages between the entry of a request and the owner of its partition."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.core.errors import RunState
from gypsumsail.once.ledger import VerdictKind
from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@message("once.reserve")
@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveMessage(Message):
    """Commit a reservation; answered by a verdict or by unavailable.

    Attributes
    ----------
    outcomes
        Encoded outcomes of earlier requests, committed along with it.
    """

    partition: int
    key: bytes
    attempt: bytes
    body: bytes
    outcomes: bytes


@message("once.verdict")
@dataclass(frozen=True, slots=True, kw_only=True)
class VerdictMessage(Message):
    """The ledger's decision on a reservation."""

    kind: VerdictKind
    run_state: RunState
    status: int


@message("once.record")
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordMessage(Message):
    """Commit outcomes, encoded as ledger entries."""

    partition: int
    entries: bytes


@message("once.recorded")
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedMessage(Message):
    """The outcomes are in the ledger."""


@message("once.unavailable")
@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerUnavailableMessage(Message):
    """The owner could not confirm the commit.

    Attributes
    ----------
    may_be_written
        Whether a write may have taken effect, or may yet.
    """

    may_be_written: bool
