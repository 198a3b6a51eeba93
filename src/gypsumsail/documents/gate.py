"""Gate that decides whether a document comes into force.

A valid document comes into force if its version is higher than the one in force.
The gate checks candidates of all sources: watch, list and copies of other entries.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gypsumsail.document.errors import DocumentInvalidError
from gypsumsail.document.models import DocumentInForce, ServiceDocument
from gypsumsail.documents.models import Candidate, Rejection

# Called with the text of a document and the place to name in findings.
Parse = Callable[[str, str], ServiceDocument]


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The candidate has come into force."""

    in_force: DocumentInForce


@dataclass(frozen=True, slots=True, kw_only=True)
class OlderVersion:
    """The candidate's version is lower than the one in force."""

    candidate: Candidate
    version_in_force: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Duplicate:
    """The candidate changes nothing.

    It is already in force, was already rejected, or is invalid and older than the
    latest rejected write.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The write does not come into force; the document in force stays.

    It is invalid, deleted the object, or has the version in force with a different
    text.
    """

    rejection: Rejection


GateDecision = Accepted | OlderVersion | Duplicate | Rejected


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
        current = self.in_force.get(service)
        return 0 if current is None else current.version

    def offer(self, candidate: Candidate) -> GateDecision:
        """Validate a candidate and bring it into force if its version is newer."""
        current = self.in_force.get(candidate.service)
        if current is not None and candidate.version <= current.version:
            return self._decide_not_newer(candidate, current)
        rejection = self.rejections.get(candidate.service)
        if rejection is not None and rejection.version == candidate.version:
            return Duplicate()
        return self._validate_text(candidate)

    def reject(self, rejection: Rejection) -> GateDecision:
        """Record a rejected write; a repeated rejection is a ``Duplicate``."""
        if self.rejections.get(rejection.service) == rejection:
            return Duplicate()
        self.rejections[rejection.service] = rejection
        return Rejected(rejection=rejection)

    def _decide_not_newer(
        self, candidate: Candidate, current: DocumentInForce
    ) -> GateDecision:
        if candidate.version < current.version:
            return OlderVersion(candidate=candidate, version_in_force=current.version)
        if candidate.text == current.text:
            return Duplicate()
        finding = (
            f"version {current.version} is already in force with a different text; "
            "apply the document again"
        )
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
        previous = self.rejections.get(candidate.service)
        if previous is not None and previous.version > candidate.version:
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
