"""Checks for conflicts between service documents."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from gypsumsail.core.findings import Finding
from gypsumsail.document.models import ServiceDocument, ServiceKind


def check_across_documents(documents: Mapping[str, ServiceDocument]) -> list[Finding]:
    """Return a finding for each name that more than one document defines.

    The names are those of services and models, and the paths of plain services.
    Services of kind ``model`` may share a path, because a request to them also names
    its model.

    Parameters
    ----------
    documents
        Documents by the file or object that contains them.
    """
    findings: list[Finding] = []
    defined_in: dict[str, str] = {}
    for place, document in documents.items():
        for exclusive_name in _exclusive_names(document):
            if exclusive_name in defined_in:
                message = (
                    f"{exclusive_name} is also defined in {defined_in[exclusive_name]}"
                )
                findings.append(Finding(place=place, message=message))
            defined_in.setdefault(exclusive_name, place)
    return findings


def _exclusive_names(document: ServiceDocument) -> Iterator[str]:
    yield f"service {document.service}"
    for model in document.models:
        yield f"model {model.name}"
    if document.kind is ServiceKind.PLAIN:
        for route in document.routes:
            yield f"path {route.path}"
