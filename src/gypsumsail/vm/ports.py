"""Adapters that a VM of the gateway needs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from gypsumsail.catalog.coordinator import Decoder, Kinds
from gypsumsail.context_stores.port import ContextStores
from gypsumsail.gateway.models import Call, TargetEntry
from gypsumsail.gateway.port import CallerReply, TargetClient
from gypsumsail.object_api.eras import EraTracker
from gypsumsail.object_api.port import Listing, ObjectApi
from gypsumsail.rollout.port import EngineOrders
from gypsumsail.transport.http_reply import Reply
from gypsumsail.transport.http_request import HttpRequest
from gypsumsail.vm.settings import VmSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class VmPorts:
    """Adapters of one platform.

    Attributes
    ----------
    object_api
        API of the platform's object store.
    eras
        Latest era of that store that this VM has seen.
    unreadable_entries
        Returns how many entries of the store's answers could not be read.
    kinds
        Object kinds that the catalog reads.
    decoder
        Decodes the objects of these kinds.
    calls
        Client that sends calls to targets.
    orders
        Client that sends orders to engines and reads their reports.
    stores
        Client of the context stores.
    vms_kind
        Object kind under which the VMs register.
    kept_state_kind
        Object kind of the state that outlives all VMs; one object for each VM.
    kept_parts_kind
        Object kind of the parts that may be fetched; one object for each context store.
    list_vms
        Lists the objects of that kind; the result may be some seconds old.
    ready_path
        Path of the readiness check of the balancer.
    read_call
        Parses a request as a call; raises ``InvalidRequestError``.
    make_reply
        Creates the reply to a caller for a request id.
    on_target_removed
        Called when a target is removed.
    load_settings
        Loads the settings again; raises ``SettingsInvalidError``.
    """

    object_api: ObjectApi
    eras: EraTracker
    unreadable_entries: Callable[[], int]
    kinds: Kinds
    decoder: Decoder
    calls: TargetClient
    orders: EngineOrders
    stores: ContextStores
    vms_kind: str
    kept_state_kind: str
    kept_parts_kind: str
    list_vms: Callable[[], Awaitable[Listing]]
    ready_path: bytes
    read_call: Callable[[HttpRequest], Call]
    make_reply: Callable[[Reply, str], CallerReply]
    on_target_removed: Callable[[TargetEntry], None]
    load_settings: Callable[[], VmSettings]
