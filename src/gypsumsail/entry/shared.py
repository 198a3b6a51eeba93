"""Components that share state with other entries, and the clients that they use."""

from __future__ import annotations

import random

from gypsumsail.context.coordinator import ContextCoordinator
from gypsumsail.core.clock import Clock
from gypsumsail.core.ids import new_id
from gypsumsail.document.parser import parse_document
from gypsumsail.documents.coordinator import DocumentsCoordinator
from gypsumsail.entry.adapters import HttpClientPool
from gypsumsail.entry.settings import EntrySettings
from gypsumsail.entry.sources import DocumentsByService, EngineAndStoreLists
from gypsumsail.limits.coordinator import LimitCoordinator
from gypsumsail.membership.coordinator import MembershipCoordinator
from gypsumsail.membership.models import MembershipSettings
from gypsumsail.object_api.http import HttpPlatform
from gypsumsail.once.coordinator import AtMostOnceCoordinator
from gypsumsail.orders.coordinator import OrdersCoordinator
from gypsumsail.peers.network import WebsocketPeerNetwork
from gypsumsail.peers.port import EntryId
from gypsumsail.stores.http import HttpStore
from gypsumsail.suspects.coordinator import SuspectsCoordinator
from gypsumsail.targets.http import HttpEngineClient
from gypsumsail.tiers.coordinator import TierCoordinator
from gypsumsail.timeline.archive import TimelineArchiver
from gypsumsail.timeline.recorder import TimelineRecorder
from gypsumsail.timeline.records import ProcessId


class SharedComponents:
    """Components whose state is shared with other entries, and their clients.

    Attributes
    ----------
    entry_id
        Identity of this entry; the incarnation changes with each start.
    engines, stores
        HTTP clients of the engines and of the stores.
    targets
        Lists of the engines and stores; contains no plain services.
    once
        Records of requests that run at most once.
    orders
        Sends the engines the orders that set their desired state.
    tiers
        Moves KV blocks between engines and stores.
    """

    def __init__(
        self, settings: EntrySettings, clock: Clock, rng: random.Random
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.entry_id = EntryId(
            name=settings.name, incarnation=new_id(), zone=settings.zone
        )
        self.recorder = TimelineRecorder(
            ProcessId(name=self.entry_id.name, incarnation=self.entry_id.incarnation),
            clock,
        )
        self.platform = HttpPlatform(settings.platform_url)
        self.engines = HttpClientPool(HttpEngineClient)
        self.stores = HttpClientPool(HttpStore)
        self._create_membership()
        self._create_platform_components()
        self._create_replicated_components()

    def _create_membership(self) -> None:
        """Create the peer network, the membership and the documents."""
        settings = self.settings
        self.network = WebsocketPeerNetwork(
            self.entry_id,
            secret=settings.peer_secret.get_secret_value().encode(),
            host=settings.peer_listen.host,
            port=settings.peer_listen.port,
            clock=self.clock,
            hybrid_clock=self.recorder,
        )
        self.membership = MembershipCoordinator(
            MembershipSettings(seeds=settings.seed_peers),
            vm_list=self.platform,
            network=self.network,
            recorder=self.recorder,
            clock=self.clock,
            rng=self.rng,
        )
        self.documents = DocumentsCoordinator(
            self.platform,
            self.network,
            self.membership,
            self.recorder,
            self.clock,
            parse=parse_document,
            rng=self.rng,
        )
        self.targets = EngineAndStoreLists(
            self.membership, self.documents, self.engines, self.stores
        )
        self.document_lookup = DocumentsByService(self.documents)

    def _create_platform_components(self) -> None:
        """Create the components that store their state on the platform."""
        self.once = AtMostOnceCoordinator(
            self.platform, self.network, self.recorder, self.clock, self.entry_id
        )
        self.orders = OrdersCoordinator(
            self.platform,
            self.documents,
            self.membership,
            self.engines.get,
            self.recorder,
            self.clock,
            self.entry_id,
        )
        self.archive = TimelineArchiver(
            self.recorder.archive_queue,
            self.network,
            self.platform,
            self.clock,
            self.entry_id.zone,
            self.settings.timeline_retention_days,
        )

    def _create_replicated_components(self) -> None:
        """Create the components that share soft state between entries."""
        self.suspects = SuspectsCoordinator(
            self.entry_id, self.network, self.recorder, self.clock
        )
        self.limits = LimitCoordinator(
            self.entry_id, self.network, self.document_lookup, self.clock, self.rng
        )
        self.context = ContextCoordinator(
            self.entry_id, self.network, self.targets, self.clock
        )
        self.tiers = TierCoordinator(
            self.entry_id,
            self.network,
            self.context,
            self.limits,
            self.targets,
            self.document_lookup,
            self.recorder,
            self.clock,
            self.rng,
        )
