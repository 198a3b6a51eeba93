"""Decides how old a copy of the store's objects may be.

A change must be in force on a VM within a bound of the deployment, whoever else fails.
A VM that relies on others for the changes must therefore know how old its copy may be,
and read the store itself early enough.
"""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.catalog.const import (
    MAX_AGE_SHARE,
    MAX_CONFIRMATION_SHARE,
    WATCH_SECONDS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeBounds:
    """Seconds from the acknowledgement of a change until it must be in force.

    Attributes
    ----------
    document, leaving, weights
        For the routing document, for the leaving of targets, and for weight versions.
    evacuation
        Until no call may reach a target of an evacuated zone; 0 where the deployment
        has no evacuations.
    """

    document: float
    leaving: float
    weights: float
    evacuation: float = 0.0

    @property
    def evacuation_in_force(self) -> float:
        """Return the seconds in which a VM must know of an evacuation.

        The other half of the bound is for calls that were placed just before and are
        still being connected.
        """
        return self.evacuation / 2


@dataclass(frozen=True, slots=True, kw_only=True)
class CopyConfirmation:
    """What a VM has read of a kind from the store.

    Attributes
    ----------
    changed_revision
        Revision of the newest change; a copy of that revision or a later one had all.
    age
        Seconds since then.
    """

    kind: str
    changed_revision: int
    age: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeDelay:
    """How long a change may have been unknown to this VM.

    Attributes
    ----------
    at_most
        Seconds since the copy was known to be complete, before the change; infinite for
        the first copy.
    at_least
        Seconds since another VM told of the change; 0 if none did.
    """

    at_most: float
    at_least: float = 0.0


def is_too_old(age: float, bound: float) -> bool:
    """Return whether a VM has to read the store itself.

    Parameters
    ----------
    age
        Seconds since the store is known to have confirmed the copy.
    bound
        Seconds in which a change must be in force.
    """
    return age > bound * MAX_AGE_SHARE


def watch_seconds(bound: float, *, is_relied_on: bool) -> float:
    """Return how long a watch of the store may wait for a change.

    Parameters
    ----------
    bound
        Seconds in which a change must be in force.
    is_relied_on
        Whether other VMs depend on the answers, which confirm their copies.
    """
    if not is_relied_on:
        return WATCH_SECONDS
    return min(bound * MAX_CONFIRMATION_SHARE, WATCH_SECONDS)
