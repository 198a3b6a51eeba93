"""What VMs tell each other of their views of context stores, in CBOR."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import cbor2

from gypsumsail.core import cbor

STORES_FORMAT_VERSION: Final = 7
"""Version of the format, which also tells it from other datagrams."""
NO_VIEW: Final = 0
"""Run of a store in the report of a VM that doesn't know its contents.

Such a VM lists the store before it saves to it again.
"""
NO_RELAY: Final = "-"
"""Relay in the last report of a VM that follows a store no more."""
VmStart = tuple[str, int]
"""Host of a VM and its start in Unix milliseconds, which stand for one of its lives."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreReport:
    """View of a store at a VM, and the saves that it has sent.

    Attributes
    ----------
    store
        Address of the store.
    life
        Run of the store, or `NO_VIEW`.
    number
        Number of the last change in the view: that of the store, or of the update if
        another VM relays the store.
    digest
        Digest of the view at that number; 0 if another VM relays the store.
    saving
        Hashes of the parts that engines may still save for this VM, or for VMs that
        follow the store by it.
    relay_vm
        VM by whose updates the store is followed; empty if it is polled.
    may_save
        Whether VMs that follow the store by the sender may save to it.
    """

    store: str
    life: int
    number: int
    digest: int
    saving: tuple[int, ...] = ()
    relay_vm: str = ""
    may_save: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreReports:
    """Reports of a VM.

    Attributes
    ----------
    former_saves_ms
        Milliseconds until all saves have ended that earlier lives of the VM may have
        sent.
    """

    host: str
    started_at_ms: int
    former_saves_ms: int
    reports: tuple[StoreReport, ...]

    @property
    def vm_start(self) -> VmStart:
        """Return the life of the VM."""
        return self.host, self.started_at_ms


def encode_store_reports(message: StoreReports) -> bytes:
    """Encode reports."""
    rows = [
        [
            report.store,
            report.life,
            report.number,
            report.digest,
            list(report.saving),
            report.relay_vm,
            report.may_save,
        ]
        for report in message.reports
    ]
    return cbor2.dumps(
        [
            STORES_FORMAT_VERSION,
            message.host,
            message.started_at_ms,
            message.former_saves_ms,
            rows,
        ]
    )


def are_store_reports(fields: object) -> bool:
    """Return whether a decoded datagram contains reports on context stores."""
    return isinstance(fields, list) and fields[:1] == [STORES_FORMAT_VERSION]


def parse_store_reports(value: object) -> StoreReports:
    """Parse a decoded datagram; raises ``ValueInvalidError``."""
    _, host, started_at_ms, former_saves_ms, rows = _MESSAGE.read(value)
    return StoreReports(
        host=host,
        started_at_ms=started_at_ms,
        former_saves_ms=former_saves_ms,
        reports=tuple(map(_report, _REPORT.read_all(rows))),
    )


def _report(row: list[Any]) -> StoreReport:
    store, life, number, digest, saving, relay_vm, may_save = row
    return StoreReport(
        store=store,
        life=life,
        number=number,
        digest=digest,
        saving=tuple(map(cbor.read_unsigned, saving)),
        relay_vm=relay_vm,
        may_save=may_save,
    )


_MESSAGE: Final = cbor.RowReader(int, str, int, int, list)
_REPORT: Final = cbor.RowReader(str, int, int, int, list, str, bool)
