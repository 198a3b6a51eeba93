"""Decides whether a candidate comes into force: by its version alone.

Every source meets this gate: watch, list, copies of other entries.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gypsumsail.document.errors import DocumentInvalidError
from gypsumsail.document.models import DocumentInForce, ServiceDocument
from gypsumsail.documents.models import Candidate, Rejection

Parse = Callable[[str, str], ServiceDocument]


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The candidate is in force now."""

    in_force: DocumentInForce


@dataclass(frozen=True, slots=True, kw_only=True)
class Gated:
    """The candidate is not above what is in force."""

    candidate: Candidate
    in_force: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Duplicate:
    """The candidate is in force already, or was judged already."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The candidate is invalid; the last good document stays."""

    rejection: Rejection


GateDecision = Accepted | Gated | Duplicate | Rejected


class DocumentGate:
    """The documents in force on one entry.

    Attributes
    ----------
    in_force
        By service; a version only ever grows.
    rejections
        By service, the newest write that did not come into force.
    """

    def __init__(self, parse: Parse) -> None:
        self.parse = parse
        self.in_force: dict[str, DocumentInForce] = {}
        self.rejections: dict[str, Rejection] = {}

    def version(self, service: str) -> int:
        """Return the version in force; 0 when there is none."""
        known = self.in_force.get(service)
        return 0 if known is None else known.version

    def offer(self, candidate: Candidate) -> GateDecision:
        """Judge a candidate and let it come into force."""
        known = self.in_force.get(candidate.service)
        if known is not None and candidate.version <= known.version:
            return self._reject_not_newer(candidate, known)
        rejection = self.rejections.get(candidate.service)
        if rejection is not None and rejection.version == candidate.version:
            return Duplicate()
        return self._validate_text(candidate)

    def reject(self, rejection: Rejection) -> GateDecision:
        """Take a write that is no candidate at all."""
        if self.rejections.get(rejection.service) == rejection:
            return Duplicate()
        self.rejections[rejection.service] = rejection
        return Rejected(rejection=rejection)

    def _reject_not_newer(
        self, candidate: Candidate, known: DocumentInForce
    ) -> GateDecision:
        if candidate.version < known.version:
            return Gated(candidate=candidate, in_force=known.version)
        if candidate.text == known.text:
            return Duplicate()
        finding = "another text has this version in force; apply the document again"
        return self.reject(
            Rejection(
                service=candidate.service,
                version=candidate.version,
                findings=(finding,),
            )
        )

    def _validate_text(self, candidate: Candidate) -> GateDecision:
        place = f"{candidate.service}@{candidate.version}"
        try:
            document = self.parse(candidate.text, place)
        except DocumentInvalidError as error:
            findings = tuple(str(finding) for finding in error.findings)
            return self._invalid(candidate, findings)
        if document.service != candidate.service:
            finding = f"the document is about service {document.service}"
            return self._invalid(candidate, (finding,))
        accepted = DocumentInForce(
            document=document, version=candidate.version, text=candidate.text
        )
        self.in_force[candidate.service] = accepted
        self._clear_rejection(candidate)
        return Accepted(in_force=accepted)

    def _invalid(self, candidate: Candidate, findings: tuple[str, ...]) -> GateDecision:
        known = self.rejections.get(candidate.service)
        if known is not None and known.version > candidate.version:
            return Duplicate()
        return self.reject(
            Rejection(
                service=candidate.service,
                version=candidate.version,
                findings=findings,
            )
        )

    def _clear_rejection(self, candidate: Candidate) -> None:
        rejection = self.rejections.get(candidate.service)
        if rejection is not None and rejection.version <= candidate.version:
            del self.rejections[candidate.service]
