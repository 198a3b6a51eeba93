"""Pydantic models that validate the fields of a service document.

The names and docstrings of the classes appear in the JSON schema that the command
``document schema`` prints.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from gypsumsail.document import const

Name = Annotated[
    str, Field(pattern=const.NAME_PATTERN, max_length=const.MAX_NAME_CHARACTERS)
]
Version = Annotated[
    str, Field(pattern=const.VERSION_PATTERN, max_length=const.MAX_NAME_CHARACTERS)
]
Digest = Annotated[str, Field(pattern=const.DIGEST_PATTERN)]
PathPrefix = Annotated[
    str, Field(pattern=const.PATH_PATTERN, max_length=const.MAX_PATH_CHARACTERS)
]
Priority = Annotated[int, Field(ge=0, le=const.LEAST_URGENT_PRIORITY)]
Seconds = Annotated[
    float, Field(gt=0, le=const.MAX_DEADLINE_SECONDS, allow_inf_nan=False)
]
Rate = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Weight = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]


class _SchemaModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class AdapterBorder(_SchemaModel):
    """A fine-tuning adapter, such as LoRA, that engines load in addition to a model."""

    name: Name
    version: Version


class ModelBorder(_SchemaModel):
    """A model and the weight version that its engines should load."""

    name: Name
    weight_version: Version
    adapters: list[AdapterBorder] = Field(
        default_factory=list, max_length=const.MAX_ADAPTERS_PER_MODEL
    )


class CustomerBorder(_SchemaModel):
    """A customer with its key digests, capacity share and limits.

    share is a relative weight, any positive number, that applies when the service is
    short of capacity: a customer with 4 is entitled to twice the capacity of one with
    2. tokens_per_second limits prompt and answer tokens, summed over all entries; 0
    means no limit. max_priority is the most urgent priority that the customer may
    request; 0 is the most urgent.
    """

    name: Name
    key_digests: list[Digest] = Field(
        min_length=1, max_length=const.MAX_KEYS_PER_CUSTOMER
    )
    share: float = Field(gt=0, allow_inf_nan=False)
    tokens_per_second: Rate = 0.0
    max_priority: Priority = 5


class RouteBorder(_SchemaModel):
    """A path prefix and whether its requests may be retried."""

    path: PathPrefix
    repeatable: bool


class WeightsBorder(_SchemaModel):
    """Relative importance (0 to 1) of the costs in routing and tier planning.

    first_token is the weight of the time to the first token, recomputed that of the
    time in which an engine computes prompt tokens that are not in its cache, link_use
    that of the time in which the link between engines and stores is in use. The three
    values sum to 1.
    """

    first_token: Weight
    recomputed: Weight
    link_use: Weight


class TiersBorder(_SchemaModel):
    """Settings for the KV cache of prompts that is stored for reuse.

    Stores keep it in two tiers, memory and disk. link_bytes_per_second is the bandwidth
    budget of the link between engines and stores, summed over all entries.
    """

    weights: WeightsBorder
    link_bytes_per_second: Rate


class DeadlinesBorder(_SchemaModel):
    """Deadlines in seconds.

    default is the deadline of a request that does not specify one, longest the longest
    deadline that a request may specify.
    """

    default: Seconds
    longest: Seconds


class DocumentBorder(_SchemaModel):
    """A service document: one service, owned by one team.

    default_priority is the priority of a request that does not specify one, from 0
    (most urgent) to 9. fencing_targets states whether the service's targets reject
    orders with an outdated fencing token, that is, from a process that no longer holds
    the lease. unavailable_share is the fraction of the engines that a rollout may make
    unavailable at the same time.
    """

    service: Name
    kind: Literal["model", "plain"]
    owner: Name
    models: list[ModelBorder] = Field(default_factory=list, max_length=const.MAX_MODELS)
    customers: list[CustomerBorder] = Field(
        min_length=1, max_length=const.MAX_CUSTOMERS
    )
    routes: list[RouteBorder] = Field(min_length=1, max_length=const.MAX_ROUTES)
    deadlines: DeadlinesBorder
    tiers: TiersBorder | None = None
    default_priority: Priority = 5
    fencing_targets: bool = False
    unavailable_share: float = Field(default=0.25, gt=0, le=1, allow_inf_nan=False)
