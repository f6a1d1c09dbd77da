"""Lines of JSON about what a stand-in does, on its standard output.

They outlast its process, which may exit under a request.
"""

import json
import time
from typing import Any


def log_arrival(
    request_id: str,
    target: str,
    *,
    backoff_seconds: float,
    is_draining: bool,
    sender: str,
    held_seconds: float,
) -> None:
    """Log a request and the back-off and draining that its response announces."""
    _print_line(
        {
            "came": request_id,
            "target": target,
            "rest": backoff_seconds,
            "leaves": is_draining,
            "from": sender,
            "held": held_seconds,
        }
    )


def log_run(request_id: str, *, is_crash: bool = False) -> None:
    """Log a request that begins to run."""
    _print_line({"ran": request_id, "deadly": is_crash})


def log_fall(target: str) -> None:
    """Log that a target exits since it rejected more than it bears."""
    _print_line({"fell": target})


def log_wait(request_id: str, target: str, seconds: float) -> None:
    """Log for how long a target had to wait until one part of a stream was taken."""
    _print_line({"waited": request_id, "target": target, "seconds": seconds})


def log_rate_limit(request_id: str, target: str, rate: float | None) -> None:
    """Log the rate limit that a response announces, or that it announces none."""
    _print_line({"named": request_id, "target": target, "rate": rate})


def log_load(value: str, *, is_implausible: bool) -> None:
    """Log a load that a response reports."""
    _print_line({"load": value, "implausible": is_implausible})


def _print_line(line: dict[str, Any]) -> None:
    print(json.dumps({**line, "at": time.time()}), flush=True)
