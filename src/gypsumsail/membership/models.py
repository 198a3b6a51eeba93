"""Members, and what changes among them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.peers.port import EntryId


class MemberStatus(StrEnum):
    """What is believed of a life of an entry."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One life of an entry as it is known.

    Attributes
    ----------
    counter
        Raised by the entry itself alone, each time it contradicts a suspicion.
    """

    entry: EntryId
    peer_url: str
    status: MemberStatus
    counter: int

    @property
    def present(self) -> bool:
        """Whether the entry counts among the members."""
        return self.status is not MemberStatus.DEAD


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryJoined:
    """An entry became a member, or came back."""

    entry: EntryId


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryLost:
    """An entry is believed dead, from here."""

    entry: EntryId


@dataclass(frozen=True, slots=True, kw_only=True)
class VmsChanged:
    """The list of VMs changed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLeaving:
    """A life of a target gets no new work from now on."""

    vm_id: str
    incarnation: str


MembershipChange = EntryJoined | EntryLost | VmsChanged | TargetLeaving


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Settings of membership.

    Attributes
    ----------
    seeds
        Addresses of links at which entries may be found at start.
    """

    seeds: tuple[str, ...] = ()
