"""Validated bodies of the platform's answers."""

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


Count = Annotated[int, Field(ge=0)]
HttpUrl = Annotated[str, AfterValidator(_check_http_url)]
PeerUrl = Annotated[str, AfterValidator(_check_peer_url)]
Base64Value = Annotated[bytes, BeforeValidator(_decode_base64)]


class WireModel(BaseModel):
    """Base of the bodies; fields that are not known are ignored."""

    model_config = ConfigDict(frozen=True)


class WrittenBody(WireModel):
    """Answer to a write."""

    version: Count


class ConflictBody(WireModel):
    """Answer to a write that met another version."""

    current: Count


class ObjectBody(WireModel):
    """One object of a listing."""

    key: str
    version: Count
    value_base64: Base64Value | None


class ListingBody(WireModel):
    """Objects under a prefix."""

    objects: tuple[ObjectBody, ...]
    revision: Count


class VmBody(WireModel):
    """One VM of the list."""

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
        """Engines and stores are reached over plain HTTP."""
        if self.role in (VmRole.ENGINE, VmRole.STORE):
            _check_url(self.url, ("http",))
        return self


class VmListBody(WireModel):
    """The list of VMs; each is validated by itself."""

    vms: tuple[Any, ...]
