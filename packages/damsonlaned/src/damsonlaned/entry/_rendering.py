"""Endings as callers see them: JSON bodies and server-sent events."""

import json

from damsonlane.requests import Answer, Ending, Refusal, Repeat, decode_answer


def render_answer(ending: Answer | Repeat) -> bytes:
    """Return a whole answer as a JSON body."""
    return json.dumps(_describe(ending)).encode()


def _describe(ending: Answer | Repeat) -> dict[str, object]:
    is_repeat = isinstance(ending, Repeat)
    answer = decode_answer(ending.answer) if isinstance(ending, Repeat) else ending
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
    """Return one event."""
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()


def render_last_event(ending: Ending) -> bytes:
    """Return the event that says whether the stream is whole."""
    if isinstance(ending, Refusal):
        return render_event("end", {"whole": False, "reason": ending.reason, "run": ending.run})
    described = _describe(ending)
    del described["output"]
    return render_event("end", {"whole": True, **described})
