"""Engines and stores from the VMs that membership knows."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from gypsumsail.context.port import EngineLink, StoreLink
from gypsumsail.platform.port import VmRecord, VmRole, VmState
from gypsumsail.stores.port import Store
from gypsumsail.targets.port import Engine


class VmTargetSource:
    """Adapters of live VMs; implements the port ``TargetSource``.

    Parameters
    ----------
    vms
        Returns the VMs that are known.
    engine_of, store_of
        Return the adapter of a VM.
    """

    def __init__(
        self,
        *,
        vms: Callable[[], Iterable[VmRecord]],
        engine_of: Callable[[VmRecord], Engine],
        store_of: Callable[[VmRecord], Store],
    ) -> None:
        self.vms = vms
        self.engine_of = engine_of
        self.store_of = store_of

    def engines(self) -> Sequence[EngineLink]:
        """Return the engines that are not leaving."""
        return [
            EngineLink(
                target=vm.vm_id,
                service=vm.service,
                zone=vm.zone,
                engine=self.engine_of(vm),
            )
            for vm in self._live(VmRole.ENGINE)
        ]

    def stores(self) -> Sequence[StoreLink]:
        """Return the stores that are not leaving."""
        return [
            StoreLink(
                store_url=vm.url,
                service=vm.service,
                zone=vm.zone,
                store=self.store_of(vm),
            )
            for vm in self._live(VmRole.STORE)
        ]

    def _live(self, role: VmRole) -> list[VmRecord]:
        return [vm for vm in self.vms() if vm.role is role and vm.state is VmState.LIVE]
