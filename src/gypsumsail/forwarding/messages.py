"""Forwarded call with its terms, in CBOR.

The caller's request is sent with all its headers, and the helper reads it as it reads
its own callers' requests. So the port between VMs lets nobody in who could not call at
the address for callers.
"""

from __future__ import annotations

from dataclasses import dataclass
import re
from typing import Any, Final

import cbor2

from gypsumsail.core import cbor
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.forwarding.const import FORMAT_VERSION
from gypsumsail.gateway.forwarding import ForwardTerms
from gypsumsail.gateway.models import Call, HeaderPairs


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardMessage:
    """A caller's request that a VM forwards.

    Attributes
    ----------
    sender
        Name of that VM.
    target
        HTTP request target (path and query) of the caller's request.
    headers
        All headers as the caller sent them.
    """

    sender: str
    terms: ForwardTerms
    method: bytes
    target: bytes
    headers: HeaderPairs
    body: bytes


def encode_forward(sender: str, call: Call, terms: ForwardTerms) -> bytes:
    """Encode a call and its terms."""
    return cbor2.dumps(
        [
            FORMAT_VERSION,
            sender,
            terms.service,
            terms.document_revision,
            terms.max_targets,
            max(int(terms.time_left * MILLISECONDS_PER_SECOND), 1),
            terms.build,
            call.method,
            call.target,
            [list(pair) for pair in call.received_headers],
            call.body,
        ]
    )


def decode_forward(data: bytes) -> ForwardMessage:
    """Decode a message; raises ``ValueInvalidError``."""
    fields = _MESSAGE.read(cbor.load(data))
    if fields[0] != FORMAT_VERSION:
        raise cbor.ValueInvalidError("unsupported version of the message format")
    _, sender, service, revision, max_targets, left_ms, build = fields[:7]
    method, target, headers, body = fields[7:]
    pairs = tuple(map(_pair, _HEADER.read_all(headers)))
    _check_request(method, target, pairs)
    return ForwardMessage(
        sender=sender,
        terms=ForwardTerms(
            service=service,
            document_revision=revision,
            max_targets=max_targets,
            time_left=left_ms / MILLISECONDS_PER_SECOND,
            build=build,
        ),
        method=method,
        target=target,
        headers=pairs,
        body=body,
    )


_MESSAGE: Final = cbor.RowReader(
    int, str, str, int, int, int, str, bytes, bytes, list, bytes
)
_HEADER: Final = cbor.RowReader(bytes, bytes)
_TOKEN: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET: Final = re.compile(rb"[^\x00-\x20\x7f]+")
_VALUE: Final = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")


def _check_request(method: bytes, target: bytes, headers: HeaderPairs) -> None:
    """Reject bytes that an HTTP parser would not have let through.

    They could end a line of the request to the target, and begin another request.
    """
    is_valid = _TOKEN.fullmatch(method) and _TARGET.fullmatch(target)
    if not is_valid or not all(
        _TOKEN.fullmatch(name) and _VALUE.fullmatch(value) for name, value in headers
    ):
        raise cbor.ValueInvalidError("malformed method, target or header")


def _pair(row: list[Any]) -> tuple[bytes, bytes]:
    name, value = row
    return name, value
