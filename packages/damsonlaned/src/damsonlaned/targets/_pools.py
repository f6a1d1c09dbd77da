"""Protocol of stage pools and plain services: a JSON object in each direction."""

import json
from collections.abc import Generator
from typing import final

import urllib3

from damsonlane.requests import AttemptResult
from damsonlaned.targets._attempt_keys import read_attempt_key
from damsonlaned.targets._calls import TargetCall, TargetProtocol, register_protocol
from damsonlaned.targets._connections import read_body


@register_protocol("pool")
class PoolProtocol(TargetProtocol):
    """The protocol of the workers of a stage pool."""

    path = "/v1/run"

    def make_body(self, call: TargetCall) -> dict[str, object]:
        """Return the key and the input of the attempt."""
        return {
            "request": call.key.request,
            "organisation": call.key.organisation,
            "stage": call.key.stage,
            "attempt": call.key.number,
            "input": call.text,
        }

    def read_result(
        self, response: urllib3.BaseHTTPResponse, call: TargetCall
    ) -> Generator[str, None, AttemptResult]:
        """Read the object; a truncated one is invalid JSON and fails the attempt."""
        body = json.loads(read_body(response, call.deadline_at))
        output = body["output"]
        if not isinstance(output, str):
            raise TypeError("output is not text")
        yield from ()
        return AttemptResult(answers=read_attempt_key(body), outcome="answered", output=output)


@final
@register_protocol("plain")
class PlainProtocol(PoolProtocol):
    """The protocol of plain services, some of whose calls must not be retried."""
