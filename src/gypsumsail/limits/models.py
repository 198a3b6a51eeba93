"""Results of admission, and the messages with which entries share limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerQuota:
    """Share and limit that the service document grants a customer.

    Attributes
    ----------
    share
        Weight among the customers while the service is overloaded.
    limit
        Tokens per second over all entries, or bytes per second for `LINK_CUSTOMER`;
        infinite without a limit.
    """

    share: float
    limit: float


QuotasByCustomer = Mapping[str, CustomerQuota]


@dataclass(frozen=True, slots=True, kw_only=True)
class DemandRow:
    """Demand of one customer in tokens (bytes for `LINK_CUSTOMER`) per second."""

    customer: str
    wanted: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareRow:
    """Rate that one entry may admit for one customer.

    Attributes
    ----------
    rate
        Tokens (bytes for `LINK_CUSTOMER`) per second.
    """

    customer: str
    rate: float


@message("limits.report")
@dataclass(frozen=True, slots=True, kw_only=True)
class DemandReport(Message):
    """Reports the demand at an entry to the owner of a service in the zone.

    Attributes
    ----------
    rows
        Customers with demand at this entry; all others are omitted.
    served
        Tokens per second of requests that were answered completely.
    backlog
        Seconds until the least loaded engine would start a request.
    """

    service: str
    rows: tuple[DemandRow, ...]
    served: float
    backlog: float


@message("limits.grant")
@dataclass(frozen=True, slots=True, kw_only=True)
class ShareGrant(Message):
    """Response to `DemandReport`.

    Attributes
    ----------
    rows
        Rates of the limited customers that have demand in the report. Of the others,
        those with a limit get an equal part of it per entry; the rest are unlimited.
    overloaded
        Whether the customers' shares are enforced.
    """

    service: str
    rows: tuple[ShareRow, ...]
    overloaded: bool


@message("limits.zone")
@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneDemand(Message):
    """Reports the demand of a zone to the owners in the other zones.

    Attributes
    ----------
    entries
        Number of entries that report in the zone.
    capacity
        Tokens per second that the sender estimates the service to serve; 0 while the
        service is not overloaded.
    """

    service: str
    zone: str
    rows: tuple[DemandRow, ...]
    entries: int
    served: float
    backlog: float
    capacity: float


class ShedReason(StrEnum):
    """Reason why a request was shed."""

    LIMIT = "customer limit"
    SHARE = "customer share"
    OVERLOAD = "overload"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitRequest:
    """A request for admission.

    Attributes
    ----------
    tokens
        Prompt tokens and expected answer tokens.
    priority
        Effective priority; 0 is the most urgent.
    backlog
        Seconds until the least loaded engine would start the request.
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
        Seconds after which the caller may retry.
    """

    reason: ShedReason
    retry_after: float


Admission = Admitted | Shed
