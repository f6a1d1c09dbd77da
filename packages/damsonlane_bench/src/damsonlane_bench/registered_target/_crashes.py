"""Requests on which stand-ins for targets exit."""

import json
from typing import Final

from damsonlane.records import dataclass
from damsonlaned.http import HttpRequest

#: Body of a request, or material key of a piece, at which a target exits.
CRASH_INPUT: Final = "end the target"
#: Beginning of the identities of prompt segments at which an engine exits, whatever else a request
#: holds.  The last segment of a prompt belongs to its request and is no cause.
CRASH_SEGMENT: Final = "dead"
#: The same, for engines that exit after their first event.
CRASH_SEGMENT_AFTER_EVENT: Final = "deadafter"
#: Seconds from the beginning of such a run until the process exits.
CRASH_DELAY_SECONDS: Final = 0.05
#: Seconds for which an engine reads such a prompt before it begins to run it.
_READ_SECONDS: Final = 0.4


@dataclass(frozen=True, kw_only=True)
class Crash:
    """How a target exits under a request."""

    #: Seconds before the run begins.
    read_seconds: float = 0.0
    #: Whether the target sends the head of a stream and one event before.
    has_event: bool = False


def find_crash(request: HttpRequest, *, is_pool: bool) -> Crash | None:
    """Return how a target exits when it runs a request; None if it does not.

    Args:
        request: the request.
        is_pool: whether the target computes pieces.
    """
    if is_pool:
        is_piece_call = request.path == "/v1/pieces"
        return Crash() if is_piece_call and _has_crash_piece(request.body) else None
    if request.body == CRASH_INPUT.encode():
        return Crash()
    segments = (request.find(b"damsonlane-prefix") or "").split(",")[:-1]
    if any(segment.startswith(CRASH_SEGMENT) for segment in segments):
        has_event = any(segment.startswith(CRASH_SEGMENT_AFTER_EVENT) for segment in segments)
        return Crash(read_seconds=_READ_SECONDS, has_event=has_event)
    return None


def _has_crash_piece(body: bytes) -> bool:
    return any(piece["material_key"] == CRASH_INPUT for piece in json.loads(body)["pieces"])
