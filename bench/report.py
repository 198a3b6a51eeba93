"""Formats the results of runs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict
import json
from statistics import median
from typing import Final

from bench.run import RunResult

HEADER: Final = (
    "class",
    "calls",
    "whole",
    "goodput/s",
    "first token p50",
    "p95",
    "p99",
)


def as_json(results: Sequence[RunResult]) -> str:
    """Return all results as JSON."""
    return json.dumps([asdict(result) for result in results], indent=1)


def as_table(results: Sequence[RunResult]) -> str:
    """Return a table of the classes of calls and the medians over the seeds.

    Times to the first token are in seconds, goodput in answers per second.
    """
    plan = results[0].plan
    lines = [
        f"{plan.deployment}, policy {plan.policy}, load {plan.load:g}x, "
        f"fault {plan.fault}, {len(results)} seeds, {plan.seconds:g} s each",
        _row(HEADER),
    ]
    lines += [_class_row(results, name) for name in results[0].measures.classes]
    measures = [result.measures for result in results]
    between = median(m.between_tokens.p95 for m in measures)
    lines += [
        f"between tokens p95: {between * 1000:.0f} ms",
        f"share recomputed (returning): {median(m.recomputed for m in measures):.3f}",
        "lowest share of good answers of a customer: "
        f"{median(m.fairness for m in measures):.3f}",
    ]
    lines += [
        f"bytes over {name}: {median(m.link_bytes.get(name, 0) for m in measures):.0f}"
        for name in measures[0].link_bytes
    ]
    recoveries = [
        m.recovery_seconds for m in measures if m.recovery_seconds is not None
    ]
    if plan.fault != "none":
        lines.append(f"seconds to recover, by seed: {recoveries}")
    failures: dict[str, int] = {}
    for found in measures:
        for reason, count in found.refusals.items():
            failures[reason] = failures.get(reason, 0) + count
    lines += [f"failed, {reason}: {count}" for reason, count in failures.items()]
    lines += [
        f"BROKEN: {violation}" for result in results for violation in result.violations
    ]
    return "\n".join(lines)


def _class_row(results: Sequence[RunResult], name: str) -> str:
    found = [result.measures.classes[name] for result in results]
    return _row(
        (
            name,
            str(sum(row.calls for row in found)),
            str(sum(row.whole for row in found)),
            f"{median(row.goodput for row in found):.2f}",
            *(
                f"{median(getattr(row.first_token, point) for row in found):.3f}"
                for point in ("p50", "p95", "p99")
            ),
        )
    )


def _row(cells: Sequence[str]) -> str:
    return "  ".join(cell.rjust(9) for cell in cells)
