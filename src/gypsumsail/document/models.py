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
    """A fine-tuning adapter, such as LoRA, that engines load in addition to a model."""

    name: str
    version: str

    @property
    def identity(self) -> str:
        """Return the name that identifies this adapter version to the engines.

        The hashes of KV cache blocks include this name as part of their salt, so
        that two versions of an adapter never reuse each other's cache.
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
        Relative weight, any positive number, when the service is short of capacity: a
        customer with 4 is entitled to twice the capacity of one with 2.
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
    """Relative importance (0 to 1) of the costs in routing and tier planning.

    The three values sum to 1.

    Attributes
    ----------
    first_token
        Weight of the time to the first token.
    recomputed
        Weight of the time in which an engine computes prompt tokens that are not in
        its cache.
    link_use
        Weight of the time in which the link between engines and stores is in use.
    """

    first_token: float
    recomputed: float
    link_use: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TierPolicy:
    """Settings for the KV cache of prompts that is stored for reuse.

    Stores keep it in two tiers, memory and disk.

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
        Whether the service's targets reject orders with an outdated fencing token,
        that is, from a process that no longer holds the lease.
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
    """The document of a service that an entry currently applies, and its version.

    Attributes
    ----------
    version
        ``base`` plus the version of the platform object. ``document apply`` stores
        ``base`` with the text, so that the version also grows when the object is
        deleted and created again. The documents of a service are ordered by this
        version only.
    text
        YAML text of the document.
    """

    document: ServiceDocument
    version: int
    text: str
