"""Customers that share no cached context, by the documents that a VM has received."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from gypsumsail.sharing.scopes import isolated_for_call

NO_CUSTOMERS: frozenset[str] = frozenset()


class AcceptedCall(Protocol):
    """A call that waits or is served.

    Attributes
    ----------
    isolated
        Names of the customers that any document isolates which has been in force since
        the call was accepted.
    """

    isolated: frozenset[str]


@dataclass(slots=True, kw_only=True)
class Isolation:
    """Customers that are isolated now.

    Attributes
    ----------
    in_force
        Names by the document in force.
    on_changed
        Called with the names before and after each change.
    """

    in_force: frozenset[str] = NO_CUSTOMERS
    on_changed: Callable[[frozenset[str], frozenset[str]], None] = (
        lambda before, after: None
    )

    def apply_document(
        self, names: frozenset[str], calls: Iterable[AcceptedCall]
    ) -> None:
        """Isolate the customers of a document that comes into force.

        Parameters
        ----------
        calls
            All calls that have been accepted and have no final answer.
        """
        before, self.in_force = self.in_force, names
        if before == names:
            return
        self.on_changed(before, names)
        for call in calls:
            call.isolated = isolated_for_call(call.isolated, names)

    def is_known_to_others(self, customer: str, isolated: frozenset[str]) -> bool:
        """Return whether a VM with the document in force would isolate a customer.

        It is true of a customer that needs no isolation.

        Parameters
        ----------
        isolated
            Customers that are isolated for the call, maybe by earlier documents only.
        """
        return customer not in isolated or customer in self.in_force
