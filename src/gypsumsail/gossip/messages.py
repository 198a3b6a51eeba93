"""Gossip message between VMs, and its CBOR encoding.

In all types, ``life`` is the incarnation of the target or store.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

import cbor2

from gypsumsail.core import cbor
from gypsumsail.gateway.models import PromptPart
from gypsumsail.gateway.part_suspects import PartAnswered, PartCrash
from gypsumsail.gossip.const import FIRST_KINDS, FORMAT_VERSION, MAX_REVISION_DIGITS


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLoad:
    """Load that the sender has at a target; targets without load are omitted."""

    target: str
    life: int
    calls: int
    tokens: int
    pending_prefill_tokens: int
    is_stalled: bool = False

    @property
    def stalled_vms(self) -> int:
        """Return the number of VMs to which the target seems stalled: 0 or 1."""
        return int(self.is_stalled)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """Load that the sender has for the targets of a service.

    Attributes
    ----------
    calls, work_ms
        Number of waiting calls, and the estimated time in milliseconds that targets
        need to process them.
    arriving_ms_per_second
        Offered load: estimated processing time, in milliseconds, of the calls that
        arrive per second.
    """

    service: str
    calls: int
    work_ms: int
    arriving_ms_per_second: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CachedPrompt:
    """Parts of a prompt that an engine has cached."""

    target: str
    life: int
    scope: str
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashReport:
    """A request, by its fingerprint, during which a target failed."""

    fingerprint: str
    target: str
    life: int


CrashUpdate = CrashReport | PartCrash | PartAnswered
"""Update on what makes targets crash.

