"""Events of the streams that a stand-in sends."""

import re
from typing import Final

#: Number of events of a stream.
EVENT_COUNT: Final = 20
#: Beginning of the body of a request whose events are large and hold the id of the request.
LARGE_INPUT: Final = "large events"
#: Length of the whole answer of a plain target to a request whose body begins like that.
LARGE_ANSWER_BYTES: Final = 6 * 2**20
#: Characters that fill each large event: the 1.3 MB of a stream exceed what the sockets between its
#: target and its caller hold, so that a caller which stops reading makes the target wait.
_PADDING: Final = "." * 65536


#: The field of an event that holds the version of its target, also if it is cut off at the end.
_VERSION_FIELD: Final = re.compile(r"^version: (\S+)\n|^v[^\n]*\Z", re.MULTILINE)


def render_event(number: int, large_request: str = "", version: str = "") -> str:
    """Return one event.

    Args:
        number: its number, from 1 on.
        large_request: id of the request, if its events are large.
        version: version of the target that the event names; empty for none.
    """
    field = f"version: {version}\n" if version else ""
    if large_request:
        return f"id: {number}\n{field}data: {large_request} {number} {_PADDING}\n\n"
    return f"id: {number}\n{field}data: token {number}\n\n"


def strip_versions(events: str) -> str:
    """Return events without the versions of the targets that sent them."""
    return _VERSION_FIELD.sub("", events)


def list_versions(events: str) -> set[str]:
    """Return the versions of the targets that sent events."""
    return {version for version in _VERSION_FIELD.findall(events) if version}


def render_stream(large_request: str = "") -> str:
    """Return all events of a stream."""
    return "".join(render_event(number, large_request) for number in range(1, EVENT_COUNT + 1))
