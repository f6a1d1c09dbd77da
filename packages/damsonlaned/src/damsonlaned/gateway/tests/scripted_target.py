"""A target that sends scripted bytes on kept connections."""

import asyncio
from collections.abc import Callable, Sequence

from damsonlane.targets import TargetRecord
from damsonlaned.tests.addresses import find_free_address

#: Seconds between two parts that a target sends.
PART_SECONDS = 0.05

#: Returns the parts that a target sends for a request, by its id and its number on the connection.
Script = Callable[[str, int], Sequence[bytes]]


def render(status: int, request_id: str = "", *, has_run: bool = True) -> bytes:
    """Return a response without a body."""
    named = f"Damsonlane-Request-Id: {request_id}\r\n" if request_id else ""
    not_run = "" if has_run else "Damsonlane-Run-No: 1\r\n"
    return f"HTTP/1.1 {status} .\r\n{named}{not_run}Content-Length: 0\r\n\r\n".encode()


class ScriptedTarget:
    """A target that sends scripted bytes, in parts that arrive one by one.

    Args:
        script: returns the parts of what it sends for a request.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._address = find_free_address()
        #: Ids of the requests that it got, by connection.
        self.requests: list[list[str]] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> TargetRecord:
        host, _, port = self._address.partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return TargetRecord(
            target="t1",
            service="desk",
            address=self._address,
            data_centre="gulberg",
            slots=4,
            standing="live",
            sequence=1,
        )

    async def stop(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ids: list[str] = []
        self.requests.append(ids)
        self._writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                ids.append(head.partition("damsonlane-request-id: ")[2].partition("\r\n")[0])
                for part in self._script(ids[-1], len(ids)):
                    writer.write(part)
                    await asyncio.sleep(PART_SECONDS)
        except (asyncio.IncompleteReadError, ConnectionResetError):
            pass
