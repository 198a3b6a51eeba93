"""Service document as the decisions see it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ServiceKind(StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """An adapter that targets load on top of a model."""

    name: str
    version: str

    @property
    def identity(self) -> str:
        """Return the name by which engines know this version of the adapter.

        It is part of what salts the block hashes, so that two versions of an
        adapter share no context.
        """
        return f"{self.name}@{self.version}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A model of the service and the weight version that is wanted in force."""

    name: str
    weight_version: str
    adapters: tuple[Adapter, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Customer:
    """A customer of the service.

    Attributes
    ----------
    key_digests
        SHA-256 digests, in hexadecimal, of the API keys that open this
        customer's data.
    share
        Weight among the customers when the service is short of capacity.
    tokens_per_second
        Hard limit over all entries on prompt and answer tokens; 0 means none.
    max_priority
        Best priority that the customer may ask for; 0 is the most urgent.
    """

    name: str
    key_digests: tuple[str, ...]
    share: float
    tokens_per_second: float = 0.0
    max_priority: int = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A path of the service and how its calls are treated.

    Attributes
    ----------
    path
        Path prefix towards callers, such as ``/v1/completions`` or
        ``/certificates``.
    repeatable
        Whether a call may be sent again.
    """

    path: str
    repeatable: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TierWeights:
    """Weights of the measures when tiers are chosen; they sum to 1."""

    first_token: float
    recomputed: float
    link_use: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TierPolicy:
    """Settings of the kept context.

    Attributes
    ----------
    link_bytes_per_second
        Budget over all entries of the link between engines and stores.
    """

    weights: TierWeights
    link_bytes_per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Deadlines:
    """Deadlines in seconds.

    Attributes
    ----------
    default
        Deadline of a request that names none.
    longest
        Longest deadline that a request may name.
    """

    default: float
    longest: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceDocument:
    """One service as its team states it.

    Attributes
    ----------
    default_priority
        Priority of a request that names none; 0 is the most urgent of 10.
    fencing_targets
        Whether the service's targets refuse orders with an old fencing number.
    unavailable_share
        Share of the engines that a rollout may take at once.
    """

    service: str
    kind: ServiceKind
    owner: str
    models: tuple[Model, ...]
    customers: tuple[Customer, ...]
    routes: tuple[Route, ...]
    deadlines: Deadlines
    tiers: TierPolicy
    default_priority: int = 5
    fencing_targets: bool = False
    unavailable_share: float = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentInForce:
    """A valid document and its place in the order of its service.

    Attributes
    ----------
    version
        ``base`` written by the command line plus the platform's version; the
        only order between two documents of a service.
    """

    document: ServiceDocument
    version: int
    text: str
