"""Implements the object API on the platform's object store."""

from __future__ import annotations

import asyncio
import base64
import logging
import secrets
from typing import Any, Final
from urllib.parse import quote

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError, UnavailableError
from gypsumsail.object_api.eras import (
    MAX_ERA,
    EraTracker,
    era_of,
    revision_of,
)
from gypsumsail.object_api.port import (
    MUST_NOT_EXIST,
    ConflictError,
    Listing,
    PlatformObject,
    WatchExpiredError,
)
from gypsumsail.platform.client import JsonClient
from gypsumsail.platform.names import OBJECTS_PATH, STORE_ERA_HEADER
from gypsumsail.platform.store_answers import (
    OPAQUE_FIELD,
    WRITE_ID_FIELD,
    StoreAnswers,
)
from gypsumsail.transport.bytes_client import BytesResponse
from gypsumsail.transport.errors import ResponseTooLargeError

_LOGGER = logging.getLogger(__name__)

WATCH_TIMEOUT_MARGIN_SECONDS: Final = 0.7
"""How much longer than its ``wait`` a watch may take before it times out."""
OBJECT_ANSWER_MAX_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of an answer.

An object has up to 1 MiB, and a page of a listing about 1 MB. An answer to a watch may
hold many changes; one that is larger is replaced by a listing.
"""
LIST_BODY_SECONDS: Final = 5.0
"""Time for the body of a listing or a watch, once its head has come.

A page with an object of the maximum size takes 1.7 s on a link of 10 Mbit/s.
"""
MAX_LIST_PAGES: Final = 1_000
"""Maximum number of pages that one listing reads; further objects are left out.

