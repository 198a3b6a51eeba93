"""Members and changes of the membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.peers.port import EntryId


class MemberStatus(StrEnum):
    """Believed status of one incarnation of an entry."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Record of one incarnation of an entry.

    Attributes
    ----------
    counter
        Increases with each refutation: the entry itself raises it above the counter of
        the suspicion. Records with equal counters may differ in status.
    """

    entry: EntryId
    peer_url: str
    status: MemberStatus
    counter: int

    @property
    def is_present(self) -> bool:
        """Whether the entry is alive or suspected, so not believed dead."""
        return self.status is not MemberStatus.DEAD


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryJoined:
    """An entry became a member or rejoined."""

    entry: EntryId


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryLost:
    """An entry is believed dead by this entry."""

    entry: EntryId


@dataclass(frozen=True, slots=True, kw_only=True)
class VmsChanged:
    """The list of VMs changed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLeaving:
    """One incarnation of a target gets no new work from now on."""

    vm_id: str
    incarnation: str


MembershipChange = EntryJoined | EntryLost | VmsChanged | TargetLeaving


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Settings of membership.

    Attributes
    ----------
    seeds
        Peer URLs at which other entries may be found.
    """

    seeds: tuple[str, ...] = ()
