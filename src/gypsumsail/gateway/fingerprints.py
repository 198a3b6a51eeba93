"""What identifies a request, and the parts of its prompt, to detectors of crashes."""

from __future__ import annotations

from typing import Final

import xxhash

from gypsumsail.gateway.models import Call, Customer

MAX_FINGERPRINTED_BODY_BYTES: Final = 65_536
"""Leading bytes of a body that enter the fingerprint of a request."""


MAX_SHARED_PARTS: Final = 64
"""Parts of one prompt that are watched for crashes."""
MAX_PART_NAME_CHARACTERS: Final = 64
"""Length from which a hash stands for the name of a part."""


def fingerprint(call: Call, customer: Customer) -> str:
    """Return a hash that identifies equal requests of a customer."""
    digest = xxhash.xxh3_64()
    for part in (call.method, call.target, customer.name.encode()):
        digest.update(part + b"\0")
    digest.update(call.body[:MAX_FINGERPRINTED_BODY_BYTES])
    return digest.hexdigest()


def shared_parts(call: Call) -> tuple[str, ...]:
    """Return the names of the parts of a prompt that other prompts may share."""
    if call.prompt is None:
        return ()
    names = (part.name for part in call.prompt.parts[:-1][:MAX_SHARED_PARTS])
    return tuple(
        name
        if len(name) <= MAX_PART_NAME_CHARACTERS
        else xxhash.xxh3_64_hexdigest(name.encode())
        for name in names
    )
