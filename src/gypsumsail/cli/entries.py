"""Finds the entries and asks all of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

import httpx
from pydantic import TypeAdapter, ValidationError

from gypsumsail.core.errors import GypsumsailError
from gypsumsail.object_api.port import VmList, VmRecord, VmRole

RESPONSE_TIMEOUT_SECONDS: Final = 5.0
MAX_CONCURRENT_REQUESTS: Final = 32
MAX_RESPONSE_BYTES: Final = 32 * 1024 * 1024

_AnswerT = TypeVar("_AnswerT")


@dataclass(slots=True, kw_only=True)
class EntryDirectory:
    """Addresses of the entries.

    Attributes
    ----------
    urls
        Address by name; an entry given by its address is named by it.
    listed
        Names that the platform's list gives.
    unreachable
        What could not be asked, with the reason.
    """

    urls: dict[str, str] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)
    unreachable: dict[str, str] = field(default_factory=dict)

    def add_listed(self, record: VmRecord) -> None:
        """Add an entry of the platform's list, which may name one twice."""
        name = record.vm_id
        if name in self.urls:
            name = f"{record.vm_id}/{record.incarnation}"
        self.urls[name] = record.url.rstrip("/")
        self.listed.add(name)

    def mismatch_reason(self, name: str, entry: str) -> str:
        """Return why an answer is not that of the named entry, or nothing.

        An address of the platform's lagging list may be another entry's by now.
        """
        if name not in self.listed or name.partition("/")[0] == entry:
            return ""
        return f"its address answers as {entry}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Answers(Generic[_AnswerT]):
    """Answers of the entries by name, and those that could not be asked."""

    answers: dict[str, _AnswerT]
    unreachable: dict[str, str]


async def async_find_entries(vms: VmList | None, urls: Iterable[str]) -> EntryDirectory:
    """Return the entries of the platform's list and those given by address."""
    directory = EntryDirectory()
    try:
        records = await vms.async_vms() if vms is not None else ()
    except GypsumsailError as err:
        directory.unreachable["platform"] = str(err) or err.code
        records = ()
    for record in records:
        if record.role is VmRole.ENTRY:
            directory.add_listed(record)
    known = set(directory.urls.values())
    for url in urls:
        if url.rstrip("/") not in known:
            directory.urls[url.rstrip("/")] = url.rstrip("/")
    return directory


async def async_query_all(
    client: httpx.AsyncClient,
    directory: EntryDirectory,
    path: str,
    answer_type: TypeAdapter[_AnswerT],
    entry_name_of: Callable[[_AnswerT], str],
) -> Answers[_AnswerT]:
    """Ask all entries at once; each gets its own timeout.

    The answers stand under the names that the entries give themselves.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def query(url: str) -> _AnswerT | str:
        async with semaphore:
            return await async_query(client, url + path, answer_type)

    results = await asyncio.gather(*(query(url) for url in directory.urls.values()))
    answers: dict[str, _AnswerT] = {}
    unreachable = dict(directory.unreachable)
    for name, result in zip(directory.urls, results, strict=True):
        if isinstance(result, str):
            unreachable[name] = result
            continue
        entry = entry_name_of(result)
        answers[entry] = result
        if reason := directory.mismatch_reason(name, entry):
            unreachable[name] = reason
    return Answers(answers=answers, unreachable=unreachable)


async def async_query(
    client: httpx.AsyncClient, url: str, answer_type: TypeAdapter[_AnswerT]
) -> _AnswerT | str:
    """Return the answer, or why there is none."""
    try:
        response = await client.get(url, timeout=RESPONSE_TIMEOUT_SECONDS)
    except httpx.HTTPError as err:
        return str(err) or type(err).__name__
    if response.status_code == httpx.codes.UNAUTHORIZED:
        return "refused the operator key"
    if response.status_code != httpx.codes.OK:
        return f"answered {response.status_code}"
    try:
        return answer_type.validate_json(response.content)
    except ValidationError:
        return "answered what can't be read"


def unlisted_entries(known: Collection[str], peers: Iterable[str]) -> dict[str, str]:
    """Return the entries that only other entries know, as unreachable."""
    reason = "known to other entries, not in the platform's list"
    return dict.fromkeys(sorted(set(peers) - set(known)), reason)
