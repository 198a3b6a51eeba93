"""Pydantic models that validate the fields of a service document.

The class names and doc comments appear in the JSON schema that the command
``document schema`` prints.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from gypsumsail.document import const

Name = Annotated[
    str, Field(pattern=const.NAME_PATTERN, max_length=const.MAX_NAME_LENGTH)
]
Version = Annotated[
    str, Field(pattern=const.VERSION_PATTERN, max_length=const.MAX_NAME_LENGTH)
]
Digest = Annotated[str, Field(pattern=const.DIGEST_PATTERN)]
PathPrefix = Annotated[
    str, Field(pattern=const.PATH_PATTERN, max_length=const.MAX_PATH_LENGTH)
]
Priority = Annotated[int, Field(ge=0, le=const.LOWEST_PRIORITY)]
Seconds = Annotated[
    float, Field(gt=0, le=const.MAX_DEADLINE_SECONDS, allow_inf_nan=False)
]
Rate = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Weight = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]


class _SchemaModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class AdapterBorder(_SchemaModel):
    """An adapter that targets load on top of a model."""

    name: Name
    version: Version


class ModelBorder(_SchemaModel):
    """A model and the weight version that its engines should load."""

    name: Name
    weight_version: Version
    adapters: list[AdapterBorder] = Field(
        default_factory=list, max_length=const.MAX_ADAPTERS
    )


class CustomerBorder(_SchemaModel):
    """A customer with its key digests, capacity share and limits."""

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
    """Weights of the cost terms in routing and tier planning; they sum to 1."""

    first_token: Weight
    recomputed: Weight
    link_use: Weight


class TiersBorder(_SchemaModel):
    """Settings for context that is stored for reuse."""

    weights: WeightsBorder
    link_bytes_per_second: Rate


class DeadlinesBorder(_SchemaModel):
    """Deadlines in seconds."""

    default: Seconds
    longest: Seconds


class DocumentBorder(_SchemaModel):
    """A service document: one service, owned by one team."""

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