A page may hold a single object.
"""


class PlatformObjects:
    """Client of the platform's object store; keys have the form ``kind/name``.

    Implements the protocol ``ObjectApi``. Calls are not retried. A value that the
    gateway wrote is returned as its bytes; the value of any other object is the
    JSON of its ``spec``. Further slashes in the name are stored as dots, and a listing
    returns the key with the dots.

    Versions and revisions are positions (see ``object_api.eras``), also in conditions.

    Attributes
    ----------
    eras
        Latest era of the store, from the answers.
    answers
        Reads the answers.
    """

    def __init__(self, client: JsonClient, timeout: float, clock: Clock) -> None:
        self.client = client
        self.timeout = timeout
        self.clock = clock
        self.eras = EraTracker()
        self.answers = StoreAnswers()
        self.writer_id = secrets.token_hex(4)
        self.write_count = 0

    async def async_get(self, key: str) -> PlatformObject | None:
        """Return the object, or ``None`` if it does not exist."""
        answer = await self._async_call("GET", _object_path(key))
        if answer.status == 404:
            return None
        _raise_for_status(answer, "get")
        return self._read_object(key, answer)

    def _read_object(self, key: str, answer: BytesResponse) -> PlatformObject | None:
        return self.answers.entry(_key_kind(key), answer.body, self.eras.current)

    async def async_list(self, prefix: str, *, allow_stale: bool = False) -> Listing:
        """Return the objects of a kind, up to `MAX_LIST_PAGES` pages.

        Parameters
        ----------
        prefix
            Kind, with or without a trailing slash; a longer prefix is not supported.
        allow_stale
            Whether the answer may be several seconds old. In the platform's rate
            limit, a stale read counts as a tenth of a fresh one.
        """
        kind = prefix.rstrip("/")
        objects: list[PlatformObject] = []
        query = {"stale_ok": "1"} if allow_stale else {}
        revision = 0
        era: int | None = None
        for _ in range(MAX_LIST_PAGES):
            answer = await self._async_call(
                "GET", _object_path(kind), query=query, body_seconds=LIST_BODY_SECONDS
            )
            _raise_for_status(answer, "list")
            if era not in (None, self.eras.current):
                raise TransportError(
                    "list: the store was restored meanwhile", sent=True
                )
            era = self.eras.current
            page = self.answers.listing(kind, answer.body, era)
            objects += page.objects
            # The revision of the first page is returned, so that a watch from it also
            # reports changes made while later pages were read.
            revision = revision or page.revision
            if not page.has_more:
                break
            if not page.last_name:
                raise TransportError(
                    "list: no name from which the next page continues", sent=True
                )
            query = {**query, "after": page.last_name}
        else:
            _LOGGER.warning("Objects of kind %s are left out: too many pages", kind)
        return Listing(objects=tuple(objects), revision=revision)

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        """Write the object if its version is ``if_version``; return the new version.

        A condition from an earlier era of the store is a conflict, as its revision may
        have been given out again.
        """
        self._check_condition(key, if_version)
        era = self.eras.current
        name = _key_name(key)
        # The platform ignores a write that changes nothing and keeps the version, so
        # each write carries a unique ID.
        self.write_count += 1
        spec = {
            OPAQUE_FIELD: base64.b64encode(value).decode(),
            WRITE_ID_FIELD: f"{self.writer_id}.{self.write_count}",
        }
        body: dict[str, Any] = {"metadata": {"name": name}, "spec": spec}
        if if_version == MUST_NOT_EXIST:
            answer = await self._async_call(
                "POST", _object_path(_key_kind(key)), body=body
            )
        else:
            body["metadata"]["rev"] = revision_of(if_version)
            answer = await self._async_call("PUT", _object_path(key), body=body)
        if answer.status == 404:
            raise ConflictError(f"{key} does not exist", current=0)
        if answer.status == 409:
            current = self._read_object(key, answer)
            version = current.version if current is not None else 0
            raise ConflictError(
                f"{key} has a different version (current: {version}, 0 if unknown)",
                current=version,
            )
        _raise_for_status(answer, "put")
        if era and self.eras.current != era:
            raise ConflictError(f"{key}: the store was restored meanwhile", current=0)
        written = self._read_object(key, answer)
        if written is None:
            raise TransportError("put: the answer contains no valid object", sent=True)
        return written.version

    async def async_delete(self, key: str, *, if_version: int) -> None:
        """Delete the object if its version is ``if_version``."""
        self._check_condition(key, if_version)
        query = {"rev": str(revision_of(if_version))}
        answer = await self._async_call("DELETE", _object_path(key), query=query)
        if answer.status in (404, 409):
            raise ConflictError(
                f"{key} does not exist or has a different version", current=0
            )
        _raise_for_status(answer, "delete")

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        """Wait up to ``wait`` seconds for changes of the kind ``prefix``."""
        kind = prefix.rstrip("/")
        query = {
            "watch": str(revision_of(after_revision)),
            "wait_ms": str(int(wait * 1000)),
        }
        self._check_watch(after_revision)
        try:
            answer = await self.client.async_call_bytes(
                "GET",
                _object_path(kind),
                query=query,
                timeout=wait + WATCH_TIMEOUT_MARGIN_SECONDS,
                max_body_bytes=OBJECT_ANSWER_MAX_BYTES,
                body_seconds=LIST_BODY_SECONDS,
            )
        except ResponseTooLargeError as err:
            # The same watch would be answered with the same changes, and more.
            raise WatchExpiredError("watch: the answer is too large") from err
        if answer.status == 410:
            self._observe_era(answer)
            raise WatchExpiredError(f"revision {after_revision} is no longer available")
        _raise_for_status(answer, "watch")
        era = self._observe_era(answer)
        self._check_watch(after_revision)
        return self.answers.watch(kind, answer.body, era).as_listing()

    def _check_condition(self, key: str, if_version: int) -> None:
        if if_version != MUST_NOT_EXIST and era_of(if_version) != self.eras.current:
            message = f"{key} was read before the store was restored"
            raise ConflictError(message, current=0)

    def _check_watch(self, after_revision: int) -> None:
        if era_of(after_revision) != self.eras.current:
            message = f"revision {after_revision} is from an earlier era of the store"
            raise WatchExpiredError(message)

    def _observe_era(self, answer: BytesResponse) -> int:
        return self.eras.observe(_parse_era(answer), self.clock.monotonic())

    async def _async_call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: Any = None,
        body_seconds: float = 0.0,
    ) -> BytesResponse:
        """Make one call.

        The time limit also covers connecting. Since it does not tell whether the
        request was sent, the ``TransportError`` of a time-out has ``sent`` true.
        """
        try:
            async with asyncio.timeout(self.timeout + body_seconds):
                answer = await self.client.async_call_bytes(
                    method,
                    path,
                    timeout=self.timeout,
                    query=query,
                    body=body,
                    max_body_bytes=OBJECT_ANSWER_MAX_BYTES,
                    body_seconds=body_seconds,
                )
        except TimeoutError as err:
            raise TransportError(
                f"{method} {path}: no answer within the time limit", sent=True
            ) from err
        self._observe_era(answer)
        return answer


def _key_kind(key: str) -> str:
    return key.partition("/")[0]


def _key_name(key: str) -> str:
    return key.partition("/")[2].replace("/", ".")


def _object_path(key: str) -> str:
    kind, name = _key_kind(key), _key_name(key)
    path = f"{OBJECTS_PATH}/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path


def _raise_for_status(answer: BytesResponse, operation: str) -> None:
    # A call that the platform rejected for overload has had no effect.
    if answer.status in (429, 503):
        raise UnavailableError(f"{operation}: status {answer.status}", sent=False)
    if answer.status not in (200, 201):
        raise TransportError(f"{operation}: status {answer.status}", sent=True)


def _parse_era(answer: BytesResponse) -> int | None:
    """Return the era that an answer states; ``None`` if it is missing or invalid."""
    for name, value in answer.headers:
        if name != STORE_ERA_HEADER:
            continue
        if value.isdigit() and int(value) <= MAX_ERA:
            return int(value)
        _LOGGER.warning("Era of the store is invalid and ignored: %r", value)
    return None
