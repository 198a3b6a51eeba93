"""The message that a VM sends to the others, and its CBOR form."""

from __future__ import annotations

from dataclasses import dataclass

import cbor2

from gypsumsail.core import cbor
from gypsumsail.gateway.models import PromptPart
from gypsumsail.gossip.const import FORMAT

MESSAGE_FIELDS = 17


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLoad:
    """What the sender has at a target; targets that are left out have nothing."""

    target: str
    life: int
    calls: int
    tokens: int
    unread: int
    is_stalled: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingWork:
    """What the sender has for the targets of a service.

    Attributes
    ----------
    calls, work_ms
        Calls that wait, and their work in milliseconds.
    arriving_ms
        Work that arrives, in milliseconds a second.
    """

    service: str
    calls: int
    work_ms: int
    arriving_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CachedPrompt:
    """Parts of a prompt that an engine has read."""

    target: str
    life: int
    scope: str
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Strike:
    """A target that broke off under a request."""

    fingerprint: str
    target: str
    life: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadingTarget:
    """An engine that was ordered to load other weights."""

    target: str
    life: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UnreachableTarget:
    """A target to which the sender can open no connection."""

    target: str
    life: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GoneTarget:
    """A target whose removal the sender saw while the store was well for it."""

    target: str
    life: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SeenWeights:
    """Version of the weights that an engine has shown."""

    target: str
    life: int
    model: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreNews:
    """What a VM that follows a store of kept context has learned there.

    Attributes
    ----------
    number
        Grows by one with each piece of news on the store from the same VM.
    life
        Life of the store; 0 when it is not known what it holds.
    clock_ms
        Time on the clock of the engines; 0 when it is not known.
    changes
        Scope, part and tokens; no tokens for a part that left.
    """

    store: str
    number: int
    life: int
    clock_ms: int
    changes: tuple[tuple[str, str, int], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class GossipMessage:
    """What one VM knows that the others should.

    Attributes
    ----------
    host
        Host at which the sender takes messages and calls of peers.
    started_at
        Start of the sender in Unix milliseconds.
    number
        Grows with each message of one start.
    changed_at
        Revision of the newest change that the sender knows, by kind.
    loads
        All loads of the sender.
    """

    vm: str
    host: str
    zone: str
    started_at: int
    number: int
    changed_at: tuple[tuple[str, int], ...] = ()
    loads: tuple[TargetLoad, ...] = ()
    cached: tuple[CachedPrompt, ...] = ()
    strikes: tuple[Strike, ...] = ()
    loading: tuple[LoadingTarget, ...] = ()
    weights: tuple[SeenWeights, ...] = ()
    hosts: tuple[str, ...] = ()
    stores: tuple[StoreNews, ...] = ()
    waiting: tuple[WaitingWork, ...] = ()
    unreachable: tuple[UnreachableTarget, ...] = ()
    gone: tuple[GoneTarget, ...] = ()


def encode(message: GossipMessage) -> bytes:
    """Encode a message."""
    return cbor2.dumps(
        [
            FORMAT,
            message.vm,
            message.host,
            message.zone,
            message.started_at,
            message.number,
            [list(item) for item in message.changed_at],
            [
                [
                    load.target,
                    load.life,
                    load.calls,
                    load.tokens,
                    load.unread,
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
            [[item.fingerprint, item.target, item.life] for item in message.strikes],
            [[item.target, item.life] for item in message.loading],
            [
                [item.target, item.life, item.model, item.version]
                for item in message.weights
            ],
            list(message.hosts),
            [
                [
                    news.store,
                    news.number,
                    news.life,
                    news.clock_ms,
                    [list(change) for change in news.changes],
                ]
                for news in message.stores
            ],
            [
                [item.service, item.calls, item.work_ms, item.arriving_ms]
                for item in message.waiting
            ],
            [[item.target, item.life] for item in message.unreachable],
            [[item.target, item.life] for item in message.gone],
        ]
    )


def decode(data: bytes) -> GossipMessage:
    """Decode a message; raise ``ValueInvalidError`` when it is none."""
    fields = cbor.read_list(cbor.load(data), MESSAGE_FIELDS)
    if fields[0] != FORMAT:
        raise cbor.ValueInvalidError("another format of messages")
    return GossipMessage(
        vm=cbor.read_text(fields[1]),
        host=cbor.read_text(fields[2]),
        zone=cbor.read_text(fields[3]),
        started_at=cbor.read_count(fields[4]),
        number=cbor.read_count(fields[5]),
        changed_at=tuple(map(_changed_at, cbor.read_list(fields[6]))),
        loads=tuple(map(_load, cbor.read_list(fields[7]))),
        cached=tuple(map(_cached, cbor.read_list(fields[8]))),
        strikes=tuple(map(_strike, cbor.read_list(fields[9]))),
        loading=tuple(map(_loading, cbor.read_list(fields[10]))),
        weights=tuple(map(_weights, cbor.read_list(fields[11]))),
        hosts=tuple(map(cbor.read_text, cbor.read_list(fields[12]))),
        stores=tuple(map(_store_news, cbor.read_list(fields[13]))),
        waiting=tuple(map(_waiting, cbor.read_list(fields[14]))),
        unreachable=tuple(map(_unreachable, cbor.read_list(fields[15]))),
        gone=tuple(map(_gone, cbor.read_list(fields[16]))),
    )


def _changed_at(value: object) -> tuple[str, int]:
    kind, revision = cbor.read_list(value, 2)
    return cbor.read_text(kind), cbor.read_count(revision)


def _load(value: object) -> TargetLoad:
    target, life, calls, tokens, unread, is_stalled = cbor.read_list(value, 6)
    if not isinstance(is_stalled, bool):
        raise cbor.ValueInvalidError("not a truth value")
    return TargetLoad(
        target=cbor.read_text(target),
        life=cbor.read_count(life),
        calls=cbor.read_count(calls),
        tokens=cbor.read_count(tokens),
        unread=cbor.read_count(unread),
        is_stalled=is_stalled,
    )


def _waiting(value: object) -> WaitingWork:
    service, calls, work_ms, arriving_ms = cbor.read_list(value, 4)
    return WaitingWork(
        service=cbor.read_text(service),
        calls=cbor.read_count(calls),
        work_ms=cbor.read_count(work_ms),
        arriving_ms=cbor.read_count(arriving_ms),
    )


def _cached(value: object) -> CachedPrompt:
    target, life, scope, names, tokens = cbor.read_list(value, 5)
    part_names = list(map(cbor.read_text, cbor.read_list(names)))
    sizes = list(map(cbor.read_count, cbor.read_list(tokens, len(part_names))))
    return CachedPrompt(
        target=cbor.read_text(target),
        life=cbor.read_count(life),
        scope=cbor.read_text(scope),
        parts=tuple(
            PromptPart(name=name, tokens=size)
            for name, size in zip(part_names, sizes, strict=True)
        ),
    )


def _strike(value: object) -> Strike:
    fingerprint, target, life = cbor.read_list(value, 3)
    return Strike(
        fingerprint=cbor.read_text(fingerprint),
        target=cbor.read_text(target),
        life=cbor.read_count(life),
    )


def _loading(value: object) -> LoadingTarget:
    target, life = cbor.read_list(value, 2)
    return LoadingTarget(target=cbor.read_text(target), life=cbor.read_count(life))


def _unreachable(value: object) -> UnreachableTarget:
    target, life = cbor.read_list(value, 2)
    return UnreachableTarget(target=cbor.read_text(target), life=cbor.read_count(life))


def _gone(value: object) -> GoneTarget:
    target, life = cbor.read_list(value, 2)
    return GoneTarget(target=cbor.read_text(target), life=cbor.read_count(life))


def _weights(value: object) -> SeenWeights:
    target, life, model, version = cbor.read_list(value, 4)
    return SeenWeights(
        target=cbor.read_text(target),
        life=cbor.read_count(life),
        model=cbor.read_text(model),
        version=cbor.read_count(version),
    )


def _store_news(value: object) -> StoreNews:
    store, number, life, clock_ms, changes = cbor.read_list(value, 5)
    return StoreNews(
        store=cbor.read_text(store),
        number=cbor.read_count(number),
        life=cbor.read_count(life),
        clock_ms=cbor.read_count(clock_ms),
        changes=tuple(map(_store_change, cbor.read_list(changes))),
    )


def _store_change(value: object) -> tuple[str, str, int]:
    scope, part, tokens = cbor.read_list(value, 3)
    return cbor.read_text(scope), cbor.read_text(part), cbor.read_count(tokens)
