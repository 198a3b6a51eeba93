"""Builders of test data and a fake network for the context tests."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from hashlib import blake2b
from typing import Any, Final

from gypsumsail.context.chain import directory_keys, make_chain
from gypsumsail.context.models import EngineHint, PromptUpdate, StoredPrefix, StoredRun
from gypsumsail.core.errors import TransportError
from gypsumsail.peers.port import EntryId, Handler, Message
from gypsumsail.targets.port import CacheEvent, CacheEventKind, CacheEvents

STORE: Final = "http://store"


def make_hashes(blocks: Sequence[object]) -> tuple[str, ...]:
    """Return the chained hashes of artificial blocks."""
    previous = b""
    hashes = []
    for block in blocks:
        text = previous + repr(block).encode()
        previous = blake2b(text, digest_size=16).digest()
        hashes.append(previous.hex())
    return tuple(hashes)


def make_stored(*runs: tuple[int, str], store_url: str = STORE) -> StoredPrefix:
    """Return stored blocks, given the end and generation of each run."""
    return StoredPrefix(
        store_url=store_url,
        tier="memory",
        runs=tuple(StoredRun(end=end, generation=name) for end, name in runs),
    )


def make_update(hashes: tuple[str, ...], **changes: Any) -> PromptUpdate:
    """Return an update of the record of a prompt that was requested just now."""
    values: dict[str, Any] = {
        "key": directory_keys(hashes)[0],
        "chain": make_chain(hashes),
        "age": 0.0,
    }
    return PromptUpdate(**(values | changes))


def make_hint(target: str, depth: int) -> EngineHint:
    """Return an engine hint of age zero."""
    return EngineHint(target=target, depth=depth, age=0.0)


def make_event(sequence: int, kind: str, *hashes: str) -> CacheEvent:
    """Return a cache event."""
    return CacheEvent(sequence=sequence, kind=CacheEventKind(kind), block_hashes=hashes)


def make_events(*events: CacheEvent, incarnation: str = "1") -> CacheEvents:
    """Return cache events of one incarnation."""
    last = events[-1].sequence if events else 0
    return CacheEvents(incarnation=incarnation, events=events, last_sequence=last)


class FakeNetwork:
    """Network of entries within one process.

    Attributes
    ----------
    unreachable
        Entries that are not peers and get no message.
    unresponsive
        Entries to which every request times out.
    sent
        Messages that this entry tried to send.
    """

    def __init__(self, me: EntryId, all_networks: dict[EntryId, FakeNetwork]) -> None:
        self.me = me
        self.all_networks = all_networks
        self.handlers: dict[type[Message], Handler[Any]] = {}
        self.unreachable: set[EntryId] = set()
        self.unresponsive: set[EntryId] = set()
        self.sent: list[Message] = []
        all_networks[me] = self

    def peers(self) -> tuple[EntryId, ...]:
        known = set(self.all_networks) - {self.me} - self.unreachable
        return tuple(sorted(known, key=lambda entry: entry.name))

    def subscribe(
        self, message_type: type[Any], handler: Handler[Any]
    ) -> Callable[[], None]:
        self.handlers[message_type] = handler
        # "and None" drops the removed handler from the result.
        return lambda: self.handlers.pop(message_type, None) and None

    async def async_send(self, peer: EntryId, message: Message) -> None:
        await self._async_deliver(peer, message)

    async def async_request(
        self, peer: EntryId, message: Message, *, timeout: float
    ) -> Message:
        if peer in self.unresponsive:
            raise TransportError("timeout", sent=True)
        answer = await self._async_deliver(peer, message)
        if answer is None:
            raise TransportError("peer sent no answer", sent=True)
        return answer

    async def _async_deliver(self, peer: EntryId, message: Message) -> Message | None:
        self.sent.append(message)
        network = self.all_networks.get(peer)
        if network is None or peer in self.unreachable:
            raise TransportError("peer is unreachable", sent=False)
        handler = network.handlers.get(type(message))
        return None if handler is None else await handler(self.me, message)
