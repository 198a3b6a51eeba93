"""HTTP client of the platform's object API and VM list."""

from __future__ import annotations

import logging
from typing import Final

import httpx
from pydantic import ValidationError

from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import (
    ConflictError,
    Listing,
    PlatformObject,
    VmRecord,
    WatchExpiredError,
)
from gypsumsail.object_api.wire import (
    ConflictBody,
    ListingBody,
    VmBody,
    VmListBody,
    WrittenBody,
)
from gypsumsail.transport.client import (
    HttpClient,
    HttpResponse,
    parse,
    quote_path,
    raise_for_status,
)
from gypsumsail.transport.const import CALL_TIMEOUT_SECONDS, EVENT_POLL_MARGIN_SECONDS

MAX_LISTING_BYTES: Final = 64 * 1024 * 1024
_VERSION_HEADER: Final = "x-version"

_LOGGER = logging.getLogger(__name__)


class HttpPlatform:
    """HTTP client of the platform on which entries run.

    Implements the protocols ``ObjectApi`` and ``VmList``.
    """

    def __init__(self, base_url: str, *, timeout: float = CALL_TIMEOUT_SECONDS):
        self.client = HttpClient(
            base_url, max_response_bytes=MAX_LISTING_BYTES, send_limit_seconds=timeout
        )
        self.timeout = timeout

    async def async_close(self) -> None:
        """Close all connections."""
        await self.client.async_close()

    async def async_get(self, key: str) -> PlatformObject | None:
        """Return the object, or ``None`` when it does not exist."""
        answer = await self.client.async_call(
            "GET", _object_path(key), timeout=self.timeout
        )
        if answer.status == httpx.codes.NOT_FOUND:
            return None
        raise_for_status(answer, "get")
        version = answer.headers.get(_VERSION_HEADER, "")
        if not (version.isascii() and version.isdigit()):
            raise TransportError(
                "get: the answer has no valid version header", sent=True
            )
        return PlatformObject(key=key, version=int(version), value=answer.body)

    async def async_list(self, prefix: str) -> Listing:
        """Return all objects whose key starts with ``prefix``."""
        answer = await self.client.async_call(
            "GET", "/objects", query={"prefix": prefix}, timeout=self.timeout
        )
        raise_for_status(answer, "list")
        return _parse_listing(answer)

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        """Write the object if its version is ``if_version``; return the new version."""
        answer = await self.client.async_call(
            "PUT",
            _object_path(key),
            headers={"if-version": str(if_version)},
            body=value,
            timeout=self.timeout,
        )
        _raise_for_conflict(answer, key)
        raise_for_status(answer, "put")
        return parse(WrittenBody, answer).version

    async def async_delete(self, key: str, *, if_version: int) -> None:
        """Delete the object if its version is ``if_version``."""
        answer = await self.client.async_call(
            "DELETE",
            _object_path(key),
            headers={"if-version": str(if_version)},
            timeout=self.timeout,
        )
        if answer.status == httpx.codes.NOT_FOUND:
            raise ConflictError(f"{key} does not exist", current=0)
        _raise_for_conflict(answer, key)
        raise_for_status(answer, "delete")

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        """Wait up to ``wait`` seconds for changes under ``prefix``."""
        query = {"prefix": prefix, "after": str(after_revision), "wait": str(wait)}
        answer = await self.client.async_call(
            "GET", "/watch", query=query, timeout=wait + EVENT_POLL_MARGIN_SECONDS
        )
        if answer.status == httpx.codes.GONE:
            raise WatchExpiredError(f"revision {after_revision} is no longer available")
        raise_for_status(answer, "watch")
        return _parse_listing(answer)

    async def async_vms(self) -> tuple[VmRecord, ...]:
        """Return the list of VMs without malformed records."""
        answer = await self.client.async_call("GET", "/vms", timeout=self.timeout)
        raise_for_status(answer, "vms")
        return tuple(
            record
            for value in parse(VmListBody, answer).vms
            if (record := _parse_vm_record(value)) is not None
        )


def _object_path(key: str) -> str:
    return f"/objects/{quote_path(key)}"


def _raise_for_conflict(answer: HttpResponse, key: str) -> None:
    if answer.status != httpx.codes.CONFLICT:
        return
    current = parse(ConflictBody, answer).current
    raise ConflictError(f"{key} has version {current}", current=current)


def _parse_listing(answer: HttpResponse) -> Listing:
    body = parse(ListingBody, answer)
    objects = tuple(
        PlatformObject(key=found.key, version=found.version, value=found.value_base64)
        for found in body.objects
    )
    return Listing(objects=objects, revision=body.revision)


def _parse_vm_record(value: object) -> VmRecord | None:
    try:
        body = VmBody.model_validate(value)
    except ValidationError as err:
        _LOGGER.warning(
            "Skipped a malformed record in the VM list: %s validation errors",
            err.error_count(),
        )
        return None
    return VmRecord(
        vm_id=body.vm_id,
        incarnation=body.incarnation,
        zone=body.zone,
        role=body.role,
        service=body.service,
        state=body.state,
        url=body.url,
        peer_url=body.peer_url,
    )
