"""Discovery of the entries and concurrent queries to their operator API."""

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
# Not enforced: async_query reads responses of any size.
MAX_RESPONSE_BYTES: Final = 32 * 1024 * 1024

_AnswerT = TypeVar("_AnswerT")


@dataclass(slots=True, kw_only=True)
class EntryAddresses:
    """Addresses of the entries, and the sources that could not be read.

    Attributes
    ----------
    urls
        URL by name. The name of an entry that the user gave by its URL is that URL.
    listed
        Names of the entries in the platform's VM list.
    unreachable
        Sources of addresses that could not be read, such as ``platform``, with the
        reason.
    """

    urls: dict[str, str] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)
    unreachable: dict[str, str] = field(default_factory=dict)

    def add_listed(self, record: VmRecord) -> None:
        """Add an entry of the platform's VM list.

        The list may contain several incarnations (restarts or replacements) of one
        VM. The first one listed is named by its VM ID, the others by
        ``vm_id/incarnation``.
        """
        name = record.vm_id
        if name in self.urls:
            name = f"{record.vm_id}/{record.incarnation}"
        self.urls[name] = record.url.rstrip("/")
        self.listed.add(name)

    def mismatch_reason(self, name: str, entry: str) -> str:
        """Return why an answer is not from the expected entry; empty when it is.

        ``name`` is the name under which the entry was queried, ``entry`` the name that
        the answer contains. Only entries of the platform's VM list are compared: the
        list lags, so that an address in it may belong to another entry by now.
        """
        if name not in self.listed or name.partition("/")[0] == entry:
            return ""
        return f"its address answers as {entry}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Answers(Generic[_AnswerT]):
    """Answers of the entries.

    Attributes
    ----------
    answers
        Answers by the name that the entry gives itself.
    unreachable
        Entries without a usable answer, and other sources that failed, by name, with
        the reason.
    """

    answers: dict[str, _AnswerT]
    unreachable: dict[str, str]


async def async_find_entries(vms: VmList | None, urls: Iterable[str]) -> EntryAddresses:
    """Return the entries of the platform's VM list and those given by URL."""
    addresses = EntryAddresses()
    try:
        records = await vms.async_vms() if vms is not None else ()
    except GypsumsailError as err:
        addresses.unreachable["platform"] = str(err) or err.code
        records = ()
    for record in records:
        if record.role is VmRole.ENTRY:
            addresses.add_listed(record)
    known = set(addresses.urls.values())
    for url in urls:
        if url.rstrip("/") not in known:
            addresses.urls[url.rstrip("/")] = url.rstrip("/")
    return addresses


async def async_query_all(
    client: httpx.AsyncClient,
    addresses: EntryAddresses,
    path: str,
    answer_type: TypeAdapter[_AnswerT],
    entry_name_of: Callable[[_AnswerT], str],
) -> Answers[_AnswerT]:
    """Query all entries concurrently.

    ``RESPONSE_TIMEOUT_SECONDS`` applies to each network operation (connect, write and
    read) of a query, not to the query as a whole. The result contains each answer under
    the name that the entry gives itself, also when this is not the expected entry; the
    queried name then is in ``unreachable`` as well.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def query(url: str) -> _AnswerT | str:
        async with semaphore:
            return await async_query(client, url + path, answer_type)

    results = await asyncio.gather(*(query(url) for url in addresses.urls.values()))
    answers: dict[str, _AnswerT] = {}
    unreachable = dict(addresses.unreachable)
    for name, result in zip(addresses.urls, results, strict=True):
        if isinstance(result, str):
            unreachable[name] = result
            continue
        entry = entry_name_of(result)
        answers[entry] = result
        if reason := addresses.mismatch_reason(name, entry):
            unreachable[name] = reason
    return Answers(answers=answers, unreachable=unreachable)


async def async_query(
    client: httpx.AsyncClient, url: str, answer_type: TypeAdapter[_AnswerT]
) -> _AnswerT | str:
    """Return the parsed answer, or the reason for the failure as text."""
    try:
        response = await client.get(url, timeout=RESPONSE_TIMEOUT_SECONDS)
    except httpx.HTTPError as err:
        return str(err) or type(err).__name__
    if response.status_code == httpx.codes.UNAUTHORIZED:
        return "refused the operator key"
    if response.status_code != httpx.codes.OK:
        return f"answered with HTTP status {response.status_code}"
    try:
        return answer_type.validate_json(response.content)
    except ValidationError:
        return "sent an invalid response"


def unlisted_entries(known: Collection[str], peers: Iterable[str]) -> dict[str, str]:
    """Return the entries that only other entries know, with the reason."""
    reason = "known to other entries, but missing from the platform's VM list"
    return dict.fromkeys(sorted(set(peers) - set(known)), reason)
