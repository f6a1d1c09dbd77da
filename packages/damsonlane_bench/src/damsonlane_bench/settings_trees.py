"""Parts of settings trees for demonstrations, measurements and tests."""

import hashlib
from collections.abc import Mapping
from typing import Any, Final

#: Stages of a complete pipeline, in order.
STAGES: Final = ("encode", "retrieve", "rerank", "generate")


def digest_token(token: str) -> str:
    """Return the digest of a token as settings store it."""
    return hashlib.sha256(token.encode()).hexdigest()


def make_services(addresses: Mapping[str, str], data_centre: str) -> dict[str, Any]:
    """Return the settings of the services of stand-ins.

    Args:
        addresses: addresses of the stand-ins by their names, ``service-number``.
        data_centre: data centre of all stand-ins.
    """
    services: dict[str, Any] = {}
    for name, address in addresses.items():
        service = name.rpartition("-")[0]
        kind = {"generate": "engine", "terminal": "plain"}.get(service, "pool")
        service_settings = services.setdefault(service, {"kind": kind, "targets": {}})
        if kind == "engine":
            service_settings["model"] = "support"
        service_settings["targets"][name] = {"address": address, "data_centre": data_centre}
    return services


def make_pipeline(*stages: str, repeatable: bool = True, **policy: Any) -> dict[str, Any]:
    """Return the settings of a pipeline whose stages run at services of the same names.

    Args:
        stages: names of the stages, in order.
        repeatable: whether a request may run more than once.
        policy: policy settings of the pipeline.
    """
    return {
        "stages": [{"name": stage, "service": stage} for stage in stages],
        "repeatable": repeatable,
        "policy": policy,
    }
