"""Routing document of the soak test."""

from __future__ import annotations

from collections.abc import Sequence

from stand_ins.v1_cold import ColdLimits


def routing_document(
    version: int,
    keys: list[str],
    context_store: str = "",
    cold: ColdLimits | None = None,
    other_customers: Sequence[object] = (),
) -> dict[str, object]:
    """Return the routing document.

    Parameters
    ----------
    context_store
        Address of a context store; empty for none.
    cold
        Limits of cold engines; ``None`` for engines that are never cold.
    other_customers
        Entries of customers beside the one with the keys.
    """

    def route(name: str, kind: str, service: str, attempts: int) -> dict[str, object]:
        return {
            "name": name,
            "host": "soak.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 3000,
            "goal_ms": 800,
            "priority": 1,
            "service": service,
            "attempts": attempts,
            "public": False,
            "resumable": name == "stream",
        }

    engine = {"slots": 16, "kv_tokens": 40_000, "models": [{"name": "m0"}]}
    cold_times = {"cold_s": cold.seconds, "cold_per_s": cold.per_second} if cold else {}
    stores = [
        {
            "name": "kept",
            "kv_store_addr": context_store,
            "zone": "z1",
            "kv_tokens": 100_000,
            "link_mbps": 1000,
            "max_inflight": 50,
            "managed": True,
        }
    ]
    return {
        "version": version,
        "routes": [
            route("safe", "safe", "plain", 2),
            route("once", "unsafe", "plain", 1),
            route("stream", "streaming", "llm", 2),
        ],
        "services": [
            {"name": "plain", "health_path": "/healthz", "max_conns": 100},
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_conns": 100,
                "engine": engine,
                **cold_times,
            },
            *(stores if context_store else []),
        ],
        "limits": {},
        "tenants": [{"name": "a", "api_keys": keys}, *other_customers],
    }
