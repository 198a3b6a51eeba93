"""Parser of service documents that reports all findings together."""

from __future__ import annotations

from pydantic import ValidationError

from gypsumsail.core.findings import Finding
from gypsumsail.document.checks import CheckFault, check_document, format_path
from gypsumsail.document.const import MAX_DOCUMENT_BYTES, MAX_FINDINGS
from gypsumsail.document.convert import convert_document
from gypsumsail.document.errors import DocumentInvalidError
from gypsumsail.document.models import ServiceDocument
from gypsumsail.document.schema import DocumentBorder
from gypsumsail.document.tree import NodePath, Tree, read_tree


def parse_document(text: str, place: str) -> ServiceDocument:
    """Parse and validate a service document.

    Parameters
    ----------
    text
        The YAML text.
    place
        File or object that contains the text; the findings name it.

    Raises
    ------
    DocumentInvalidError
        The document is invalid. The error contains the syntax errors, invalid
        fields and violated checks as findings in the order of the text; at most
        ``MAX_FINDINGS`` of them. Each has a line and column, except for a text
        that is too large.
    """
    # Measures texts with lone surrogates too, which UTF-8 cannot encode. read_tree
    # reports them.
    size = len(text.encode(errors="surrogatepass"))
    if size > MAX_DOCUMENT_BYTES:
        message = (
            f"has {size} bytes, but at most {MAX_DOCUMENT_BYTES} bytes are allowed"
        )
        raise DocumentInvalidError([Finding(place=place, message=message)])
    tree = read_tree(text)
    findings = _tree_findings(tree, place)
    validated = _validate(tree, place, findings) if tree.is_complete else None
    if validated is None or findings:
        findings.sort(key=lambda finding: (finding.line, finding.column))
        raise DocumentInvalidError(findings[:MAX_FINDINGS])
    return convert_document(validated)


def _tree_findings(tree: Tree, place: str) -> list[Finding]:
    return [
        Finding(
            place=place,
            path=format_path(fault.path),
            message=fault.message,
            line=fault.position.line,
            column=fault.position.column,
        )
        for fault in tree.faults
    ]


def _validate(tree: Tree, place: str, findings: list[Finding]) -> DocumentBorder | None:
    validated = None
    try:
        validated = DocumentBorder.model_validate(tree.data)
    except ValidationError as err:
        # A field with a syntax error is not reported twice.
        reported_paths = {finding.path for finding in findings}
        findings += [
            finding
            for finding in _field_findings(err, tree, place)
            if finding.path not in reported_paths
        ]
    if isinstance(tree.data, dict):
        faults = check_document(tree.data)
        findings += [_check_finding(fault, tree, place) for fault in faults]
    return validated


def _field_findings(err: ValidationError, tree: Tree, place: str) -> list[Finding]:
    findings = []
    for error in err.errors(include_url=False, include_input=False):
        path: NodePath = error["loc"]
        position = tree.position(path, key=error["type"] == "extra_forbidden")
        findings.append(
            Finding(
                place=place,
                path=format_path(path),
                message=error["msg"],
                line=position.line,
                column=position.column,
            )
        )
    return findings


def _check_finding(fault: CheckFault, tree: Tree, place: str) -> Finding:
    position = tree.position(fault.path)
    return Finding(
        place=place,
        path=format_path(fault.path),
        message=fault.message,
        line=position.line,
        column=position.column,
    )
