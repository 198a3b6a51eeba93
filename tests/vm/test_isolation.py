"""Tests of what a VM knows of the customers that are isolated."""

from __future__ import annotations

from typing import Any

import pytest

from gypsumsail.vm.runtime import VmRuntime
from tests.catalog.common import KINDS, document_spec, listing, stored
from tests.vm.offline import offline_vm

ISOLATED = {"name": "a", "api_keys": ["k"], "dedicated": True}
INVALID = {"routes": [{"name": 7}]}


def apply(vm: VmRuntime, revision: int, **changes: Any) -> frozenset[str]:
    """Apply a document from the store; return the isolated customers."""
    spec = document_spec(revision, **changes)
    watch = vm.catalog.watches[KINDS.documents]
    found = listing(revision, stored(KINDS.document_key, revision, spec))
    watch.on_changes(KINDS.documents, watch.state.apply(found))
    return vm.gateway.view.isolation.names


def test_vm_asks_the_catalog_whether_isolation_is_known() -> None:
    """Guards against a VM that shares context before its document is confirmed."""
    vm = offline_vm()
    now = vm.clock.monotonic()
    apply(vm, 1)
    assert not vm.gateway.view.is_isolation_known(now)
    vm.catalog.watches[KINDS.documents].confirm(1, now)
    assert vm.gateway.view.is_isolation_known(now)


@pytest.mark.parametrize(
    "customers", [[ISOLATED], [{"name": "x", "priority": "high"}, None, ISOLATED]]
)
def test_rejected_document_isolates_until_the_next_one(customers: list[Any]) -> None:
    """WALL: others found the customer's context until the operator's next version."""
    vm = offline_vm()
    assert apply(vm, 1) == set()
    assert apply(vm, 2, tenants=customers, **INVALID) == {"a"}
    assert apply(vm, 3, tenants=[{"name": "b"}], **INVALID) == {"a"}
    assert vm.gateway.document is not None
    assert vm.gateway.document.version == 1
    assert apply(vm, 4) == set()


@pytest.mark.parametrize("customers", [None, 7, {"a": ISOLATED}, "a"])
def test_rejected_document_without_a_list_of_customers_isolates_none(
    customers: object,
) -> None:
    vm = offline_vm()
    assert apply(vm, 1, tenants=[ISOLATED]) == {"a"}
    assert apply(vm, 2, tenants=customers, **INVALID) == {"a"}
