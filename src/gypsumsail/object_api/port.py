"""Protocols and data types of the platform's object API and VM list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar, Final, Protocol

from gypsumsail.core.errors import GypsumsailError

MUST_NOT_EXIST: Final = 0
"""Value of ``if_version`` that creates an object, which must not exist yet."""


class ConflictError(GypsumsailError):
    """The object's version differs from the expected version of an update.

    Attributes
    ----------
    current
        Version of the object on the platform; 0 if the object does not exist or
        its version is unknown.
    """

    code: ClassVar[str] = "conflict"

    def __init__(self, message: str, *, current: int) -> None:
        super().__init__(message)
        self.current = current


class WatchExpiredError(GypsumsailError):
    """The platform no longer keeps the revision that a watch resumes from."""

    code: ClassVar[str] = "watch_expired"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformObject:
    """An object read from the platform.

    Attributes
    ----------
    version
        Version of this object. Each update increases the version; it may restart
        at 1 when the object is deleted and created again.
    value
        The stored bytes; ``None`` in a watch event of a deleted object.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """Objects under a prefix and the revision from which a watch continues.

    In the result of a watch, these are the changed objects, including deleted ones.
    """

    objects: tuple[PlatformObject, ...]
    revision: int


class VmRole(StrEnum):
    """Role of a VM.

    An ``ENTRY`` receives the requests of callers, an ``ENGINE`` runs inference, a
    ``STORE`` keeps blocks of KV cache, and ``PLAIN`` is any other target.
    """

    ENTRY = "entry"
    ENGINE = "engine"
    STORE = "store"
    PLAIN = "plain"


class VmState(StrEnum):
    """State of a VM in the platform's VM list; a ``LEAVING`` VM is about to stop."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class VmRecord:
    """A VM in the platform's list, which lags behind the VMs' real state.

    Attributes
    ----------
    incarnation
        Identifier that changes each time the VM is restarted or replaced.
    service
        Service that the VM belongs to; empty for a VM of role ``ENTRY``.
    url
        HTTP address, ``http://HOST:PORT``; roles other than ``ENGINE`` and ``STORE``
        may also use ``https``.
    peer_url
        WebSocket address for peers, ``ws://HOST:PORT`` or ``wss://HOST:PORT``, of a
        VM of role ``ENTRY``; empty for other roles.
    """

    vm_id: str
    incarnation: str
    zone: str
    role: VmRole
    service: str
    state: VmState
    url: str
    peer_url: str = ""


class ObjectApi(Protocol):
    """The platform's object API.

    Each method makes one call, which counts towards the platform's rate limits.

    Raises
    ------
    TransportError
        The call failed. If ``sent`` is true, it may have taken effect; if it is false,
        it was not sent or the platform rejected it, and it had no effect.
    """

    async def async_get(self, key: str) -> PlatformObject | None:
        """Return the object, or ``None`` when it does not exist."""

    async def async_list(self, prefix: str) -> Listing:
        """Return all objects whose key starts with ``prefix``."""

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        """Write the object if its version is ``if_version``; return the new version.

        ``MUST_NOT_EXIST`` as ``if_version`` creates the object.

        Raises
        ------
        ConflictError
            The object has a different version.
        """

    async def async_delete(self, key: str, *, if_version: int) -> None:
        """Delete the object if its version is ``if_version``.

        Raises
        ------
        ConflictError
            The object has a different version or does not exist.
        """

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        """Wait up to ``wait`` seconds for changes under ``prefix``.

        Returns the changed objects (empty if nothing changed) and the revision
        from which the next watch continues.

        Raises
        ------
        WatchExpiredError
            The platform no longer keeps the revision; the caller has to list the
            objects again.
        """


class VmList(Protocol):
    """The platform's list of VMs."""

    async def async_vms(self) -> tuple[VmRecord, ...]:
        """Return the list.

        The list lags behind the real state: it may still contain VMs that are
        gone and may not yet contain VMs that have started.
        """
