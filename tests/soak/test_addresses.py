"""Tests of addresses that pass to other targets, and of what targets must not run."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from soak.addresses import reuse_engine_address, reuse_store_address
from soak.callers import encode_call, unasked_finding
from soak.run import Soak
from stand_ins.v1_platform import Execution, RequestContent

ID_HEADER = "Gypsumsail-Request-Id"
INSTANCE_HEADER = "Gypsumsail-Target-Instance"


@pytest_asyncio.fixture
async def soak() -> AsyncIterator[Soak]:
    """Return a soak with targets and a context store, but without VMs."""
    run = Soak(1, vms=0, seconds=1.0)
    run.execution_log.on_start = run._check_start
    await run._start()
    yield run
    await run._stop()


async def async_status(address: str, method: str, path: str, **headers: str) -> int:
    """Send one request to an address; return the status of the answer."""
    host, _, port = address.rpartition(":")
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"{method} {path} HTTP/1.1", *lines])
    return await async_status_of(host, int(port), f"{head}\r\n\r\n".encode())


async def async_status_of(host: str, port: int, request: bytes) -> int:
    """Send one request; return the status of the answer."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(request)
    line = await reader.readline()
    writer.close()
    return int(line.split(b" ")[1])


@pytest.mark.parametrize(
    ("kind", "content", "is_found"),
    [
        ("safe", RequestContent.of("GET", "/safe/x", b""), False),
        ("once", RequestContent.of("POST", "/once/x", b"body of 26"), False),
        (None, RequestContent.of("GET", "/v1/kv-list", b""), True),
        ("safe", RequestContent.of("GET", "/safe/x?a=b", b""), True),
        ("once", RequestContent.of("POST", "/once/x", b"body of 27"), True),
        ("once", RequestContent.of("PUT", "/once/x", b"body of 26"), True),
        ("stream", RequestContent.of("POST", "/once/x", b"body of 26"), True),
    ],
)
def test_execution_that_differs_from_what_was_sent_is_found(
    kind: str | None, content: RequestContent, is_found: bool
) -> None:
    execution = Execution("p0", "a", content)
    finding = unasked_finding(kind, f"{26:016x}", execution)
    assert finding.startswith("UNASKED") is is_found


async def test_target_at_the_address_of_a_store_runs_what_has_an_id(
    soak: Soak,
) -> None:
    address = soak.context_store.address
    assert await async_status(address, "GET", "/v1/kv-list") == 200
    await reuse_store_address(soak)
    target = soak.targets[-1]
    assert soak.context_store.address != address
    assert soak.store.objects["servers"][target.name]["spec"]["addr"] == address
    assert await async_status(address, "GET", "/v1/kv-list") == 400
    other = {ID_HEADER: "aa", INSTANCE_HEADER: "e0"}
    assert await async_status(address, "GET", "/v1/kv-list", **other) == 421
    assert not soak.report.findings
    for _ in range(2):
        own = {ID_HEADER: "aa", INSTANCE_HEADER: target.name}
        assert await async_status(address, "GET", "/v1/kv-list", **own) == 200
    assert len(soak.report.findings) == 1
    text = f"UNASKED: {target.name} ran GET /v1/kv-list with id aa"
    assert soak.report.findings[0].startswith(text)


async def test_target_at_the_address_of_an_engine_rejects_orders_for_the_engine(
    soak: Soak,
) -> None:
    engines = {target.name for target in soak.targets if target.is_engine}
    await reuse_engine_address(soak)
    left = {target.name for target in soak.targets if target.is_engine}
    (ended,) = engines - left
    target = soak.targets[-1]
    assert len(left) == len(engines)
    assert ended not in soak.store.objects["servers"]
    address = target.registered_address
    named = {ID_HEADER: "aa", INSTANCE_HEADER: ended}
    assert await async_status(address, "GET", "/v1/report", **named) == 421
    assert not soak.report.findings
    assert await async_status(address, "GET", "/v1/report", **{ID_HEADER: "aa"}) == 200
    assert soak.report.findings[0].startswith(f"UNASKED: {target.name} ran GET")


async def test_request_of_a_caller_is_no_finding(soak: Soak) -> None:
    kind = soak.record_kind(26, "once")
    request = encode_call(kind, 26, "key", 3.0)
    target = soak.targets[0]
    assert await async_status_of(target.host, target.port, request) == 200
    assert not soak.report.findings


async def test_restored_store_does_not_list_an_ended_engine(soak: Soak) -> None:
    copy = soak.store.copy()
    await reuse_engine_address(soak)
    await soak.restore_store(copy)
    listed = soak.store.objects["servers"]
    assert soak.ended_names
    assert not listed.keys() & set(soak.ended_names)
    assert {target.name for target in soak.targets} <= listed.keys()
