"""What a VM of the gateway needs from its adapters."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from gypsumsail.catalog.coordinator import Decoder, Kinds
from gypsumsail.context_stores.port import ContextStores
from gypsumsail.gateway.models import Call, TargetEntry
from gypsumsail.gateway.port import CallerReply, TargetCalls
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
    api
        The platform's objects.
    vms_kind
        Kind under which the VMs list themselves.
    list_vms
        Lists that kind; the answer may be seconds old.
    ready_path
        Path on which the balancer asks.
    read_call
        Returns the call of a request; raises ``InvalidRequestError``.
    reply
        Returns the reply to a caller for a request id.
    forget
        Called when a target is gone.
    load_settings
        Reads the settings anew; raises ``SettingsInvalidError``.
    """

    api: ObjectApi
    kinds: Kinds
    decoder: Decoder
    calls: TargetCalls
    orders: EngineOrders
    stores: ContextStores
    vms_kind: str
    list_vms: Callable[[], Awaitable[Listing]]
    ready_path: bytes
    read_call: Callable[[HttpRequest], Call]
    reply: Callable[[Reply, str], CallerReply]
    forget: Callable[[TargetEntry], None]
    load_settings: Callable[[], VmSettings]
