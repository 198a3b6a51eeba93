"""Lookups of documents, targets and stores for the components of an entry."""

from __future__ import annotations

from collections.abc import Callable

from gypsumsail.context.port import EngineHandle, StoreHandle
from gypsumsail.core.callback import callback
from gypsumsail.document.models import ServiceDocument
from gypsumsail.documents.coordinator import DocumentsCoordinator
from gypsumsail.entry.adapters import HttpClientPool
from gypsumsail.membership.coordinator import MembershipCoordinator
from gypsumsail.object_api.port import VmRecord, VmRole
from gypsumsail.stores.http import HttpStore
from gypsumsail.targets.http import HttpEngine


class DocumentsByService:
    """Lookup of the document in force of a service."""

    def __init__(self, documents: DocumentsCoordinator) -> None:
        self.documents = documents

    @callback
    def document(self, service: str) -> ServiceDocument | None:
        """Return the document of a service, or ``None`` if it has none."""
        found = self.documents.in_force(service)
        return found.document if found is not None else None


class EngineAndStoreLists:
    """Lists of the engines and stores of all services with a document in force.

    The lists are rebuilt only when the membership or a document changes.
    """

    def __init__(
        self,
        membership: MembershipCoordinator,
        documents: DocumentsCoordinator,
        engine_pool: HttpClientPool[HttpEngine],
        store_pool: HttpClientPool[HttpStore],
    ) -> None:
        self.membership = membership
        self.documents = documents
        self.engine_pool = engine_pool
        self.store_pool = store_pool
        self.unsubscribe: list[Callable[[], None]] = []
        self.engine_vms: tuple[VmRecord, ...] = ()
        self.engine_handles: tuple[EngineHandle, ...] = ()
        self.store_handles: tuple[StoreHandle, ...] = ()

    async def async_setup(self) -> None:
        """Subscribe to changes of the membership and the documents."""
        self.unsubscribe = [
            self.membership.subscribe(lambda _: self.refresh()),
            self.documents.subscribe(lambda _: self.refresh()),
        ]
        self.refresh()

    async def async_unload(self) -> None:
        """Cancel the subscriptions."""
        for unsubscribe in self.unsubscribe:
            unsubscribe()
        self.unsubscribe = []

    @callback
    def refresh(self) -> None:
        """Rebuild the lists."""
        services = [found.document.service for found in self.documents.all_in_force()]
        self.engine_vms = tuple(
            vm
            for service in services
            for vm in self.membership.targets(service)
            if vm.role is VmRole.ENGINE
        )
        self.engine_handles = tuple(self._engine_handle(vm) for vm in self.engine_vms)
        self.store_handles = tuple(
            self._store_handle(vm)
            for service in services
            for vm in self.membership.stores(service)
        )

    @callback
    def engines(self) -> tuple[EngineHandle, ...]:
        """Return the engines that are not shutting down."""
        return self.engine_handles

    @callback
    def stores(self) -> tuple[StoreHandle, ...]:
        """Return the stores that are not shutting down."""
        return self.store_handles

    @callback
    def vms(self) -> tuple[VmRecord, ...]:
        """Return the VMs of the engines that are not shutting down."""
        return self.engine_vms

    def _engine_handle(self, vm: VmRecord) -> EngineHandle:
        return EngineHandle(
            target=vm.vm_id,
            service=vm.service,
            zone=vm.zone,
            engine=self.engine_pool.get(vm),
        )

    def _store_handle(self, vm: VmRecord) -> StoreHandle:
        return StoreHandle(
            store_url=vm.url,
            service=vm.service,
            zone=vm.zone,
            store=self.store_pool.get(vm),
        )
