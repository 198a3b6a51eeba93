"""Builders of a VM that takes changes from other VMs over real connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
import socket
from urllib.parse import parse_qs

from gypsumsail.catalog.peer_updates import PEER_UPDATE_PATH, encode_peer_update
from gypsumsail.core.clock import SystemClock
from gypsumsail.vm.catch_up import CatchUp
from gypsumsail.vm.peer_clients import PeerClients
from tests.catalog.common import KINDS, Catalog, document_spec, listing, stored
from tests.common import ManualClock
from tests.gateway.common import decision_log
from tests.gossip.common import Member, Net, message

FIRST_REVISION = 5
CHANGED_REVISION = 9
POLL_SECONDS = 0.01
# Time between messages of another VM of the zone.
MESSAGE_SECONDS = 0.25


class SteadyClock(SystemClock, ManualClock):
    """The clocks of the operating system, also for builders that read ``now``."""

    @property
    def now(self) -> float:
        """Return the present time."""
        return self.monotonic()

    @now.setter
    def now(self, value: float) -> None:
        """Ignore what a builder sets."""


def catalog_at(revision: int) -> Catalog:
    """Return a catalog whose document was written at a revision."""
    catalog = Catalog(is_watcher=lambda kind: False)
    document = stored(KINDS.document_key, revision, document_spec(revision))
    catalog.replace(KINDS.documents, listing(revision, document))
    return catalog


@dataclass(slots=True)
class PeerServer:
    """A VM that has the changed document.

    Attributes
    ----------
    is_hanging
        Whether it accepts connections and answers nothing.
    silent
        Connections on which it no longer answers, as if their bytes were lost.
    requests
        Number of requests that it has read.
    """

    host: str
    port: int
    catalog: Catalog = field(default_factory=lambda: catalog_at(CHANGED_REVISION))
    is_hanging: bool = False
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    silent: set[asyncio.StreamWriter] = field(default_factory=set)
    requests: int = 0

    def silence_open_connections(self) -> None:
        """Answer no request on the connections that are open now."""
        self.silent |= self.writers

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                if not self.is_hanging and writer not in self.silent:
                    writer.write(self._answer(head))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _answer(self, head: bytes) -> bytes:
        path, _, query = head.split(b" ")[1].decode().partition("?")
        update = self.catalog.coordinator.peer_update_since(
            path.removeprefix(PEER_UPDATE_PATH), int(parse_qs(query)["since"][0]), 0.0
        )
        body = encode_peer_update(update) if update is not None else b""
        status = b"200 OK" if update is not None else b"404 Not Found"
        return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (
            status,
            len(body),
            body,
        )


@dataclass(slots=True)
class LaggingVm:
    """A VM that lacks a change and reaches no store."""

    clients: PeerClients
    catalog: Catalog
    member: Member
    catch_up: CatchUp

    async def async_open_connections(self, peers: Sequence[PeerServer]) -> None:
        """Leave a connection to each of the VMs open, as an earlier fetch does."""
        for peer in peers:
            path = f"{PEER_UPDATE_PATH}{KINDS.weights}"
            await self.clients.async_get(peer.host, path, {"since": "0"}, 1.0)

    def hear(self, peers: Sequence[PeerServer], sequence_number: int) -> None:
        """Hear that VMs have a newer document."""
        for number, peer in enumerate(peers, start=2):
            told = message(
                f"v{number}",
                sequence_number,
                host=peer.host,
                last_changed_revisions=((KINDS.documents, CHANGED_REVISION),),
            )
            self.member.gossip.handle_message(told)

    async def async_seconds_until_changed(
        self, peers: Sequence[PeerServer], limit: float
    ) -> float:
        """Return after how long the change of others is in force, or the limit."""
        clock = self.catch_up.clock
        started_at = clock.monotonic()
        task = asyncio.create_task(self.catch_up.async_run())
        for sequence_number in range(1, round(limit / MESSAGE_SECONDS)):
            self.hear(peers, sequence_number)
            if await self._async_has_changed(MESSAGE_SECONDS):
                break
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return clock.monotonic() - started_at

    async def _async_has_changed(self, seconds: float) -> bool:
        """Return whether the change comes into force within some seconds."""
        for _ in range(round(seconds / POLL_SECONDS)):
            document = self.catalog.coordinator.document
            if document is not None and document.revision == CHANGED_REVISION:
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False


def _free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


@asynccontextmanager
async def lagging_vm(count: int) -> AsyncIterator[tuple[LaggingVm, list[PeerServer]]]:
    """Run a VM and ``count`` others, each at an address of its own on one port."""
    port = _free_port()
    peers = [PeerServer(f"127.0.0.{number + 2}", port) for number in range(count)]
    clock = SteadyClock()
    member = Member(Net(clock), "v1")
    catalog = catalog_at(FIRST_REVISION)
    member.gossip.last_changed_revisions = catalog.coordinator.last_changed_revisions
    clients = PeerClients(port)
    catch_up = CatchUp(
        clients, catalog.coordinator, member.gossip, clock, decision_log(clock)
    )
    async with AsyncExitStack() as stack:
        for peer in peers:
            server = await asyncio.start_server(peer.async_serve, peer.host, port)
            stack.callback(server.close)
        stack.callback(clients.close)
        yield LaggingVm(clients, catalog, member, catch_up), peers
        for peer in peers:
            for writer in peer.writers:
                writer.close()
