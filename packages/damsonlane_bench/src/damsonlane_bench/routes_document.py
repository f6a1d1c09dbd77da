"""Routing document of the small fleet that serves routes."""

from typing import Any, Final

#: Caller key of the only organisation.
CALLER_KEY: Final = "florists-key"


def make_document() -> dict[str, Any]:
    """Return the routing document of the demonstration, without its version."""

    def route(name: str, service: str, repeat: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": "shop.example",
            "prefix": f"/{name}/",
            "repeat": repeat,
            "timeout_seconds": 10.0,
            "aim_seconds": 1.0,
            "priority": 0,
            "services": [{"service": service, "weight": 1.0}],
            **more,
        }

    pool = {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "call_seconds": 0.02,
        "piece_seconds": 0.001,
        "room_bytes": 1_000_000,
        "keep_seconds": 4.0,
    }
    stages = [{"service": "encode"}, {"service": "encode", "after": [0]}]
    return {
        "routes": [
            route("ping", "desk", "safe", most_targets=2),
            route("refund", "desk", "once"),
            route("chat", "model", "stream", is_resumable=True, most_targets=2, stages=stages),
            route("note", "model", "stream", stages=stages),
        ],
        "services": [
            {"name": "desk", "most_connections": 50, "health_path": "/health"},
            {
                "name": "model",
                "most_connections": 50,
                "health_path": "/health",
                "engine": {"slots": 8, "cache_tokens": 90_000},
            },
            {
                "name": "encode",
                "most_connections": 50,
                "health_path": "/health",
                "pool": pool,
            },
        ],
        "organisations": [{"name": "florists", "keys": [CALLER_KEY]}],
    }
