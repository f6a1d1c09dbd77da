"""Events of the streams that a stand-in sends."""

from typing import Final

#: Number of events of a stream.
EVENT_COUNT: Final = 20
#: Beginning of the body of a request whose events are large and hold the id of the request.
LARGE_INPUT: Final = "large events"
#: Characters that fill each large event: the 1.3 MB of a stream exceed what the sockets between its
#: target and its caller hold, so that a caller which stops reading makes the target wait.
_PADDING: Final = "." * 65536


def render_event(number: int, large_request: str = "") -> str:
    """Return one event, a large one if the id of a request for large events is given."""
    if large_request:
        return f"id: {number}\ndata: {large_request} {number} {_PADDING}\n\n"
    return f"id: {number}\ndata: token {number}\n\n"


def render_stream(large_request: str = "") -> str:
    """Return all events of a stream."""
    return "".join(render_event(number, large_request) for number in range(1, EVENT_COUNT + 1))
