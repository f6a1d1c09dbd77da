"""A minimal HTTP client for tests and the demonstration."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import urllib3

_TIMEOUT_SECONDS: Final = 60.0

_POOL: Final = urllib3.PoolManager(num_pools=200, maxsize=200, retries=False)


@dataclass(frozen=True, kw_only=True)
class Response:
    """An HTTP response."""

    #: HTTP status; 0 when there was no response.
    status: int
    #: The body: decoded if it is JSON, else text.
    body: Any = None
    #: Headers, by name in lower case.
    headers: Mapping[str, str] = field(default_factory=dict)


def send(
    method: str, url: str, body: object = None, headers: Mapping[str, str] | None = None
) -> Response:
    """Send one request without retries; status 0 means that no response was received."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    try:
        raw = _POOL.request(
            method,
            url,
            body=data if method == "POST" else None,
            headers=dict(headers or {}),
            timeout=_TIMEOUT_SECONDS,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return Response(status=0)
    text = raw.data.decode()
    try:
        parsed = json.loads(text)
    except ValueError:
        parsed = text
    return Response(
        status=raw.status,
        body=parsed,
        headers={name.lower(): value for name, value in raw.headers.items()},
    )
