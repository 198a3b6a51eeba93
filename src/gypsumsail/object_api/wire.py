"""Validation models of the platform's response bodies."""

from __future__ import annotations

import base64
from typing import Annotated, Any, Self
from urllib.parse import urlsplit

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    model_validator,
)

from gypsumsail.object_api.port import VmRole, VmState


def _decode_base64(value: object) -> bytes:
    if not isinstance(value, str):
        raise ValueError("is not a string")
    return base64.b64decode(value, validate=True)


def _check_url(value: str, schemes: tuple[str, ...]) -> str:
    parts = urlsplit(value)
    if parts.scheme not in schemes or not parts.hostname or parts.port is None:
        raise ValueError(f"is not {schemes[0]}://HOST:PORT")
    return value


def _check_http_url(value: str) -> str:
    return _check_url(value, ("http", "https"))


def _check_peer_url(value: str) -> str:
    return _check_url(value, ("ws", "wss")) if value else value


NonNegativeInt = Annotated[int, Field(ge=0)]
HttpUrl = Annotated[str, AfterValidator(_check_http_url)]
PeerUrl = Annotated[str, AfterValidator(_check_peer_url)]
Base64Value = Annotated[bytes, BeforeValidator(_decode_base64)]


class WireModel(BaseModel):
    """Base of the response bodies; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True)


class WrittenBody(WireModel):
    """Response to a successful write."""

    version: NonNegativeInt


class ConflictBody(WireModel):
    """Response to a write whose expected version differs from the current one."""

    current: NonNegativeInt


class ObjectBody(WireModel):
    """An object of a listing."""

    key: str
    version: NonNegativeInt
    value_base64: Base64Value | None


class ListingBody(WireModel):
    """Objects under a prefix."""

    objects: tuple[ObjectBody, ...]
    revision: NonNegativeInt


class VmBody(WireModel):
    """A VM of the VM list."""

    vm_id: str
    incarnation: str
    zone: str
    role: VmRole
    service: str
    state: VmState
    url: HttpUrl
    peer_url: PeerUrl = ""

    @model_validator(mode="after")
    def check_plain_http(self) -> Self:
        """Check that an engine or store has an ``http://`` URL.

        Engines and stores are reached over plain HTTP only.
        """
        if self.role in (VmRole.ENGINE, VmRole.STORE):
            _check_url(self.url, ("http",))
        return self


class VmListBody(WireModel):
    """The list of VMs; each record is validated separately."""

    vms: tuple[Any, ...]
