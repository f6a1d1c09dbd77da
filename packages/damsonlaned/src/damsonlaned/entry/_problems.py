"""Problem details (RFC 9457), which callers get in place of an answer."""

import json
import math
from http import HTTPStatus
from typing import Final

from damsonlane.records import dataclass
from damsonlane.requests import ExecutionState, Refusal, RefusalReason

#: Prefix of the problem types that docs/callers.md lists.
TYPE_PREFIX: Final = "urn:damsonlane:problem:"

_STATUSES: Final[dict[RefusalReason, HTTPStatus]] = {
    "deadline": HTTPStatus.GATEWAY_TIMEOUT,
    "deadline-passed": HTTPStatus.GATEWAY_TIMEOUT,
    "overloaded": HTTPStatus.SERVICE_UNAVAILABLE,
    "no-target": HTTPStatus.SERVICE_UNAVAILABLE,
    "target-failed": HTTPStatus.BAD_GATEWAY,
    "leaving": HTTPStatus.SERVICE_UNAVAILABLE,
    "no-quorum": HTTPStatus.SERVICE_UNAVAILABLE,
    "key-mismatch": HTTPStatus.UNPROCESSABLE_ENTITY,
    "key-too-old": HTTPStatus.GONE,
    "key-busy": HTTPStatus.CONFLICT,
    "holder-gone": HTTPStatus.CONFLICT,
    "not-whole": HTTPStatus.BAD_GATEWAY,
    "held": HTTPStatus.SERVICE_UNAVAILABLE,
}


@dataclass(frozen=True, kw_only=True)
class Problem:
    """One problem."""

    #: Last part of the problem type.
    name: str
    #: HTTP status.
    status: HTTPStatus
    #: Explanation for a human reader.
    detail: str
    #: Whether anything of the request ran.
    run: ExecutionState = "no"
    #: Id of the request, or empty.
    request: str = ""
    #: Seconds after which the caller should retry; 0 for no ``Retry-After``.
    retry_after: float = 0.0

    def body(self) -> bytes:
        """Return the problem as JSON."""
        fields = {
            "type": f"{TYPE_PREFIX}{self.name}",
            "title": self.name.replace("-", " "),
            "status": int(self.status),
            "detail": self.detail,
            "run": self.run,
            "request": self.request,
        }
        return json.dumps(fields).encode()

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers of the response."""
        headers = [("Content-Type", "application/problem+json")]
        if self.retry_after > 0:
            headers.append(("Retry-After", str(math.ceil(self.retry_after))))
        return headers


def describe_refusal(refusal: Refusal) -> Problem:
    """Return the problem that describes a refusal."""
    return Problem(
        name=refusal.reason,
        status=_STATUSES[refusal.reason],
        detail=refusal.detail,
        run=refusal.run,
        request=refusal.request,
        retry_after=refusal.retry_after,
    )
