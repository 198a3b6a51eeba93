"""Data classes of a validated service document."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ServiceKind(StrEnum):
    """Type of the targets that serve a service.

    ``MODEL`` services run on inference engines that load model weights; ``PLAIN``
    services run on other HTTP targets.
    """

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """An adapter that targets load on top of a model."""

    name: str
    version: str

    @property
    def identity(self) -> str:
        """Return the name that identifies this adapter version to the engines.

        The name is part of the salt of the block hashes, so that two versions of
        an adapter share no context.
        """
        return f"{self.name}@{self.version}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A model of the service and the weight version that its engines should load."""

    name: str
    weight_version: str
    adapters: tuple[Adapter, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Customer:
    """A customer of the service.

    Attributes
    ----------
    key_digests
        SHA-256 digests, in hexadecimal, of the API keys that give access
        to the data of this customer.
    share
        Weight among the customers when the service is short of capacity.
    tokens_per_second
        Hard limit on prompt and answer tokens, summed over all entries; 0 means
        no limit.
    max_priority
        Most urgent priority that the customer may request; 0 is the most urgent.
    """

    name: str
    key_digests: tuple[str, ...]
    share: float
    tokens_per_second: float = 0.0
    max_priority: int = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A path prefix of the service and how its requests are handled.

    Attributes
    ----------
    path
        Path prefix that callers use, such as ``/v1/completions`` or
        ``/certificates``.
    repeatable
        Whether a request may be retried.
    """

    path: str
    repeatable: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TierWeights:
    """Weights of the cost terms in routing and tier planning; they sum to 1."""

    first_token: float
    recomputed: float
    link_use: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TierPolicy:
    """Settings for context that is stored for reuse.

    Attributes
    ----------
    link_bytes_per_second
        Bandwidth budget of the link between engines and stores, summed over all
        entries.
    """

    weights: TierWeights
    link_bytes_per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Deadlines:
    """Deadlines in seconds.

    Attributes
    ----------
    default
        Deadline of a request that does not specify one.
    longest
        Longest deadline that a request may specify.
    """

    default: float
    longest: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceDocument:
    """Configuration of one service, as its team specifies it.

    Attributes
    ----------
    default_priority
        Priority of a request that does not specify one, from 0 (most urgent) to 9.
    fencing_targets
        Whether the service's targets reject orders with an outdated fencing token.
    unavailable_share
        Fraction of the engines that a rollout may make unavailable at the same time.
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
    """A valid document and its version.

    Attributes
    ----------
    version
        Sum of the ``base`` that the command line stores with the text and the
        version of the platform object. The documents of a service are ordered by
        this version only.
    text
        YAML text of the document.
    """

    document: ServiceDocument
    version: int
    text: str
