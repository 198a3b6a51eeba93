"""What membership needs of the links beyond sending and asking."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from gypsumsail.peers.handshake import Identity
from gypsumsail.peers.port import EntryId, PeerNetwork


class MembershipNetwork(PeerNetwork, Protocol):
    """Links whose address book membership keeps."""

    @property
    def identity(self) -> Identity:
        """Who this entry is and where it accepts links."""

    def set_addresses(self, addresses: Mapping[EntryId, str]) -> None:
        """Replace the entries that are believed alive."""

    def subscribe_met(self, listener: Callable[[Identity], None]) -> Callable[[], None]:
        """Report each entry that proved itself on a new link."""

    async def async_meet(self, peer_url: str) -> EntryId:
        """Open a link to an address and return who proved itself there."""
