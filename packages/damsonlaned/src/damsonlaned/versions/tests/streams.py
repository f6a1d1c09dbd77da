"""Targets that write their version into their events, and callers that take streams up again."""

import asyncio
import re
from dataclasses import replace

from damsonlane.records import dataclass
from damsonlane.targets import TargetRecord
from damsonlaned.gateway.tests.harness import (
    TEST_TIMEOUT_SECONDS,
    AnswerHandler,
    Entry,
    FakeTarget,
    Response,
    read_id,
)
from damsonlaned.http import HttpHead, HttpRequest, ResponseWriter

#: Events of a whole stream.
EVENT_COUNT = 6
#: Seconds between two events of a target that does not break off.
EVENT_SECONDS = 0.01
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@dataclass(frozen=True, kw_only=True)
class Event:
    """An event that a caller received."""

    #: Its id.
    number: int
    #: Version of the target that made it.
    version: str


def make_stream(version: str, *, cut_after: int = 0) -> AnswerHandler:
    """Return a handler that streams events, each with the version.

    Args:
        version: the version of the target.
        cut_after: number of events after which its first stream breaks off; 0 if none does.
    """
    cuts = [cut_after] if cut_after else []

    async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
        headers = (
            (b"Damsonlane-Request-Id", read_id(request)),
            (b"Content-Type", b"text/event-stream"),
        )
        cut = cuts.pop() if cuts else 0
        first = int(request.find(b"last-event-id") or 0) + 1
        writer.start(HttpHead(status=200, headers=headers))
        for number in range(first, EVENT_COUNT + 1):
            await writer.send(f"id: {number}\ndata: {version}\n\n".encode())
            await asyncio.sleep(EVENT_SECONDS)
            if number == cut:
                writer.abort()
                return
        writer.finish()

    return answer


class VersionedTarget(FakeTarget):
    """A target that streams events with its version, and registers with it.

    Args:
        name: its name.
        version: the version.
        cut_after: number of events after which its first stream breaks off; 0 if none does.
        service: name of its service.
    """

    def __init__(
        self, name: str, version: str, *, cut_after: int = 0, service: str = "desk"
    ) -> None:
        super().__init__(name, make_stream(version, cut_after=cut_after), service)
        self._version = version

    async def start(self) -> TargetRecord:
        return replace(await super().start(), version=self._version)


def read_events(response: Response) -> list[Event]:
    """Return the whole events in a response."""
    return [
        Event(number=int(number), version=version.decode())
        for number, version in _EVENT.findall(response.data)
    ]


async def begin(entry: Entry, request_id: str, count: int = 2, *, model: str = "") -> list[Event]:
    """Begin a stream at an entry, and close the connection after some events."""
    reader, writer = await entry.send("/chat/a", headers=_name_model(model), request_id=request_id)
    data = b""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while len(_EVENT.findall(data)) < count:
            part = await reader.read(4096)
            if not part:
                break
            data += part
    writer.close()
    return read_events(Response(status=200, data=data))


async def resume(
    entry: Entry, request_id: str, first_attempt: str, events: list[Event], *, model: str = ""
) -> Response:
    """Take a stream up again after some events."""
    headers = f"Last-Event-Id: {events[-1].number}\r\n{_name_model(model)}"
    if first_attempt:
        headers += f"Damsonlane-Resumes: {first_attempt}\r\n"
    return await entry.call("/chat/a", headers=headers, request_id=request_id)


def _name_model(model: str) -> str:
    """Return the header that names a model; empty for none."""
    return f"Damsonlane-Model: {model}\r\n" if model else ""
