"""Stage pools and plain services: one JSON object each way."""

import json
from collections.abc import Generator
from typing import final

import urllib3

from damsonlane.requests import AttemptKey, AttemptResult
from damsonlaned.targets._calls import TargetCall, TargetKind, target_kind
from damsonlaned.targets._connections import read_chunks


@target_kind("pool")
class Pool(TargetKind):
    """A worker of a stage pool."""

    path = "/v1/run"

    def make_body(self, call: TargetCall) -> dict[str, object]:
        """Return the attempt's names and input."""
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
        """Read the whole object; one cut short is no JSON and so no answer."""
        body = json.loads(b"".join(read_chunks(response, call.due_at)))
        output = body["output"]
        if not isinstance(output, str):
            raise TypeError("output is not text")
        yield from ()
        return AttemptResult(answers=read_key(body), outcome="answered", output=output)


@final
@target_kind("plain")
class Plain(Pool):
    """A plain service beside the engines; some of its calls may not be repeated."""


def read_key(body: dict[str, object]) -> AttemptKey:
    """Return which attempt a target says it answers."""
    return AttemptKey(
        request=str(body["request"]),
        organisation=str(body["organisation"]),
        stage=str(body["stage"]),
        number=int(str(body["attempt"])),
    )
