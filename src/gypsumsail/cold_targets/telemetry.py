"""Decision log and metrics of cold targets."""

from __future__ import annotations

from typing import Final

from gypsumsail.core.callback import callback
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.metrics.registry import MetricsRegistry

MAX_LOGGED_TEXT: Final = 40
"""Characters of a header's value that are logged."""


class ColdTelemetry:
    """Logs and counts what concerns cold targets."""

    def __init__(self, log: DecisionLog, registry: MetricsRegistry) -> None:
        self.log = log
        self.turned_cold = registry.counter(
            "gypsumsail_gateway_targets_turned_cold_total",
            "Targets that this VM began to treat as cold, by service and source.",
            ("service", "source"),
        )
        self.held = registry.counter(
            "gypsumsail_gateway_cold_held_calls_total",
            "Calls that waited while a target could not take them because it was cold.",
            ("service",),
        )

    @callback
    def target_cold(
        self, target: str, life: int, service: str, seconds: float, source: str
    ) -> None:
        """Log that a target turned cold, for how long and how this VM knows."""
        self.turned_cold.labels(service, source).increment()
        self.log.write(
            "target cold",
            target=target,
            life=life,
            service=service,
            seconds=round(seconds, 3),
            source=source,
        )

    @callback
    def header_invalid(self, target: str, life: int, text: str) -> None:
        """Log that a target states a cold time that can't be read."""
        self.log.write(
            "target cold time invalid",
            target=target,
            life=life,
            text=text[:MAX_LOGGED_TEXT],
        )

    @callback
    def call_held(self, service: str) -> None:
        """Count a call that waits because a target is cold."""
        self.held.labels(service).increment()
