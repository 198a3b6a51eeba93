"""Gate that decides whether a document comes into force.

A valid document comes into force if its version is higher than the one in force.
Candidates of all sources pass the gate: watch, list and copies of other entries.
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
    """The candidate has come into force."""

    in_force: DocumentInForce


@dataclass(frozen=True, slots=True, kw_only=True)
class Gated:
    """The candidate's version is lower than the one in force."""

    candidate: Candidate
    in_force: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Duplicate:
    """The candidate is already in force or was already rejected."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The candidate is invalid; the last valid document stays in force."""

    rejection: Rejection


GateDecision = Accepted | Gated | Duplicate | Rejected


class DocumentGate:
    """The documents in force on one entry.

    Attributes
    ----------
    in_force
        Document in force by service; its version never decreases.
    rejections
        Latest rejected write by service.
    """

    def __init__(self, parse: Parse) -> None:
        self.parse = parse
        self.in_force: dict[str, DocumentInForce] = {}
        self.rejections: dict[str, Rejection] = {}

    def version(self, service: str) -> int:
        """Return the version in force; 0 if there is none."""
        known = self.in_force.get(service)
        return 0 if known is None else known.version

    def offer(self, candidate: Candidate) -> GateDecision:
        """Validate a candidate and bring it into force if its version is newer."""
        known = self.in_force.get(candidate.service)
        if known is not None and candidate.version <= known.version:
            return self._reject_not_newer(candidate, known)
        rejection = self.rejections.get(candidate.service)
        if rejection is not None and rejection.version == candidate.version:
            return Duplicate()
        return self._validate_text(candidate)

    def reject(self, rejection: Rejection) -> GateDecision:
        """Record a write that could not be read as a candidate."""
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
