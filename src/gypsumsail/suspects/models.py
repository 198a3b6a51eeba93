"""Verdicts on requests, and the messages that carry them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Clear:
    """The request may run on any target."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOn:
    """The same request is already running: run it on the same target or not at all."""

    target: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Unplaced:
    """The same request is being placed: retry shortly."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Isolate:
    """A target that ran the request crashed: run it only in a target's suspect slot."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Busy:
    """The request is a suspect and is already running.

    Attributes
    ----------
    retry_after
        Seconds after which the caller may retry.
    """

    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Convicted:
    """The request crashed the targets that ran it.

    Attributes
    ----------
    seconds_left
        Seconds until the conviction expires.
    """

    seconds_left: float


Verdict: TypeAlias = Clear | RunOn | Unplaced | Isolate | Busy | Convicted


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetInstance:
    """One run of a target; the incarnation changes with each restart of the target."""

    target: str
    incarnation: str


@message("suspects.begin")
@dataclass(frozen=True, slots=True, kw_only=True)
class BeginAttempt(Message):
    """Requests permission to start an attempt from the owner of a fingerprint.

    Attributes
    ----------
    fingerprint
        Hash of a request; copies of the same request have the same fingerprint.
    """

    fingerprint: str
    attempt_id: str


@message("suspects.place")
@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceAttempt(Message):
    """Reports where an attempt runs to the owner of the fingerprint."""

    fingerprint: str
    attempt_id: str
    target: str
    incarnation: str


@message("suspects.end")
@dataclass(frozen=True, slots=True, kw_only=True)
class EndAttempt(Message):
    """Reports that an attempt ended without a crash of its target.

    Attributes
    ----------
    whole
        Whether the target's answer was complete.
    """

    fingerprint: str
    attempt_id: str
    whole: bool


@message("suspects.crash")
@dataclass(frozen=True, slots=True, kw_only=True)
class ReportCrash(Message):
    """Reports that a target crashed while it ran an attempt.

    Attributes
    ----------
    isolated
        Whether the request ran in the target's suspect slot.
    """

    fingerprint: str
    attempt_id: str
    target: str
    incarnation: str
    isolated: bool


class VerdictKind(StrEnum):
    """Name of a verdict in a message."""

    CLEAR = "clear"
    RUN_ON = "run_on"
    UNPLACED = "unplaced"
    ISOLATE = "isolate"
    BUSY = "busy"
    CONVICTED = "convicted"


@message("suspects.verdict")
@dataclass(frozen=True, slots=True, kw_only=True)
class VerdictAnswer(Message):
    """Response to `BeginAttempt` and `ReportCrash`.

    Attributes
    ----------
    kind
        Kind of the verdict.
    target
        Target of a `RunOn` verdict; empty for all others.
    seconds
        Seconds after which to retry, or until the conviction expires.
    """

    kind: VerdictKind
    target: str = ""
    seconds: float = 0.0


@message("suspects.take_slot")
@dataclass(frozen=True, slots=True, kw_only=True)
class TakeSlot(Message):
    """Requests the suspect slot of a target from the owner of the target."""

    target: str
    attempt_id: str


@message("suspects.slot")
@dataclass(frozen=True, slots=True, kw_only=True)
class SlotAnswer(Message):
    """Response to `TakeSlot`.

    Attributes
    ----------
    granted
        Whether the slot was reserved.
    """

    granted: bool


@message("suspects.free_slot")
@dataclass(frozen=True, slots=True, kw_only=True)
class FreeSlot(Message):
    """Releases the suspect slot of a target."""

    target: str
    attempt_id: str


@message("suspects.explain")
@dataclass(frozen=True, slots=True, kw_only=True)
class AttributeCrash(Message):
    """Informs all entries that a convicted request caused the crash of a target."""

    fingerprint: str
    target: str
    incarnation: str


def encode_verdict(verdict: Verdict) -> VerdictAnswer:
    """Return the message for a verdict."""
    match verdict:
        case Clear():
            return VerdictAnswer(kind=VerdictKind.CLEAR)
        case RunOn(target=target):
            return VerdictAnswer(kind=VerdictKind.RUN_ON, target=target)
        case Unplaced():
            return VerdictAnswer(kind=VerdictKind.UNPLACED)
        case Isolate():
            return VerdictAnswer(kind=VerdictKind.ISOLATE)
        case Busy(retry_after=seconds):
            return VerdictAnswer(kind=VerdictKind.BUSY, seconds=seconds)
        case Convicted(seconds_left=seconds):
            return VerdictAnswer(kind=VerdictKind.CONVICTED, seconds=seconds)


def decode_verdict(answer: VerdictAnswer) -> Verdict:
    """Return the verdict in a message."""
    match answer.kind:
        case VerdictKind.CLEAR:
            return Clear()
        case VerdictKind.RUN_ON:
            return RunOn(target=answer.target)
        case VerdictKind.UNPLACED:
            return Unplaced()
        case VerdictKind.ISOLATE:
            return Isolate()
        case VerdictKind.BUSY:
            return Busy(retry_after=answer.seconds)
        case VerdictKind.CONVICTED:
            return Convicted(seconds_left=answer.seconds)
