"""Data classes of the check of a routing document."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from gypsumsail.gateway.models import Route, RoutingDocument


class Severity(StrEnum):
    """Severity of a finding.

    An ``ERROR`` means that VMs reject the document or interpret an entry otherwise
    than it says, or that calls fail. A ``WARNING`` is about an entry without effect or
    about limits that contradict each other.
    """

    ERROR = "error"
    WARNING = "warning"


class ChangeKind(StrEnum):
    """How an entry differs from that of the version in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentFinding:
    """One problem of a routing document.

    Attributes
    ----------
    place
        Entry and field, such as ``customers[acme].share``; empty for the document.
    message
        Description of the problem, without the value itself, which may be an API key.
    """

    severity: Severity
    place: str
    message: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return ": ".join(filter(None, (self.severity, self.place, self.message)))


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One entry, or one of its fields, that differs from the version in force.

    Attributes
    ----------
    before, after
        Values as JSON; empty for a whole entry and for API keys.
    note
        What changed, where there are no values.
    """

    kind: ChangeKind
    place: str
    before: str = ""
    after: str = ""
    note: str = ""

    def __str__(self) -> str:
        """Return the difference as one line."""
        text = f"{self.kind}: {self.place}"
        if self.note:
            return f"{text}: {self.note}"
        return f"{text}: {self.before} -> {self.after}" if self.after else text


@dataclass(frozen=True, slots=True, kw_only=True)
class FieldNames:
    """Names of fields in the operator's file, for the places of findings."""

    host: str
    prefix: str
    timeout: str
    latency_goal: str
    max_targets: str
    is_resumable: str
    head_bytes: str
    body_bytes: str
    request_seconds: str
    idle_seconds: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteEntry:
    """A route with its place.

    Attributes
    ----------
    service_places, weight_places
        Place of the name and of the weight of each service of the route.
    """

    place: str
    route: Route
    service_places: tuple[str, ...]
    weight_places: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceEntry:
    """A service or context store with its place.

    Attributes
    ----------
    is_store
        Whether it is a context store, to which no calls are routed.
    """

    place: str
    name: str
    is_store: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerEntry:
    """A customer with its place.

    Attributes
    ----------
    keys_place
        Place of the list of its API keys.
    keys
        Its API keys, which are never printed.
    """

    place: str
    keys_place: str
    keys: tuple[str, ...] = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Values of an entry as the VMs read them, for the comparison of two documents.

    Attributes
    ----------
    fields
        Value of each field as JSON, with the defaults of absent fields.
    keys
        API keys, which are compared, but never printed.
    keys_name
        Name of the field of the API keys.
    """

    fields: Mapping[str, str]
    keys: frozenset[str] = field(default=frozenset(), repr=False)
    keys_name: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class DecodedDocument:
    """A routing document, with the entries that decoding merges or leaves out.

    Attributes
    ----------
    document
        The document as a VM uses it.
    limits_place
        Place of the limits on callers.
    entries
        All entries by their place.
    """

    document: RoutingDocument
    names: FieldNames
    limits_place: str
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    customers: tuple[CustomerEntry, ...]
    entries: Mapping[str, Entry]


@dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """Result of reading a document.

    Attributes
    ----------
    decoded
        ``None`` if VMs reject the document.
    findings
        Problems of single fields, from the decoders.
    """

    decoded: DecodedDocument | None
    findings: tuple[DocumentFinding, ...] = ()
