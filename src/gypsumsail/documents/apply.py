"""Conditional write of a document to the platform for an operator.

Concurrent changes of other operators are never overwritten.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import difflib
from typing import ClassVar

from gypsumsail.core.errors import GypsumsailError, TransportError
from gypsumsail.documents.codec import (
    StoredValueError,
    decode_stored,
    document_key,
    encode_stored,
)
from gypsumsail.documents.const import (
    APPLY_ATTEMPTS,
    APPLY_RETRY_SECONDS,
    RECREATION_VERSION_GAP,
)
from gypsumsail.documents.models import StoredDocument
from gypsumsail.object_api.port import (
    MUST_NOT_EXIST,
    ConflictError,
    ObjectApi,
    PlatformObject,
)


class ApplyUnknownError(GypsumsailError):
    """The write was not confirmed; it may have taken effect or still may."""

    code: ClassVar[str] = "apply_unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The document is written and comes into force with this version."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyConflict:
    """The document was changed concurrently; that change was not overwritten.

    Attributes
    ----------
    version
        Document version on the platform, or the object's version if its value can't be
        decoded; 0 if there is no object.
    text
        Text on the platform.
    difference
        Unified diff from that text to the operator's text.
    may_have_been_applied
        Whether the operator's text may have been in force temporarily.
    """

    version: int
    text: str
    difference: str
    may_have_been_applied: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedWrite:
    """A conditional write; repeating it has no further effect.

    Attributes
    ----------
    if_version
        Version that the object must have.
    document_version
        Version that the document gets: its offset plus the object's new version.
    """

    value: bytes
    if_version: int
    document_version: int


async def async_apply(
    api: ObjectApi,
    service: str,
    text: str,
    *,
    expected_version: int | None,
    highest_in_force: int,
) -> Applied | ApplyConflict:
    """Write a validated document.

    Parameters
    ----------
    expected_version
        Version that the operator's edit is based on; ``None`` for a new document.
    highest_in_force
        Highest version in force that any entry reports.

    Raises
    ------
    TransportError
        The platform could not be read; nothing was written.
    ApplyUnknownError
        The write was not confirmed; it may still take effect.
    """
    key = document_key(service)
    before = await _async_read(api, key)
    plan = plan_write(
        before,
        text,
        expected_version=expected_version,
        highest_in_force=highest_in_force,
    )
    if isinstance(plan, ApplyConflict):
        return plan
    response_lost = False
    for _ in range(APPLY_ATTEMPTS):
        try:
            await api.async_put(key, plan.value, if_version=plan.if_version)
            return Applied(version=plan.document_version)
        except ConflictError:
            pass
        except TransportError as error:
            response_lost = response_lost or error.sent
        await asyncio.sleep(APPLY_RETRY_SECONDS)
        try:
            current = await _async_read(api, key)
        except TransportError as error:
            raise ApplyUnknownError(
                f"the platform became unreachable during the write: {error}"
            ) from error
        if current != before:
            return _resolve_write(current, plan, text, response_lost=response_lost)
    raise ApplyUnknownError(
        f"the write was not confirmed in {APPLY_ATTEMPTS} attempts; "
        "it may still take effect"
    )


def plan_write(
    current: PlatformObject | None,
    text: str,
    *,
    expected_version: int | None,
    highest_in_force: int,
) -> PlannedWrite | ApplyConflict:
    """Plan the write.

    Its version is above the one on the platform and the highest in force. It is above
    all earlier versions only if, when a deleted object is created again, a version from
    its last creation or later is in force on an entry; this is not checked.
    """
    if current is None or current.value is None:
        return _plan_creation(
            text, expected_version=expected_version, highest_in_force=highest_in_force
        )
    try:
        stored = decode_stored(current.value)
    except StoredValueError:
        stored = None
    # An object that can't be decoded has no document version; the operator's edit is
    # then based on the highest version in force.
    current_version = (
        highest_in_force if stored is None else stored.base + current.version
    )
    if current_version != (expected_version or 0):
        return _conflict(current, text)
    base = max(0 if stored is None else stored.base, highest_in_force - current.version)
    return _planned_write(text, base=base, if_version=current.version)


def _plan_creation(
    text: str, *, expected_version: int | None, highest_in_force: int
) -> PlannedWrite | ApplyConflict:
    """Plan a write that creates the object.

    If the object existed before, the new version is ``RECREATION_VERSION_GAP`` above
    the highest one in force, so that it is also above earlier writes that no entry
    had in force when it was asked.
    """
    if (expected_version or 0) != highest_in_force:
        return ApplyConflict(version=0, text="", difference=_difference("", text))
    base = highest_in_force + RECREATION_VERSION_GAP if highest_in_force else 0
    return _planned_write(text, base=base, if_version=MUST_NOT_EXIST)


def _planned_write(text: str, *, base: int, if_version: int) -> PlannedWrite:
    return PlannedWrite(
        value=encode_stored(StoredDocument(base=base, text=text)),
        if_version=if_version,
        document_version=base + if_version + 1,
    )


def _resolve_write(
    found: PlatformObject | None,
    plan: PlannedWrite,
    text: str,
    *,
    response_lost: bool,
) -> Applied | ApplyConflict:
    """Determine from a later read whether an unconfirmed write took effect."""
    written = found is not None and found.version == plan.if_version + 1
    if found is not None and written and found.value == plan.value:
        return Applied(version=plan.document_version)
    return _conflict(found, text, may_have_been_applied=response_lost)


def _conflict(
    found: PlatformObject | None, text: str, *, may_have_been_applied: bool = False
) -> ApplyConflict:
    version, remote = _decode_lenient(found)
    return ApplyConflict(
        version=version,
        text=remote,
        difference=_difference(remote, text),
        may_have_been_applied=may_have_been_applied,
    )


def _decode_lenient(found: PlatformObject | None) -> tuple[int, str]:
    if found is None or found.value is None:
        return 0, ""
    try:
        stored = decode_stored(found.value)
    except StoredValueError:
        return found.version, found.value.decode(errors="replace")
    return stored.base + found.version, stored.text


def _difference(remote: str, own: str) -> str:
    lines = difflib.unified_diff(
        remote.splitlines(),
        own.splitlines(),
        fromfile="on the platform",
        tofile="yours",
        lineterm="",
    )
    return "\n".join(lines)


async def _async_read(api: ObjectApi, key: str) -> PlatformObject | None:
    for _ in range(APPLY_ATTEMPTS - 1):
        try:
            return await api.async_get(key)
        except TransportError:
            await asyncio.sleep(APPLY_RETRY_SECONDS)
    return await api.async_get(key)
