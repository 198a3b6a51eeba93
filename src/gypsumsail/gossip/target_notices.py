"""What targets say of themselves, as VMs tell it to each other, in CBOR."""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import Any, Final

import cbor2

from gypsumsail.core import cbor

NOTICES_FORMAT_VERSION: Final = 4
"""Version of the format, which also tells it from gossip messages and reports."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetNotice:
    """Latest notices of one life of a target.

    Attributes
    ----------
    limit
        Calls per second that the target takes from all VMs; ``None`` for any number.
    limit_stamp
        Order of the statements on the limit; 0 if none is known.
    """

    target: str
    life: int
    is_leaving: bool
    limit: float | None
    limit_stamp: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NamedWeights:
    """Weight version that the operator wants, and how long ago it was named."""

    model: str
    version: int
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetNotices:
    """Notices that one VM sends to others.

    Attributes
    ----------
    weights
        Versions that the sender knows; only for a VM that has just started.
    is_complete
        Whether the sender has now told all that it knows; only for a VM that has just
        started.
    """

    vm: str
    host: str
    zone: str
    notices: tuple[TargetNotice, ...]
    weights: tuple[NamedWeights, ...] = ()
    is_complete: bool = False


def encode_notices(message: TargetNotices) -> bytes:
    """Encode notices."""
    return cbor2.dumps(
        [
            NOTICES_FORMAT_VERSION,
            message.vm,
            message.host,
            message.zone,
            [
                [
                    notice.target,
                    notice.life,
                    notice.is_leaving,
                    [] if notice.limit is None else [float(notice.limit)],
                    notice.limit_stamp,
                ]
                for notice in message.notices
            ],
            [[item.model, item.version, item.age_ms] for item in message.weights],
            message.is_complete,
        ]
    )


def is_notices(fields: object) -> bool:
    """Return whether a decoded datagram contains notices."""
    return isinstance(fields, list) and fields[:1] == [NOTICES_FORMAT_VERSION]


def parse_notices(value: object) -> TargetNotices:
    """Parse a decoded datagram as notices; raises ``ValueInvalidError``."""
    _, vm, host, zone, rows, weights, is_complete = _NOTICES.read(value)
    return TargetNotices(
        vm=vm,
        host=host,
        zone=zone,
        notices=tuple(map(_notice, _NOTICE.read_all(rows))),
        weights=tuple(
            NamedWeights(model=model, version=version, age_ms=age_ms)
            for model, version, age_ms in _WEIGHTS.read_all(weights)
        ),
        is_complete=is_complete,
    )


def _notice(row: list[Any]) -> TargetNotice:
    target, life, is_leaving, limits, limit_stamp = row
    return TargetNotice(
        target=target,
        life=life,
        is_leaving=is_leaving,
        limit=_limit(limits[0]) if limits else None,
        limit_stamp=limit_stamp,
    )


def _limit(value: object) -> float:
    if not isinstance(value, float) or not math.isfinite(value) or value < 0:
        raise cbor.ValueInvalidError("not a finite, non-negative limit")
    return value


_NOTICES: Final = cbor.RowReader(int, str, str, str, list, list, bool)
_WEIGHTS: Final = cbor.RowReader(str, int, int)
_NOTICE: Final = cbor.RowReader(str, int, bool, list, int)
