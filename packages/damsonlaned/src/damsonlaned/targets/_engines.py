"""Protocol of model engines: completions streamed as server-sent events."""

import json
import re
from collections.abc import Generator, Iterator
from typing import Final, final

import sseclient
import urllib3

from damsonlane.requests import AttemptKey, AttemptResult
from damsonlaned.targets._attempt_keys import read_attempt_key
from damsonlaned.targets._calls import TargetCall, TargetProtocol, register_protocol
from damsonlaned.targets._connections import OversizedError, read_chunks

#: Largest size of one event, in bytes; the parser copies an event for each of its lines.
MAX_EVENT_BYTES: Final = 64 * 1024
#: The end of an event.
_END: Final = re.compile(rb"\n\n|\r\n\r\n|\r\r")
#: Data of the last event of a complete stream.
_DONE: Final = "[DONE]"


@final
@register_protocol("engine")
class EngineProtocol(TargetProtocol):
    """The completions interface of model engines."""

    path = "/v1/completions"

    def make_body(self, call: TargetCall) -> dict[str, object]:
        """Return the request with the prompt and, as metadata to be echoed, the attempt's key."""
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
        """Yield the tokens; the stream is complete only if the last event is `_DONE`."""
        token_texts: list[str] = []
        wanted = call.key
        for data in _read_events(response, call.deadline_at):
            if data == _DONE:
                # Read to the end, so that the connection can be reused.
                for _ in read_chunks(response, call.deadline_at):
                    pass
                return AttemptResult(
                    # Without any event, nothing confirms which attempt the stream answers.
                    answers=wanted if token_texts else None,
                    outcome="answered",
                    output="".join(token_texts),
                    tokens=len(token_texts),
                )
            event = json.loads(data)
            answers = read_attempt_key(event["metadata"])
            if answers != wanted:
                return _make_mismatch(answers, len(token_texts))
            token_text = str(event["choices"][0]["text"])
            token_texts.append(token_text)
            yield token_text
        return AttemptResult(
            answers=None,
            outcome="failed",
            tokens=len(token_texts),
            fault="the stream ended before its last event",
        )


def _read_events(response: urllib3.BaseHTTPResponse, deadline_at: float) -> Iterator[str]:
    chunks = _limit_events(read_chunks(response, deadline_at))
    for event in sseclient.SSEClient(chunks).events():
        yield event.data


def _limit_events(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the chunks of a stream until one of its events is too large.

    Raises:
        OversizedError: an event exceeds the largest size.
    """
    pending = b""
    for chunk in chunks:
        yield chunk
        pending = _END.split(pending + chunk)[-1]
        if len(pending) > MAX_EVENT_BYTES:
            raise OversizedError(f"an event has more than {MAX_EVENT_BYTES} bytes")


def _make_mismatch(answers: AttemptKey, tokens: int) -> AttemptResult:
    return AttemptResult(
        answers=answers,
        outcome="failed",
        tokens=tokens,
        fault="the stream belongs to another attempt",
    )
