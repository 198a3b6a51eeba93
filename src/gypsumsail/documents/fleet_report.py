"""Collects the reports of the documents in force from all entries."""

from __future__ import annotations

import asyncio
import hashlib

from gypsumsail.core.errors import TransportError
from gypsumsail.documents.const import REPORT_CONCURRENCY
from gypsumsail.documents.gate import DocumentGate
from gypsumsail.documents.lag import LagMonitor
from gypsumsail.documents.messages import ReportRequest, ReportResponse
from gypsumsail.documents.models import (
    EntryReport,
    FleetReport,
    Rejection,
    ServiceReport,
)
from gypsumsail.peers.port import EntryId, PeerNetwork

TEXT_DIGEST_BYTES = 16


def report(
    entry: EntryId, gate: DocumentGate, lag: LagMonitor, *, now: float
) -> EntryReport:
    """Return the report of the documents in force on this entry."""
    behind = {one.service: one.behind_seconds for one in lag.lags(now)}
    services = sorted({*behind, *gate.in_force, *gate.rejections})
    return EntryReport(
        entry=entry,
        services=tuple(
            _service(service, gate, behind.get(service, 0.0)) for service in services
        ),
        unconfirmed_seconds=lag.unconfirmed_seconds(now),
    )


async def async_collect_reports(
    own: EntryReport,
    network: PeerNetwork,
    *,
    others: tuple[EntryId, ...],
    missing: tuple[str, ...],
    timeout: float,
) -> FleetReport:
    """Ask the other entries for their reports and list those that don't answer.

    Parameters
    ----------
    missing
        Names of expected entries that can't be asked.
    timeout
        Seconds to wait for each answer.
    """
    semaphore = asyncio.Semaphore(REPORT_CONCURRENCY)

    async def async_ask(peer: EntryId) -> EntryReport | None:
        async with semaphore:
            try:
                answer = await network.async_request(
                    peer, ReportRequest(), timeout=timeout
                )
            except TransportError:
                return None
        return answer.report if isinstance(answer, ReportResponse) else None

    answers = await asyncio.gather(*(async_ask(peer) for peer in others))
    silent = {
        peer.name
        for peer, answer in zip(others, answers, strict=True)
        if answer is None
    }
    return FleetReport(
        entries=(own, *(answer for answer in answers if answer is not None)),
        unanswered=tuple(sorted(silent | set(missing))),
    )


def _service(service: str, gate: DocumentGate, behind: float) -> ServiceReport:
    in_force = gate.in_force.get(service)
    rejection: Rejection | None = gate.rejections.get(service)
    return ServiceReport(
        service=service,
        version=0 if in_force is None else in_force.version,
        text_digest="" if in_force is None else text_digest(in_force.text),
        behind_seconds=behind,
        findings=() if rejection is None else rejection.findings,
    )


def text_digest(text: str) -> str:
    """Return the digest of a text, for comparison between reports."""
    digest = hashlib.blake2b(text.encode(), digest_size=TEXT_DIGEST_BYTES)
    return digest.hexdigest()
