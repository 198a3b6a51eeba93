"""Port to the platform: its object API and its list of VMs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar, Final, Protocol

from gypsumsail.core.errors import GypsumsailError

MUST_NOT_EXIST: Final = 0


class ConflictError(GypsumsailError):
    """A conditional update met another version.

    Attributes
    ----------
    current
        Version that the object has; 0 when it does not exist.
    """

    code: ClassVar[str] = "conflict"

    def __init__(self, message: str, *, current: int) -> None:
        super().__init__(message)
        self.current = current


class WatchExpiredError(GypsumsailError):
    """The platform has forgotten the revision that a watch resumes from."""

    code: ClassVar[str] = "watch_expired"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformObject:
    """One object as read from the platform.

    Attributes
    ----------
    version
        Version of this object; grows with each update, and may restart at 1
        when the object is deleted and made again.
    value
        The stored bytes; ``None`` in a watch event for a deleted object.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """Objects under a prefix, and the revision from which a watch follows on."""

    objects: tuple[PlatformObject, ...]
    revision: int


class VmRole(StrEnum):
    """What a VM is for."""

    ENTRY = "entry"
    ENGINE = "engine"
    STORE = "store"
    PLAIN = "plain"


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class VmRecord:
    """One VM of the platform's lagging list.

    Attributes
    ----------
    incarnation
        Changes each time the VM is restarted or replaced.
    service
        Service that the VM belongs to; empty for an entry.
    url
        HTTP address, ``http://127.0.0.1:port``.
    peer_url
        Address of the peer link of an entry, ``ws://127.0.0.1:port``; empty
        for other roles.
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

    Each method makes one call, which counts against the platform's rates.

    Raises
    ------
    TransportError
        The call failed. With ``sent`` true it may have taken effect.
    """

    async def async_get(self, key: str) -> PlatformObject | None:
        """Return the object, or ``None`` when it does not exist."""

    async def async_list(self, prefix: str) -> Listing:
        """Return all objects whose key starts with ``prefix``."""

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        """Write when the object has ``if_version``; return the new version.

        Raises
        ------
        ConflictError
            The object has another version.
        """

    async def async_delete(self, key: str, *, if_version: int) -> None:
        """Delete when the object has ``if_version``."""

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        """Wait up to ``wait`` seconds for changes under ``prefix``.

        Returns the changed objects, empty when nothing changed, and the
        revision to go on from.

        Raises
        ------
        WatchExpiredError
            The revision is forgotten: list again.
        """


class VmList(Protocol):
    """The platform's list of VMs."""

    async def async_vms(self) -> tuple[VmRecord, ...]:
        """Return the list; it lags both ways."""
