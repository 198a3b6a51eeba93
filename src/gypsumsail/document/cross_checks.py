"""Checks for conflicts between service documents."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from gypsumsail.core.findings import Finding
from gypsumsail.document.models import ServiceDocument, ServiceKind


def check_across_documents(documents: Mapping[str, ServiceDocument]) -> list[Finding]:
    """Return a finding for each service, model or path claimed more than once.

    Parameters
    ----------
    documents
        Documents by the file or object that contains them.
    """
    findings: list[Finding] = []
    claimed_by: dict[str, str] = {}
    for place, document in documents.items():
        for claim in _claims(document):
            if claim in claimed_by:
                message = f"{claim} is claimed by {claimed_by[claim]} too"
                findings.append(Finding(place=place, message=message))
            claimed_by.setdefault(claim, place)
    return findings


def _claims(document: ServiceDocument) -> Iterator[str]:
    yield f"service {document.service}"
    for model in document.models:
        yield f"model {model.name}"
    if document.kind is ServiceKind.PLAIN:
        for route in document.routes:
            yield f"path {route.path}"
