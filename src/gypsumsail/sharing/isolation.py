"""Customers that share no cached context, by the documents that a VM has received."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from gypsumsail.sharing.scopes import isolated_for_call

NO_CUSTOMERS: frozenset[str] = frozenset()


class AcceptedCall(Protocol):
    """A call that waits or is served.

    Attributes
    ----------
    isolated
        Names of the customers that any document has isolated since the call was
        accepted.
    """

    isolated: frozenset[str]


@dataclass(slots=True, kw_only=True)
class Isolation:
    """Customers that are isolated now.

    Attributes
    ----------
    in_force
        Names by the document in force.
    rejected
        Names by newer documents that could not be applied.
    calls
        Calls that have been accepted and have no final answer.
    on_changed
        Called with the names before and after each change.
    """

    in_force: frozenset[str] = NO_CUSTOMERS
    rejected: frozenset[str] = NO_CUSTOMERS
    calls: Collection[AcceptedCall] = ()
    on_changed: Callable[[frozenset[str], frozenset[str]], None] = (
        lambda before, after: None
    )

    @property
    def names(self) -> frozenset[str]:
        """Return the names of all isolated customers."""
        return self.in_force | self.rejected if self.rejected else self.in_force

    def apply_document(self, names: frozenset[str]) -> None:
        """Isolate the customers of a document that comes into force, and no others."""
        self._set(names, NO_CUSTOMERS)

    def apply_rejected(self, names: frozenset[str]) -> None:
        """Isolate the customers of a document that can't be applied as well.

        They stay isolated until a document comes into force: the operator has isolated
        them, and an error elsewhere in the document takes nothing from that.
        """
        self._set(self.in_force, self.rejected | names)

    def _set(self, in_force: frozenset[str], rejected: frozenset[str]) -> None:
        before = self.names
        self.in_force, self.rejected = in_force, rejected
        names = self.names
        if names == before:
            return
        self.on_changed(before, names)
        for call in self.calls:
            call.isolated = isolated_for_call(call.isolated, names)

    def is_known_to_others(self, customer: str, isolated: frozenset[str]) -> bool:
        """Return whether a VM with the document in force would isolate a customer.

        It is true of a customer that needs no isolation.

        Parameters
        ----------
        isolated
            Customers that are isolated for the call, maybe by other documents only.
        """
        return customer not in isolated or customer in self.in_force
