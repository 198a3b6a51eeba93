"""Size on the wire of messages between entries about requests and engines.

Each size includes the kind of the message, the timestamp, the message authentication
code and the frame header.
"""

from __future__ import annotations

from typing import Final

import click

from gypsumsail.core.ids import new_id
from gypsumsail.fleet.models import EngineReport, EngineReports, ServedModel
from gypsumsail.peers.codec import dump, pack_message
from gypsumsail.peers.const import FRAME_MAC_BYTES
from gypsumsail.peers.hybrid_clock import prepend_timestamp
from gypsumsail.peers.port import Message
from gypsumsail.suspects.models import (
    BeginAttempt,
    EndAttempt,
    PlaceAttempt,
    VerdictAnswer,
    VerdictKind,
)
from gypsumsail.timeline.hlc import Timestamp

FRAME_HEAD_BYTES: Final = 8
MESSAGE_KIND_BYTES: Final = 6
WALL_MS: Final = 1_800_000_000_000


def bytes_on_link(message: Message) -> int:
    """Return the size on the wire of one message in bytes."""
    body = prepend_timestamp(Timestamp(WALL_MS, 1), dump(pack_message(message)))
    return len(body) + MESSAGE_KIND_BYTES + FRAME_MAC_BYTES + FRAME_HEAD_BYTES


def engine_reports(count: int) -> EngineReports:
    """Return reports on ``count`` engines that serve one model each."""
    served = ServedModel(model="claims-large", weight_version="2026-11-30.1")
    return EngineReports(
        reports=tuple(
            EngineReport(
                target=f"engine-{number:04}",
                incarnation=new_id(),
                running=24,
                waiting=8,
                queued_prompt_tokens=48_000,
                age=0.125,
                serving=True,
                models=(served,),
            )
            for number in range(count)
        )
    )


def sample_messages() -> dict[str, Message]:
    """Return the messages of one request and two messages with engine reports."""
    fingerprint, attempt = new_id(), new_id()
    return {
        "suspects.begin": BeginAttempt(fingerprint=fingerprint, attempt_id=attempt),
        "suspects.verdict": VerdictAnswer(kind=VerdictKind.CLEAR),
        "suspects.place": PlaceAttempt(
            fingerprint=fingerprint,
            attempt_id=attempt,
            target="engine-0001",
            incarnation=new_id(),
        ),
        "suspects.end": EndAttempt(
            fingerprint=fingerprint, attempt_id=attempt, whole=True
        ),
        "fleet.sightings of 1": engine_reports(1),
        "fleet.sightings of 4": engine_reports(4),
    }


@click.command()
def main() -> None:
    """Print the size of each message in bytes."""
    for name, message in sample_messages().items():
        click.echo(f"{name:22} {bytes_on_link(message):5}")


if __name__ == "__main__":
    main()
