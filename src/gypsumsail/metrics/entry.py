"""Metrics of an entry, the process that accepts the requests of callers."""

from __future__ import annotations

from gypsumsail.core.callback import callback
from gypsumsail.core.errors import RequestError
from gypsumsail.metrics.process import ProcessUsage
from gypsumsail.metrics.registry import MetricsRegistry
from gypsumsail.peers.diagnostics import PeerCounters
from gypsumsail.targets.port import AnswerEnd


class EntryMetrics:
    """Typed handles to all metrics of an entry.

    Attributes
    ----------
    registry
        Registry that the operator API exports as text.
    """

    def __init__(self) -> None:
        self.registry = registry = MetricsRegistry()
        self.answers = registry.counter(
            "gypsumsail_answers_total",
            "Whole answers.",
            ("service", "customer"),
        )
        self.errors = registry.counter(
            "gypsumsail_errors_total",
            "Requests that ended without their result, by code and whether they ran.",
            ("service", "code", "run"),
        )
        self.prompt_tokens = registry.counter(
            "gypsumsail_prompt_tokens_total",
            "Prompt tokens by where they came from: cached, imported or computed.",
            ("service", "source"),
        )
        self.answer_tokens = registry.counter(
            "gypsumsail_answer_tokens_total", "Answer tokens.", ("service",)
        )
        self.time_to_first_token = registry.histogram(
            "gypsumsail_first_token_seconds",
            "Time from the request to the first token.",
            ("service",),
        )
        self.mean_inter_token_latency = registry.histogram(
            "gypsumsail_between_tokens_seconds",
            "Mean time between the tokens of an answer.",
            ("service",),
        )
        self.answer_duration = registry.histogram(
            "gypsumsail_answer_seconds",
            "Time from the request to the end of the whole answer.",
            ("service",),
        )
        self.in_flight = registry.gauge(
            "gypsumsail_requests_in_flight", "Requests that are served now."
        )
        self.peers = registry.gauge(
            "gypsumsail_peers", "Other entries that are believed alive."
        )
        self.document_version = registry.gauge(
            "gypsumsail_document_version",
            "Version of the service document in force.",
            ("service",),
        )
        # 0 if no version newer than the active one is known.
        self.document_lag = registry.gauge(
            "gypsumsail_document_lag",
            "Seconds for which a newer document has been known.",
            ("service",),
        )

        self.loop_delay = registry.histogram(
            "gypsumsail_loop_delay_seconds", "Delay of what is due on the loop."
        )
        self.link_bytes = registry.counter(
            "gypsumsail_link_bytes_total",
            "Bytes on the links between entries.",
            ("direction",),
        )
        self.link_messages = registry.counter(
            "gypsumsail_link_messages_total",
            "Messages sent to other entries.",
            ("message",),
        )
        self.cpu = registry.counter(
            "process_cpu_seconds_total", "Processor time of this process."
        )
        self.memory = registry.gauge(
            "process_resident_memory_bytes", "Memory of this process."
        )

    @callback
    def count_answer(self, service: str, customer: str, seconds: float) -> None:
        """Count a complete answer and record its duration in seconds."""
        self.answers.labels(service, customer).increment()
        self.answer_duration.labels(service).observe(seconds)

    @callback
    def count_error(self, service: str, error: RequestError) -> None:
        """Count a failed request.

        Parameters
        ----------
        service
            Name of the service; empty if the request could not be assigned to one.
        """
        self.errors.labels(service, error.code, error.run_state.value).increment()

    @callback
    def count_tokens(self, service: str, end: AnswerEnd) -> None:
        """Count the prompt and answer tokens of a complete answer."""
        computed = end.prompt_tokens - end.cached_tokens - end.imported_tokens
        for source, tokens in (
            ("cached", end.cached_tokens),
            ("imported", end.imported_tokens),
            ("computed", max(0, computed)),
        ):
            self.prompt_tokens.labels(service, source).increment(tokens)
        self.answer_tokens.labels(service).increment(end.answer_tokens)

    @callback
    def update_links(self, counters: PeerCounters) -> None:
        """Set the link metrics from the counters of the peer network."""
        self.link_bytes.labels("sent").set_total(counters.bytes_sent)
        self.link_bytes.labels("received").set_total(counters.bytes_received)
        for name, count in counters.sent_by_name.items():
            self.link_messages.labels(name).set_total(count)

    @callback
    def update_process(self, usage: ProcessUsage) -> None:
        """Set the processor time and memory metrics."""
        self.cpu.labels().set_total(usage.cpu_seconds)
        self.memory.labels().set(usage.resident_bytes)