All have the same columns in a datagram. Builds that don't know parts take their rows
for reports on requests that never come.
"""

_PART_CRASH_PREFIX: Final = "part "
_PART_ANSWERED_PREFIX: Final = "answered "


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadingTarget:
    """An engine that was ordered to load other weights."""

    target: str
    life: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UnreachableTarget:
    """A target to which the sender can't open a connection."""

    target: str
    life: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RemovedTarget:
    """A target whose removal the sender saw while it had no store outage."""

    target: str
    life: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedWeights:
    """Weight version that an engine reported."""

    target: str
    life: int
    model: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ContextStoreUpdate:
    """Changes of a context store, from a VM that follows the store.

    Attributes
    ----------
    sequence_number
        Increases by one with each update on the store from the same VM.
    life
        Incarnation of the store; 0 when its content is unknown.
    clock_ms
        Time on the clock of the engines, in milliseconds, at which the sender made the
        update; 0 when it is unknown.
    changes
        Scope, part and tokens of each change; 0 tokens for a removed part.
    """

    store: str
    sequence_number: int
    life: int
    clock_ms: int
    changes: tuple[tuple[str, str, int], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class GossipMessage:
    """State that one VM sends to the others.

    Attributes
    ----------
    host
        Host at which the sender receives messages and calls of peers.
    started_at_ms
        Start of the sender in Unix milliseconds.
    sequence_number
        Increases with each message until the sender restarts.
    last_changed_revisions
        Revision of the newest change that the sender knows, by kind.
    loads
        Loads of the sender at single targets.
    waiting
        Loads of the sender for the targets of whole services.
    """

    vm: str
    host: str
    zone: str
    started_at_ms: int
    sequence_number: int
    last_changed_revisions: tuple[tuple[str, int], ...] = ()
    loads: tuple[TargetLoad, ...] = ()
    cached: tuple[CachedPrompt, ...] = ()
    crash_reports: tuple[CrashUpdate, ...] = ()
    loading: tuple[LoadingTarget, ...] = ()
    weights: tuple[ObservedWeights, ...] = ()
    hosts: tuple[str, ...] = ()
    context_store_updates: tuple[ContextStoreUpdate, ...] = ()
    waiting: tuple[ServiceLoad, ...] = ()
    unreachable: tuple[UnreachableTarget, ...] = ()
    removed: tuple[RemovedTarget, ...] = ()


def revision_rows(revisions: Iterable[tuple[str, int]]) -> list[list[str | int]]:
    """Return the columns of revisions by kind.

    Builds before evacuations follow the first `FIRST_KINDS` kinds, and take a VM with a
    revision of another kind for one that is always ahead. They find no newer revision
    in a row with the revision 0, so it is part of the first column of further kinds.
    """
    return [
        [kind, revision] if number < FIRST_KINDS else [f"{kind} {revision}", 0]
        for number, (kind, revision) in enumerate(revisions)
    ]


def parse_revisions(rows: object) -> tuple[tuple[str, int], ...]:
    """Parse the columns of revisions by kind; raises ``ValueInvalidError``."""
    return tuple(map(_revision, _REVISIONS.read_all(rows)))


def _revision(row: list[Any]) -> tuple[str, int]:
    kind, separator, revision = row[0].rpartition(" ")
    if row[1] or not separator:
        return row[0], row[1]
    is_number = revision.isascii() and revision.isdigit()
    if not is_number or len(revision) > MAX_REVISION_DIGITS:
        raise cbor.ValueInvalidError("the revision of a kind is not a number")
    return kind, int(revision)


def encode(message: GossipMessage) -> bytes:
    """Encode a message."""
    return cbor2.dumps(
        [
            FORMAT_VERSION,
            message.vm,
            message.host,
            message.zone,
            message.started_at_ms,
            message.sequence_number,
            revision_rows(message.last_changed_revisions),
            [
                [
                    load.target,
                    load.life,
                    load.calls,
                    load.tokens,
                    load.pending_prefill_tokens,
                    load.is_stalled,
                ]
                for load in message.loads
            ],
            [
                [
                    item.target,
                    item.life,
                    item.scope,
                    [part.name for part in item.parts],
                    [part.tokens for part in item.parts],
                ]
                for item in message.cached
            ],
            list(map(crash_row, message.crash_reports)),
            [[item.target, item.life] for item in message.loading],
            [
                [item.target, item.life, item.model, item.version]
                for item in message.weights
            ],
            list(message.hosts),
            [
                [
                    update.store,
                    update.sequence_number,
                    update.life,
                    update.clock_ms,
                    [list(change) for change in update.changes],
                ]
                for update in message.context_store_updates
            ],
            [
                [item.service, item.calls, item.work_ms, item.arriving_ms_per_second]
                for item in message.waiting
            ],
            [[item.target, item.life] for item in message.unreachable],
            [[item.target, item.life] for item in message.removed],
        ]
    )


def decode(data: bytes) -> GossipMessage:
    """Decode a message; raises ``ValueInvalidError``."""
    return parse(cbor.load(data))


def parse(value: object) -> GossipMessage:
    """Parse a decoded datagram as a message; raises ``ValueInvalidError``."""
    fields = _MESSAGE.read(value)
    if fields[0] != FORMAT_VERSION:
        raise cbor.ValueInvalidError("unsupported version of the message format")
    return GossipMessage(
        vm=fields[1],
        host=fields[2],
        zone=fields[3],
        started_at_ms=fields[4],
        sequence_number=fields[5],
        last_changed_revisions=parse_revisions(fields[6]),
        loads=tuple(map(_load, _LOAD.read_all(fields[7]))),
        cached=tuple(map(_cached, _CACHED.read_all(fields[8]))),
        crash_reports=parse_crash_updates(fields[9]),
        loading=tuple(map(_loading, _TARGET_LIFE.read_all(fields[10]))),
        weights=tuple(map(_weights, _WEIGHTS.read_all(fields[11]))),
        hosts=tuple(cbor.read_strings(fields[12])),
        context_store_updates=tuple(
            map(_context_store_update, _CONTEXT_STORE_UPDATE.read_all(fields[13]))
        ),
        waiting=tuple(map(_service_load, _WAITING.read_all(fields[14]))),
        unreachable=tuple(map(_unreachable, _TARGET_LIFE.read_all(fields[15]))),
        removed=tuple(map(_removed, _TARGET_LIFE.read_all(fields[16]))),
    )


_MESSAGE: Final = cbor.RowReader(int, str, str, str, int, int, *[list] * 11)
_REVISIONS: Final = cbor.RowReader(str, int)
_LOAD: Final = cbor.RowReader(str, int, int, int, int, bool)
_CACHED: Final = cbor.RowReader(str, int, str, list, list)
_CRASH_UPDATE: Final = cbor.RowReader(str, str, int)
_TARGET_LIFE: Final = cbor.RowReader(str, int)
_WEIGHTS: Final = cbor.RowReader(str, int, str, int)
_CONTEXT_STORE_UPDATE: Final = cbor.RowReader(str, int, int, int, list)
_CONTEXT_STORE_CHANGE: Final = cbor.RowReader(str, str, int)
_WAITING: Final = cbor.RowReader(str, int, int, int)

_Row = list[Any]


def _load(row: _Row) -> TargetLoad:
    target, life, calls, tokens, pending_prefill_tokens, is_stalled = row
    return TargetLoad(
        target=target,
        life=life,
        calls=calls,
        tokens=tokens,
        pending_prefill_tokens=pending_prefill_tokens,
        is_stalled=is_stalled,
    )


def _service_load(row: _Row) -> ServiceLoad:
    service, calls, work_ms, arriving_ms_per_second = row
    return ServiceLoad(
        service=service,
        calls=calls,
        work_ms=work_ms,
        arriving_ms_per_second=arriving_ms_per_second,
    )


def _cached(row: _Row) -> CachedPrompt:
    target, life, scope, names, sizes = row
    part_names = cbor.read_strings(names)
    part_tokens = list(map(cbor.read_unsigned, cbor.read_list(sizes, len(part_names))))
    return CachedPrompt(
        target=target,
        life=life,
        scope=scope,
        parts=tuple(
            PromptPart(name=name, tokens=tokens)
            for name, tokens in zip(part_names, part_tokens, strict=True)
        ),
    )


def crash_row(update: CrashUpdate) -> list[str | int]:
    """Return the columns of an update."""
    match update:
        case CrashReport(fingerprint=subject):
            pass
        case PartCrash(part=part, order=order):
            subject = f"{_PART_CRASH_PREFIX}{order} {part}"
        case PartAnswered(part=part):
            subject = f"{_PART_ANSWERED_PREFIX}{part}"
    return [subject, update.target, update.life]


def parse_crash_updates(value: object) -> tuple[CrashUpdate, ...]:
    """Parse the rows of updates; raises ``ValueInvalidError``."""
    return tuple(map(_crash_update, _CRASH_UPDATE.read_all(value)))


def _crash_update(row: _Row) -> CrashUpdate:
    subject, target, life = row
    if subject.startswith(_PART_CRASH_PREFIX):
        text, _, part = subject.removeprefix(_PART_CRASH_PREFIX).partition(" ")
        if not (text.isascii() and text.isdigit()):
            raise cbor.ValueInvalidError("the order of a crash is not a number")
        return PartCrash(part=part, target=target, life=life, order=int(text))
    if subject.startswith(_PART_ANSWERED_PREFIX):
        part = subject.removeprefix(_PART_ANSWERED_PREFIX)
        return PartAnswered(part=part, target=target, life=life)
    return CrashReport(fingerprint=subject, target=target, life=life)


def _loading(row: _Row) -> LoadingTarget:
    target, life = row
    return LoadingTarget(target=target, life=life)


def _unreachable(row: _Row) -> UnreachableTarget:
    target, life = row
    return UnreachableTarget(target=target, life=life)


def _removed(row: _Row) -> RemovedTarget:
    target, life = row
    return RemovedTarget(target=target, life=life)


def _weights(row: _Row) -> ObservedWeights:
    target, life, model, version = row
    return ObservedWeights(target=target, life=life, model=model, version=version)


def _context_store_update(row: _Row) -> ContextStoreUpdate:
    store, sequence_number, life, clock_ms, changes = row
    return ContextStoreUpdate(
        store=store,
        sequence_number=sequence_number,
        life=life,
        clock_ms=clock_ms,
        changes=tuple(map(tuple, _CONTEXT_STORE_CHANGE.read_all(changes))),
    )
