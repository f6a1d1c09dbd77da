"""Proxies that cut an entry off from targets while other entries still reach them."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any, Literal

from damsonlane.targets import TargetRecord

#: What becomes of connections during a cut: bytes are held back, connections are reset, or new
#: ones are refused, or accepted and reset at the first bytes, while open ones live.
CutForm = Literal["hang", "reset", "refuse", "accept"]


class CuttableProxy:
    """Forwards the connections of one entry to one target until it is cut.

    Args:
        record: the target.
    """

    def __init__(self, record: TargetRecord) -> None:
        self._record = record
        self._form: CutForm | None = None
        #: Whether bytes of the target were forwarded since it was last cut.
        self.has_forwarded = False
        self._has_path = asyncio.Event()
        self._has_path.set()
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def service(self) -> str:
        """The service of the target."""
        return self._record.service

    async def start(self) -> TargetRecord:
        """Start, and return the record of the target with the address of the proxy."""
        await self._listen()
        return replace(self._record, address=f"127.0.0.1:{self._port}")

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()
        if self._server is not None:
            self._server.close()

    async def cut(self, form: CutForm) -> None:
        self._form = form
        self.has_forwarded = False
        if form == "hang":
            self._has_path.clear()
        if form == "reset":
            for writer in list(self._writers):
                _reset(writer)
        if form == "refuse" and self._server is not None:
            self._server.close()

    async def heal(self) -> None:
        was_refused = self._form == "refuse"
        self._form = None
        self._has_path.set()
        if was_refused:
            await self._listen()

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._form == "reset":
            _reset(writer)
            return
        if self._form == "accept":
            await reader.read(1)
            _reset(writer)
            return
        host, _, port = self._record.address.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        self._writers.add(writer)
        self._start(self._copy(reader, target_writer))
        self._start(self._copy(target_reader, writer, is_response=True))

    def _start(self, copying: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(copying)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool = False,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._has_path.wait()
                writer.write(data)
                self.has_forwarded |= is_response
        writer.close()
        self._writers.discard(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
