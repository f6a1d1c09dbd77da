"""Settings trees for the demonstration and for tests."""

import hashlib
from collections.abc import Mapping
from typing import Any, Final

#: Stages of a whole pipeline, in order.
STAGES: Final = ("encode", "retrieve", "rerank", "generate")


def digest_token(token: str) -> str:
    """Return the digest of a token, as settings hold it."""
    return hashlib.sha256(token.encode()).hexdigest()


def make_services(addresses: Mapping[str, str], data_centre: str) -> dict[str, Any]:
    """Return services from the addresses of stand-ins named ``service-number``."""
    services: dict[str, Any] = {}
    for name, address in addresses.items():
        service = name.rpartition("-")[0]
        kind = {"generate": "engine", "terminal": "plain"}.get(service, "pool")
        entry = services.setdefault(service, {"kind": kind, "targets": {}})
        if kind == "engine":
            entry["model"] = "support"
        entry["targets"][name] = {"address": address, "data_centre": data_centre}
    return services


def make_pipeline(*stages: str, repeatable: bool = True, **policy: Any) -> dict[str, Any]:
    """Return a pipeline whose stages run at services of the same names."""
    return {
        "stages": [{"name": stage, "service": stage} for stage in stages],
        "repeatable": repeatable,
        "policy": policy,
    }
