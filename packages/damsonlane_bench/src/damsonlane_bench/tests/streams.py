"""Tries of callers to begin a stream, or to take one up again."""

import contextlib
import http.client

from damsonlane.records import dataclass
from damsonlane_bench.registered_target._events import EVENT_COUNT
from damsonlane_bench.routes_document import CALLER_KEY
from damsonlane_bench.routes_fleet import RoutesFleet


@dataclass(frozen=True, kw_only=True)
class Stream:
    """What a caller has of a stream."""

    #: Id of the attempt that began it.
    attempt: str
    #: Its whole events.
    body: str
    #: Status of the last try that got an answer.
    status: int = 200
    #: Whether it has ended normally.
    is_complete: bool = False


def try_stream(
    fleet: RoutesFleet,
    entry: str,
    name: str,
    *,
    begun: Stream | None = None,
    limit: int = EVENT_COUNT + 1,
) -> Stream:
    """Send one request for a stream, and read at most some events of it.

    Args:
        fleet: the fleet.
        entry: the entry that is asked.
        name: id of the request.
        begun: the stream that it takes up; None to begin one.
        limit: events after which the caller breaks off.
    """
    headers = {
        "Host": "shop.example",
        "Authorization": f"Bearer {CALLER_KEY}",
        "Damsonlane-Request-Id": name,
        "Damsonlane-Deadline-Ms": "6000",
        "Damsonlane-Pieces": "0,0",
    }
    if begun is not None:
        seen = str(begun.body.count("\n\n"))
        headers |= {"Last-Event-Id": seen, "Damsonlane-Resumes": begun.attempt}
    connection = http.client.HTTPConnection(fleet.addresses[f"{entry}/front"], timeout=8.0)
    status, body, is_complete = 0, b"", False
    with (
        contextlib.closing(connection),
        contextlib.suppress(OSError, http.client.HTTPException),
    ):
        connection.request("POST", "/chat/a", body=f"of {name}".encode(), headers=headers)
        response = connection.getresponse()
        status = response.status
        while status == 200 and body.count(b"\n\n") < limit:
            chunk = response.read1(4096)
            body += chunk
            if not chunk:
                is_complete = True
                break
    whole = body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""
    return Stream(attempt=name, body=whole.decode(), status=status, is_complete=is_complete)
