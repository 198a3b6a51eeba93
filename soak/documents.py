"""Routing document of the soak test."""

from __future__ import annotations


def routing_document(
    version: int, keys: list[str], context_store: str = ""
) -> dict[str, object]:
    """Return the routing document, with a context store if an address is given."""

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
            },
            *(stores if context_store else []),
        ],
        "limits": {},
        "tenants": [{"name": "a", "api_keys": keys}],
    }
