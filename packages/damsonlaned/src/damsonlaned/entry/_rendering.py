"""Render the outcome of a request for its caller, as JSON or as server-sent events."""

import json

from damsonlane.requests import Answer, Outcome, Refusal, StoredAnswer, decode_answer


def render_answer(outcome: Answer | StoredAnswer) -> bytes:
    """Return a complete answer as a JSON body."""
    return json.dumps(_describe(outcome)).encode()


def _describe(outcome: Answer | StoredAnswer) -> dict[str, object]:
    is_repeat = isinstance(outcome, StoredAnswer)
    answer = decode_answer(outcome.answer) if isinstance(outcome, StoredAnswer) else outcome
    return {
        "request": answer.request,
        "output": answer.output,
        "stages": [
            {
                "name": stage.name,
                "target": stage.target,
                "attempts": stage.attempts,
                "seconds": stage.seconds,
            }
            for stage in answer.stages
        ],
        "remaining_ms": int(answer.remaining * 1000),
        "repeated": is_repeat,
    }


def render_event(name: str, data: dict[str, object]) -> bytes:
    """Return one server-sent event."""
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()


def render_last_event(outcome: Outcome) -> bytes:
    """Return the last event of a stream, which says whether the stream is complete."""
    if isinstance(outcome, Refusal):
        return render_event("end", {"whole": False, "reason": outcome.reason, "run": outcome.run})
    described = _describe(outcome)
    del described["output"]
    return render_event("end", {"whole": True, **described})
