"""Admission and the messages by which entries share limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerQuota:
    """What the service document grants one customer.

    Attributes
    ----------
    share
        Weight among the customers when the service is overloaded.
    limit
        Tokens a second over all entries; infinite when there is no limit.
    """

    share: float
    limit: float


QuotasByCustomer = Mapping[str, CustomerQuota]


@dataclass(frozen=True, slots=True, kw_only=True)
class DemandRow:
    """Demand of one customer in tokens a second."""

    customer: str
    wanted: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareRow:
    """Tokens a second that one entry may admit for one customer."""

    customer: str
    rate: float


@message("limits.report")
@dataclass(frozen=True, slots=True, kw_only=True)
class DemandReport(Message):
    """Tells the zone's owner of a service what an entry sees.

    Attributes
    ----------
    rows
        Customers with demand at this entry; others are left out.
    served
        Tokens a second of requests that ended with their whole answer.
    backlog
        Seconds until an idle slot at the least loaded engine.
    """

    service: str
    rows: tuple[DemandRow, ...]
    served: float
    backlog: float


@message("limits.grant")
@dataclass(frozen=True, slots=True, kw_only=True)
class ShareGrant(Message):
    """Answer to `DemandReport`.

    Attributes
    ----------
    rows
        Rates of the customers that are limited now; others are free.
    """

    service: str
    rows: tuple[ShareRow, ...]
    overloaded: bool


@message("limits.zone")
@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneDemand(Message):
    """Tells the owners in the other zones what a whole zone sees.

    Attributes
    ----------
    entries
        Number of entries that report in the zone.
    capacity
        Tokens a second that the sender takes the service to be able to serve.
    """

    service: str
    zone: str
    rows: tuple[DemandRow, ...]
    entries: int
    served: float
    backlog: float
    capacity: float


class ShedReason(StrEnum):
    """Why a request was shed."""

    LIMIT = "customer limit"
    SHARE = "customer share"
    OVERLOAD = "overload"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitRequest:
    """A request that asks to be run.

    Attributes
    ----------
    tokens
        Prompt tokens and those expected of the answer.
    priority
        Effective priority, 0 the most urgent.
    backlog
        Seconds until the least loaded engine would start it.
    """

    customer: str
    tokens: float
    priority: int
    backlog: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The request may run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Shed:
    """The request is not run.

    Attributes
    ----------
    retry_after
        Seconds after which the caller may come back.
    """

    reason: ShedReason
    retry_after: float


Admission = Admitted | Shed
