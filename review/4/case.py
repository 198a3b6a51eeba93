"""A server drains while the list holds one entry of another writer."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    CannotRunError,
    Deployment,
    Record,
    async_request,
    configuration,
    has_trouble,
    plain_service,
    route,
)

from stand_ins.raw_http import RawRequest, RawServer, encode_response

CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
DEADLINE_MS = 4000
REQUESTS = 40
REQUEST_PAUSE_SECONDS = 0.1
FOREIGN_ENTRY = {
    "service": "edge-cache",
    "addr": "127.81.0.200:8080",
    "state": "ready",
    "note": "Rennes \ud83d",
}
"""Entry of a service that no configuration names. Its writer has cut the note within a
character, so that its JSON holds half of a surrogate pair, which is no text."""


class PortalServer:
    """Plain server that registers itself."""

    def __init__(self, number: int, deployment: Deployment) -> None:
        self.name = f"i-portal{number}"
        self.host = f"127.81.0.{101 + number}"
        self.deployment = deployment
        self.record = deployment.record
        self.server = RawServer(self.handle)
        self.port = 0
        self.arrivals: list[str] = []

    async def async_start(self) -> None:
        """Listen and register."""
        self.port = await self.server.async_start(self.host)
        await self.async_register("ready")

    async def async_register(self, state: str) -> None:
        """Write the server's entry in the store."""
        await self.deployment.store.put(
            "servers",
            self.name,
            {
                "service": "portal",
                "addr": f"{self.host}:{self.port}",
                "zone": "brest-hall",
                "slots": 6,
                "state": state,
                "born": 1_780_000_000_000,
                "call_seq": 0,
                "version": "v1",
            },
        )

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Run one request."""
        request_id = request.headers.get("gypsumsail-request-id", "")
        headers = {
            "Gypsumsail-Request-Id": request_id,
            "Gypsumsail-Instance-Id": self.name,
            "Gypsumsail-Server-Stamp": f"{self.name}.1",
        }
        self.arrivals.append(request_id)
        self.record.write(f"{self.name} runs {request_id}")
        await asyncio.sleep(0.02)
        writer.write(encode_response(200, request_id.encode(), headers))
        return True


class Case:
    """The platform, one machine and two servers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(1, record)
        self.servers = [PortalServer(number, self.deployment) for number in range(2)]
        self.sent = 0

    async def async_send(self, count: int) -> list[str]:
        """Send requests one after the other and return their ids."""
        sent = []
        for _ in range(count):
            self.sent += 1
            request_id = f"claim{self.sent:011}"
            sent.append(request_id)
            answer = await async_request(
                self.deployment.machines[0], "GET", "/status/7", request_id, DEADLINE_MS
            )
            self.record.write(f"{request_id}: {answer.status} {answer.error}")
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)
        return sent

    async def async_run(self) -> int:
        """Run the case; return the number of requests that came too late."""
        for server in self.servers:
            await server.async_start()
        leaving = self.servers[0]
        status = route("status", "safe", "portal")
        await self.deployment.async_start(
            configuration(3, [status], [plain_service("portal")])
        )
        await asyncio.sleep(CONTACT_SECONDS + 0.5)
        before = await self.async_send(10)
        if not all(set(before) & set(server.arrivals) for server in self.servers):
            raise CannotRunError("not all servers get requests")
        if has_trouble():
            await self.deployment.store.put("servers", "edge-7", FOREIGN_ENTRY)
            self.record.write("another writer has put the entry edge-7")
        await asyncio.sleep(1.0)
        await leaving.async_register("draining")
        self.record.write(f"the store has accepted that {leaving.name} drains")
        await asyncio.sleep(DRAIN_SECONDS + 0.5)
        after = await self.async_send(REQUESTS)
        return len(set(after) & set(leaving.arrivals))

    async def async_restart(self) -> None:
        """Stop and start the machine as planned; what is seen is only recorded."""
        machine = self.deployment.machines[0]
        try:
            await self.deployment.async_restart(machine)
        except CannotRunError as err:
            self.record.write(f"after a planned restart: {err}")

    async def async_stop(self) -> None:
        """End all processes and servers."""
        await self.deployment.async_stop()
        for server in self.servers:
            await server.server.async_stop()


async def async_main(record: Record) -> int:
    """Run the case; return 1 if the rule was broken."""
    case = Case(record)
    try:
        late = await case.async_run()
        record.write(
            f"{late} of {REQUESTS} requests that were sent over drain_ms after the"
            " acknowledgement reached the draining server"
        )
        await case.async_restart()
    finally:
        await case.async_stop()
    return 1 if late else 0


if __name__ == "__main__":
    log = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        sys.exit(asyncio.run(async_main(log)))
    except (CannotRunError, OSError) as error:
        log.write(f"the case could not run: {error}")
        sys.exit(2)
