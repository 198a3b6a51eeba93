"""Tests that ledger objects written by the previous release can be read.

A change of the encoding would make existing ledgers unreadable. The bytes were written
by revision 6b3d19b.
"""

from __future__ import annotations

from gypsumsail.core.errors import RunState
from gypsumsail.once.records import (
    Abandoned,
    Ended,
    Head,
    Reserved,
    SegmentReference,
    decode_head,
    decode_records,
)

HEAD = bytes.fromhex(
    "8501fb40bc5c4000000000fb40bc20000000000082821829fb40ac210000000000821861fb40"
    "bc20000000000085840050000102030405060708090a0b0c0d0e0f5010111213141516171819"
    "1a1b1c1d1e1f50202122232425262728292a2b2c2d2e2f850150000102030405060708090a0b"
    "0c0d0e0f50101112131415161718191a1b1c1d1e1f0000850150000102030405060708090a0b"
    "0c0d0e0f50101112131415161718191a1b1c1d1e1f0118c8850150000102030405060708090a"
    "0b0c0d0e0f50101112131415161718191a1b1c1d1e1f021901f6830250000102030405060708"
    "090a0b0c0d0e0f50202122232425262728292a2b2c2d2e2f"
)
SEGMENT = bytes.fromhex(
    "820185840050000102030405060708090a0b0c0d0e0f50101112131415161718191a1b1c1d1e"
    "1f50202122232425262728292a2b2c2d2e2f850150000102030405060708090a0b0c0d0e0f50"
    "101112131415161718191a1b1c1d1e1f0000850150000102030405060708090a0b0c0d0e0f50"
    "101112131415161718191a1b1c1d1e1f0118c8850150000102030405060708090a0b0c0d0e0f"
    "50101112131415161718191a1b1c1d1e1f021901f6830250000102030405060708090a0b0c0d"
    "0e0f50202122232425262728292a2b2c2d2e2f"
)

KEY = bytes(range(16))
ATTEMPT = bytes(range(16, 32))
OTHER = bytes(range(32, 48))
RECORDS = (
    Reserved(key=KEY, attempt=ATTEMPT, body=OTHER),
    Ended(key=KEY, attempt=ATTEMPT, run_state=RunState.NOT_RUN, status=0),
    Ended(key=KEY, attempt=ATTEMPT, run_state=RunState.MAY_HAVE_RUN, status=200),
    Ended(key=KEY, attempt=ATTEMPT, run_state=RunState.RAN, status=502),
    Abandoned(key=KEY, attempt=OTHER),
)


def test_head_of_the_previous_release_is_read() -> None:
    assert decode_head(HEAD) == Head(
        ledger_time=7260.25,
        opened_at=7200.0,
        sealed=(
            SegmentReference(head_version=41, sealed_at=3600.5),
            SegmentReference(head_version=97, sealed_at=7200.0),
        ),
        records=RECORDS,
    )


def test_segment_of_the_previous_release_is_read() -> None:
    assert decode_records(SEGMENT) == RECORDS
