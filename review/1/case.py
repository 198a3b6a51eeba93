"""The store is down while entries of live engines lapse; then new weights are named."""

from __future__ import annotations

import asyncio
import json
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
    route,
)

from stand_ins.raw_http import RawRequest, RawServer, encode_response

ENGINES = 4
CONTACT_SECONDS = 3.0
OUTAGE_SECONDS = 4.0
LAPSE_SECONDS = 3.6
"""Three heartbeat intervals of 1,200 ms."""
BACK_SECONDS = 0.1
"""Time from the store's return to the first engine's entry, and between two of them."""
NAMING_SECONDS = 10.0
"""Time from the store's return to the naming of the new version."""
STRETCH_SECONDS = 18.0
"""1.5 x version_ms."""
LOAD_SECONDS = 0.5
DEADLINE_MS = 5000


class Engine:
    """Sound engine that loads the weights it is ordered to load."""

    def __init__(self, number: int, deployment: Deployment) -> None:
        self.name = f"i-llm{number}"
        self.host = f"127.81.0.{101 + number}"
        self.deployment = deployment
        self.record = deployment.record
        self.server = RawServer(self.handle)
        self.port = 0
        self.version = 1
        self.orders = 0
        self.is_busy = False
        self.loads: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Listen and register."""
        self.port = await self.server.async_start(self.host)
        await self.async_register()

    async def async_register(self) -> None:
        """Write the engine's entry in the store."""
        await self.deployment.store.put(
            "servers",
            self.name,
            {
                "service": "llm",
                "addr": f"{self.host}:{self.port}",
                "zone": "brest-hall",
                "slots": 64,
                "state": "ready",
                "born": 1_780_000_000_000,
                "call_seq": self.orders,
                "version": "v1",
                "models": [{"name": "m0", "version": self.version, "adapters": []}],
            },
        )

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer one request, order or question for a report."""
        headers = {
            "Gypsumsail-Request-Id": request.headers.get("gypsumsail-request-id", ""),
            "Gypsumsail-Instance-Id": self.name,
            "Gypsumsail-Weight-Versions": str(self.version),
        }
        if request.path == "/v1/report":
            writer.write(encode_response(200, self.report(), headers))
            return True
        if request.path == "/v1/order":
            status = self.take_order(json.loads(request.body))
            writer.write(encode_response(status, b"", headers))
            return True
        expected = request.headers.get("gypsumsail-expect-version")
        if expected not in (None, str(self.version)):
            writer.write(encode_response(421, b"", headers))
            return True
        if self.is_busy:
            headers["Gypsumsail-Not-Run"] = "1"
            writer.write(encode_response(503, b"", headers))
            return True
        headers["Gypsumsail-Server-Stamp"] = f"{self.name}.1"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", *lines]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        event = b"id: 1\ndata: verdict\n\n"
        writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(event), event))
        return True

    def report(self) -> bytes:
        """Return the engine's report."""
        models = [{"name": "m0", "version": self.version, "adapters": []}]
        found = {
            "stage": "colocated",
            "models": models,
            "busy": self.is_busy,
            "call_seq": self.orders,
            "born": 1_780_000_000_000,
        }
        return json.dumps(found).encode()

    def take_order(self, order: dict[str, int]) -> int:
        """Return the status of an order, and begin to carry it out."""
        if order["version"] == self.version:
            return 200
        if self.is_busy or order["expect"] != self.orders:
            return 409
        self.orders += 1
        self.is_busy = True
        self.record.write(f"{self.name} takes the order of version {order['version']}")
        task = asyncio.create_task(self.async_load(order["version"]))
        self.loads.add(task)
        task.add_done_callback(self.loads.discard)
        return 202

    async def async_load(self, version: int) -> None:
        """Load weights, and tell it in the engine's entry."""
        await asyncio.sleep(LOAD_SECONDS)
        self.version = version
        self.is_busy = False
        await self.async_register()


class Case:
    """The platform, two machines, four engines and a client."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(2, record)
        self.store = self.deployment.store
        self.engines = [Engine(number, self.deployment) for number in range(ENGINES)]
        self.sent = 0
        self.statuses: dict[int, int] = {}

    async def async_send(self) -> None:
        """Send prompts to both machines in turn, until cancelled."""
        while True:
            self.sent += 1
            request_id = f"verdict{self.sent:09}"
            answer = await async_request(
                self.deployment.machines[self.sent % 2],
                "POST",
                "/verdict/7",
                request_id,
                DEADLINE_MS,
                {
                    "Gypsumsail-Model": "m0",
                    "Gypsumsail-Token-Count": "1460,2",
                    "Gypsumsail-Prompt-Prefix": f"5c1e07a2:800,{self.sent:08x}:250",
                },
            )
            found = self.statuses.get(answer.status, 0)
            self.statuses[answer.status] = found + 1
            self.record.write(f"{request_id}: {answer.status} {answer.error}")
            await asyncio.sleep(0.2)

    async def async_outage(self) -> None:
        """Let the store be down, and the engines' entries lapse meanwhile.

        Each engine lives on and writes its entry again soon after the store's return.
        """
        self.store.server.start_resetting()
        self.record.write("the store is down (reset)")
        await asyncio.sleep(LAPSE_SECONDS)
        for engine in self.engines:
            await self.store.delete("servers", engine.name)
        await asyncio.sleep(OUTAGE_SECONDS - LAPSE_SECONDS)
        self.store.server.stop_resetting()
        self.record.write("the store is back; the engines' entries have lapsed")
        for engine in self.engines:
            await asyncio.sleep(BACK_SECONDS)
            await engine.async_register()
            self.record.write(f"the entry of {engine.name} is back")

    async def async_run(self) -> int:
        """Run the case; return the number of engines with the older version."""
        for engine in self.engines:
            await engine.async_start()
        await self.store.put("versions", "m0", {"model": "m0", "version": 1})
        stream = route(
            "verdict", "streaming", "llm", timeout_ms=DEADLINE_MS, gap_aim_ms=500
        )
        size = {"slots": 64, "kv_tokens": 41_616, "models": [{"name": "m0"}]}
        service = {"name": "llm", "health_path": "/healthz", "engine": size}
        await self.deployment.async_start(configuration(3, [stream], [service]))
        await asyncio.sleep(CONTACT_SECONDS + 0.5)
        client = asyncio.create_task(self.async_send())
        await asyncio.sleep(1.0)
        if has_trouble():
            await self.async_outage()
        await asyncio.sleep(NAMING_SECONDS)
        self.statuses.clear()
        await self.store.put("versions", "m0", {"model": "m0", "version": 2})
        self.record.write("version 2 of m0 is named and acknowledged")
        await asyncio.sleep(STRETCH_SECONDS + 2.0)
        client.cancel()
        await asyncio.gather(client, return_exceptions=True)
        return sum(engine.version < 2 for engine in self.engines)

    async def async_stop(self) -> None:
        """End all processes and engines."""
        await self.deployment.async_stop()
        for engine in self.engines:
            await engine.server.async_stop()


async def async_main(record: Record) -> int:
    """Run the case; return 1 if the rule was broken."""
    case = Case(record)
    try:
        older = await case.async_run()
    finally:
        await case.async_stop()
    record.write(
        f"{older} of {ENGINES} engines still have version 1; answers since the naming"
        f" by status: {case.statuses}"
    )
    return 1 if older > max(1, ENGINES // 10) else 0


if __name__ == "__main__":
    log = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        sys.exit(asyncio.run(async_main(log)))
    except (CannotRunError, OSError) as error:
        log.write(f"the case could not run: {error}")
        sys.exit(2)
