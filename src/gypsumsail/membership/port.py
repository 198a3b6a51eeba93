"""Network interface that membership needs in addition to messages."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from gypsumsail.peers.handshake import Identity
from gypsumsail.peers.port import EntryId, PeerNetwork


class MembershipNetwork(PeerNetwork, Protocol):
    """Links between entries, with addresses that membership maintains."""

    @property
    def identity(self) -> Identity:
        """Identity of this entry and the address at which it accepts links."""

    def set_addresses(self, addresses: Mapping[EntryId, str]) -> None:
        """Replace the addresses of the entries that are not believed dead."""

    def subscribe_connected(
        self, listener: Callable[[Identity], None]
    ) -> Callable[[], None]:
        """Report the identity of each entry that was verified on a new link."""

    async def async_connect(self, peer_url: str) -> EntryId:
        """Open a link to an address and return the entry verified there."""
