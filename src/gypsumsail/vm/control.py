"""Serves readiness checks, requests of other VMs and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qs

from gypsumsail.catalog.peer_updates import (
    COMPRESSED_FLAG,
    PEER_UPDATE_PATH,
    encode_peer_update,
)
from gypsumsail.context_stores.relay import VIEW_PATH
from gypsumsail.forwarding.const import FORWARD_PATH
from gypsumsail.transport.http_reply import Reply
from gypsumsail.transport.http_request import HttpRequest

if TYPE_CHECKING:
    from gypsumsail.vm.runtime import VmRuntime

METRICS_PATH: Final = b"/metrics"
PEER_PATH: Final = b"/peer/"


class ControlApi:
    """Handles all requests except those of callers."""

    def __init__(self, vm: VmRuntime) -> None:
        self.vm = vm

    async def async_handle(self, request: HttpRequest, reply: Reply) -> None:
        """Respond to one request."""
        path = request.target.partition(b"?")[0]
        if path == self.vm.ports.ready_path:
            reply.send(200 if self.vm.readiness().is_ready else 503, [], b"")
        elif path == FORWARD_PATH.encode():
            await self.vm.forward_endpoint.async_handle(request, reply)
        elif path.startswith(PEER_PATH):
            body = self._peer_response(path.decode("latin-1"), request.target)
            reply.send(404 if body is None else 200, [], body or b"")
        elif path == METRICS_PATH:
            self.vm.metrics.update(self.vm)
            reply.send(200, [], self.vm.registry.exposition().encode())
        else:
            reply.send(404, [], b"")

    def _peer_response(self, path: str, target: bytes) -> bytes | None:
        """Return the response body for another VM; ``None`` when there is none."""
        if path.startswith(VIEW_PATH):
            return self.vm.context_stores.encoded_view(path.removeprefix(VIEW_PATH))
        if not path.startswith(PEER_UPDATE_PATH):
            return None
        query = parse_qs(target.partition(b"?")[2].decode("latin-1"))
        since = query.get("since", ["0"])[0]
        if not since.isdigit():
            return None
        now = self.vm.clock.monotonic()
        kind = path.removeprefix(PEER_UPDATE_PATH)
        peer_update = self.vm.catalog.peer_update_since(kind, int(since), now)
        if peer_update is None:
            return None
        return encode_peer_update(peer_update, is_compressed=COMPRESSED_FLAG in query)
