"""Validated bodies of the platform's answers."""

from __future__ import annotations

import base64
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from gypsumsail.platform.port import VmRole, VmState


def _decode_base64(value: object) -> bytes:
    if not isinstance(value, str):
        raise ValueError("is not a string")
    return base64.b64decode(value, validate=True)


Count = Annotated[int, Field(ge=0)]
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
    url: str
    peer_url: str = ""


class VmListBody(WireModel):
    """The list of VMs; each is validated by itself."""

    vms: tuple[Any, ...]
