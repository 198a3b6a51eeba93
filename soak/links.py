"""Links of single VMs to targets, which can be cut without harm to other VMs.

Each VM reads the target list with addresses of its own, at which a link forwards to the
target.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
import json
import socket

from soak.proxy import Impairment, Proxy
from stand_ins.raw_http import RawRequest, RawServer
from stand_ins.v1_object_store import V1ObjectStore

FILLING_CONNECTIONS = 3
"""Connections that fill the accept queue of a socket with a backlog of 0."""


class LinkCut(StrEnum):
    """How a link is cut.

    Attributes
    ----------
    HANG
        Nothing arrives any more, and new connections are not answered.
    REFUSE
        Open connections are reset, and new ones are refused.
    NO_NEW
        Open connections live on, and new ones are refused.
    HOLD
        As ``HANG``, but what was sent meanwhile arrives some time after the cut; see
        ``Impairment.HOLD``.
    """

    HANG = "hang"
    REFUSE = "refuse"
    NO_NEW = "no_new"
    HOLD = "hold"


RANDOM_CUTS = [LinkCut.HANG, LinkCut.REFUSE, LinkCut.NO_NEW]


class Link:
    """Link of one VM to one target."""

    def __init__(self, host: str, port: int) -> None:
        self.proxy = Proxy(host, port)
        self.host = ""
        self.port = 0
        # Holds the port while the link is cut; no other process may take it.
        self.placeholder: socket.socket | None = None
        self.fillers: list[socket.socket] = []

    @property
    def address(self) -> str:
        """Return the address at which the VM finds the target."""
        return f"{self.host}:{self.port}"

    async def async_start(self, host: str) -> None:
        """Start listening on a free port."""
        self.host = host
        self.port = await self.proxy.async_start(host)

    async def async_cut(self, how: LinkCut) -> None:
        """Cut the link."""
        self.proxy.stop_listening()
        placeholder = socket.socket()
        placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        placeholder.bind((self.host, self.port))
        self.placeholder = placeholder
        match how:
            case LinkCut.HANG:
                self.proxy.impairment = Impairment.SILENT
                self._listen_without_answer(placeholder)
            case LinkCut.HOLD:
                self.proxy.impairment = Impairment.HOLD
                self._listen_without_answer(placeholder)
            case LinkCut.REFUSE:
                self.proxy.reset_all()
            case LinkCut.NO_NEW:
                pass

    async def async_heal(self) -> None:
        """Forward again; connections that were opened before a hang are reset."""
        held, self.placeholder = self.placeholder, None
        self._close_placeholder()
        if self.proxy.impairment is Impairment.SILENT:
            self.proxy.reset_all()
        self.proxy.impairment = Impairment.NONE
        if held is not None:
            await self.proxy.async_start_on(held)

    def stop(self) -> None:
        """End all connections."""
        self._close_placeholder()
        self.proxy.stop()

    def _listen_without_answer(self, placeholder: socket.socket) -> None:
        """Fill the accept queue of the socket, so that connections are not answered."""
        placeholder.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)

    def _close_placeholder(self) -> None:
        for found in (*self.fillers, self.placeholder):
            if found is not None:
                found.close()
        self.fillers.clear()
        self.placeholder = None


class StoreView:
    """Address of the object store for one VM, with that VM's addresses of the targets.

    Attributes
    ----------
    addresses
        Address at which the VM finds a target, by the address in the target's entry.
    """

    def __init__(self, store: V1ObjectStore, addresses: dict[str, str]) -> None:
        self.store = store
        self.addresses = addresses
        self.server = RawServer(self.async_handle)

    async def async_handle(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Respond to one call."""
        return await self.store.handle(request, writer, self._translate)

    def _translate(self, body: bytes) -> bytes:
        for listed, own in self.addresses.items():
            body = body.replace(json.dumps(listed).encode(), json.dumps(own).encode())
        return body
