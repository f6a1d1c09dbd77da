"""Logs as JSON lines, without secrets and without the content of requests."""

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

_FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(box: str, role: str) -> None:
    """Send all logs to standard error as JSON lines that name the box."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        _FIELDS,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"box": box, "role": role},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    for noisy in ("urllib3", "grpclib", "hpack", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.ERROR)
