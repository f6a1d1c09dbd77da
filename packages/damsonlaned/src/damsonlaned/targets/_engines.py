"""Model engines: completions streamed as server-sent events."""

import json
from collections.abc import Generator, Iterator
from typing import Final, final

import sseclient
import urllib3

from damsonlane.requests import AttemptKey, AttemptResult
from damsonlaned.targets._calls import TargetCall, TargetKind, target_kind
from damsonlaned.targets._connections import read_chunks
from damsonlaned.targets._pools import read_key

#: Data of the event that ends a whole stream.
_DONE: Final = "[DONE]"


@final
@target_kind("engine")
class Engine(TargetKind):
    """An engine that speaks the common completions interface."""

    path = "/v1/completions"

    def make_body(self, call: TargetCall) -> dict[str, object]:
        """Return the prompt and, as metadata to be echoed, the attempt's names."""
        return {
            "model": call.model,
            "prompt": call.text,
            "stream": True,
            "user": call.key.organisation,
            "metadata": {
                "request": call.key.request,
                "organisation": call.key.organisation,
                "stage": call.key.stage,
                "attempt": call.key.number,
            },
        }

    def read_result(
        self, response: urllib3.BaseHTTPResponse, call: TargetCall
    ) -> Generator[str, None, AttemptResult]:
        """Yield the tokens; only the last event says that the stream is whole."""
        pieces: list[str] = []
        wanted = call.key
        for data in _read_events(response, call.due_at):
            if data == _DONE:
                # Read on to the end, so that the connection can be used again.
                for _ in read_chunks(response, call.due_at):
                    pass
                return AttemptResult(
                    # A stream without any event never said which attempt it answers.
                    answers=wanted if pieces else None,
                    outcome="answered",
                    output="".join(pieces),
                    tokens=len(pieces),
                )
            event = json.loads(data)
            answers = read_key(event["metadata"])
            if answers != wanted:
                return _crossed(answers, len(pieces))
            piece = str(event["choices"][0]["text"])
            pieces.append(piece)
            yield piece
        return AttemptResult(
            answers=None,
            outcome="failed",
            tokens=len(pieces),
            fault="the stream ended before its last event",
        )


def _read_events(response: urllib3.BaseHTTPResponse, due_at: float) -> Iterator[str]:
    for event in sseclient.SSEClient(read_chunks(response, due_at)).events():
        yield event.data


def _crossed(answers: AttemptKey, tokens: int) -> AttemptResult:
    return AttemptResult(
        answers=answers,
        outcome="failed",
        tokens=tokens,
        fault="the stream belongs to another attempt",
    )
