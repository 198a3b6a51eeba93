"""Builders of VMs that forward calls to each other over loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumsail.core.errors import TransportError
from gypsumsail.forwarding.client import HelperClient
from gypsumsail.forwarding.endpoint import ForwardEndpoint
from gypsumsail.forwarding.helpers import Helpers
from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.gateway.models import Call, CallKind, RoutingDocument
from gypsumsail.gossip.peers import (
    READS_FORWARDS_COUNT,
    READS_REPORTS_MARKER,
    PeerTable,
)
from gypsumsail.platform.calls import PlatformReply, parse_call
from gypsumsail.transport.http_request import HttpRequest, ServerLimits
from gypsumsail.transport.http_server import HttpServer
from tests.gateway.common import (
    KEY,
    ScriptedExchange,
    ScriptedTargets,
    document,
    gateway,
    route,
    stream_route,
    target,
)
from tests.gossip.common import message

FORWARD_MARKERS = (READS_REPORTS_MARKER,) * READS_FORWARDS_COUNT


def peer_table(*vms: str, now: float = 1_000.0, zone: str = "z1") -> PeerTable:
    """Return the table of ``v1`` with other VMs that were just heard."""
    table = PeerTable("v1", "10.0.0.1", zone)
    for number, vm in enumerate(vms, start=1):
        table.record_message(message(vm, number, hosts=FORWARD_MARKERS), now)
    return table


def caller_request(path: str = "/a/x", key: str = KEY, **headers: str) -> HttpRequest:
    """Return a request of a caller with a deadline after 4 s."""
    pairs = [
        (b"Host", b"h.example"),
        (b"Gypsumsail-Request-Id", b"id-1"),
        (b"Gypsumsail-Deadline-Ms", b"4000"),
        (b"Authorization", f"Bearer {key}".encode()),
    ]
    pairs += [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return HttpRequest(
        method=b"POST",
        target=path.encode(),
        headers=pairs,
        body=b"body",
        keep_alive=True,
        received_at=1_000.0,
    )


def routes(**changes: object) -> RoutingDocument:
    """Return a document with repeatable calls, calls that run once, and streams."""
    return document(
        route(max_targets=3),
        route("o", prefix="/o/", kind=CallKind.ONCE, max_targets=1),
        stream_route(is_resumable=True, max_targets=3),
        **changes,
    )


async def async_wait_until(condition: Callable[[], bool]) -> None:
    """Wait for at most a second until a condition holds."""
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition does not hold")


class ForwardingPair:
    """A VM without links to its target, and a helper with a real control port.

    Attributes
    ----------
    sent
        Sends of the helper to its target.
    """

    def __init__(self, *answers: ScriptedExchange | TransportError) -> None:
        self.targets = ScriptedTargets(*answers)
        self.cut = gateway(ScriptedTargets(), target("t1"), routing=routes())
        self.helper = gateway(
            self.targets, target("t1"), target("t2"), target("t3"), routing=routes()
        )
        self.is_stopping = False
        self.endpoint = ForwardEndpoint(
            self.helper,
            self.helper.clock,
            parse_call,
            PlatformReply,
            lambda: self.is_stopping,
        )
        self.server = HttpServer(
            self.endpoint.async_handle, ServerLimits(), self.helper.clock
        )
        self.peers = PeerTable("v1", "10.0.0.1", "z1")
        self.client: HelperClient | None = None
        self.keep_cut(self.cut)

    async def async_start(self) -> None:
        """Start the control port of the helper and let the cut VM know of it."""
        await self.server.async_start("127.0.0.1", 0)
        self.client = HelperClient("v1", self.server.port)
        self.cut.forward_client = self.client
        helpers = Helpers(self.peers)
        self.cut.helpers = helpers
        self.cut.view.choose_helper = helpers.choose
        self.hear_helper("127.0.0.1")

    def hear_helper(self, host: str) -> None:
        """Let the cut VM receive a message of a helper."""
        found = self.peers.peers.get(host)
        number = found.sequence_number + 1 if found is not None else 1
        self.peers.record_message(
            message("v2", number, host=host, hosts=FORWARD_MARKERS),
            self.cut.clock.monotonic(),
        )

    async def async_start_second(self) -> HttpServer:
        """Start another helper, with the same targets, at another host."""
        second = HttpServer(
            self.endpoint.async_handle, ServerLimits(), self.helper.clock
        )
        await second.async_start("127.0.0.2", self.server.port)
        return second

    @staticmethod
    def keep_cut(vm: Gateway) -> None:
        """Let all targets be unreachable for a VM."""
        for state in vm.view.targets.states.values():
            state.needs_check = True
            state.blocked_until = float("inf")

    def call(self, path: str = "/a/x", **headers: str) -> Call:
        """Return a call that a caller sends to the cut VM now."""
        request = caller_request(path, **headers)
        request.received_at = self.cut.clock.monotonic()
        return parse_call(request)

    async def async_stop(self) -> None:
        """Close all connections."""
        if self.client is not None:
            self.client.close()
        await self.server.async_stop()
