"""Validated types for the addresses in the settings."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated, Final
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict

MAX_PORT: Final = 65_535


class Address(BaseModel):
    """IP address and port to listen on; port 0 selects a free port.

    Attributes
    ----------
    host
        IP address at which other processes reach this one.
    """

    model_config = ConfigDict(frozen=True)

    host: str
    port: int


def _parse_address(value: object) -> Address:
    if isinstance(value, Address):
        return value
    host, separator, port = str(value).rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        msg = "must have the form IP:PORT"
        raise ValueError(msg)
    if int(port) > MAX_PORT:
        msg = f"the port must be at most {MAX_PORT}"
        raise ValueError(msg)
    return Address(
        host=_parse_host(host.removeprefix("[").removesuffix("]")), port=int(port)
    )


def _parse_host(host: str) -> str:
    try:
        number = ip_address(host)
    except ValueError:
        msg = "the host must be an IP address"
        raise ValueError(msg) from None
    if number.is_unspecified:
        msg = "the host must be a specific address, not 0.0.0.0 or ::"
        raise ValueError(msg)
    return str(number)


def _check_url(value: str, schemes: tuple[str, ...]) -> str:
    try:
        parts = urlsplit(value)
        port = parts.port
    except ValueError:
        msg = "is not a URL"
        raise ValueError(msg) from None
    if parts.scheme not in schemes or not parts.hostname or port is None:
        msg = f"must have the form {schemes[0]}://HOST:PORT"
        raise ValueError(msg)
    if parts.username or parts.password:
        msg = "must not contain a user name or password"
        raise ValueError(msg)
    return value.rstrip("/")


def _check_http_url(value: str) -> str:
    return _check_url(value, ("http", "https"))


def _check_peer_url(value: str) -> str:
    return _check_url(value, ("ws", "wss"))


ListenAddress = Annotated[Address, BeforeValidator(_parse_address)]
HttpUrl = Annotated[str, AfterValidator(_check_http_url)]
PeerUrl = Annotated[str, AfterValidator(_check_peer_url)]
