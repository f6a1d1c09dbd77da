"""An entry with all of its parts, which a test stops as planned."""

import asyncio
from dataclasses import replace

from damsonlane.cluster import PackedDocument
from damsonlane.codec import encode_bytes
from damsonlane.membership import BoxRecord
from damsonlane.routes import RoutingDocument
from damsonlane.settings import BoxSettings, Gateway
from damsonlane.targets import TargetChanges, TargetRecord
from damsonlaned.gateway._node import GatewayNode
from damsonlaned.gateway.tests.harness import DOCUMENT, KEY, TEST_TIMEOUT_SECONDS, make_box_record
from damsonlaned.tests.addresses import find_free_addresses

#: The routes of the tests, with a long time-out and room for a crowd at each service.
CROWD_DOCUMENT = replace(
    DOCUMENT,
    routes=tuple(replace(route, timeout_seconds=60.0) for route in DOCUMENT.routes),
    services=tuple(replace(service, most_connections=200) for service in DOCUMENT.services),
)


class StoppingBox:
    """An entry whose lists the test provides, without control.

    Args:
        stop_seconds: its grace time, in seconds.
    """

    def __init__(self, stop_seconds: float) -> None:
        self.address, admin, callers, ready, control = find_free_addresses(5)
        self._port = int(callers.partition(":")[2])
        self.settings = BoxSettings(
            name=self.address,
            data_centre="gulberg",
            role="entry",
            data_folder="/tmp/none",
            internal_address=self.address,
            admin_address=admin,
            caller_address=callers,
            control=(control,),
        )
        self.gateway = Gateway(dialect="damsonlane", ready_address=ready, stop_seconds=stop_seconds)
        self.node = GatewayNode(self.settings, self.gateway, None)
        self._is_stopped = False

    async def start(self, *records: TargetRecord) -> None:
        """Start, alone and with routes to these targets."""
        await self.node.start()
        self.put_lists(*records)

    def put_lists(self, *records: TargetRecord) -> None:
        """Let control list this entry alone, with routes to these targets."""
        self.list_entries(make_box_record(self.address))
        text = encode_bytes(CROWD_DOCUMENT, RoutingDocument)
        self.node._view.put_document(PackedDocument.pack(CROWD_DOCUMENT.version, text))
        self.node._view.put_targets(TargetChanges(revision=1, records=records, is_whole=True))

    async def stop(self) -> None:
        """Stop as planned, unless the test has done so."""
        if not self._is_stopped:
            self._is_stopped = True
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await self.node.stop()

    def list_entries(self, *entries: BoxRecord) -> None:
        """Let control list these entries."""
        self.node._view.put_entries(entries)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a new connection of a caller."""
        return await asyncio.open_connection("127.0.0.1", self._port)

    async def call(self, path: str, request_id: str = "r1", headers: str = "") -> "Answer":
        """Send one request on a connection of its own."""
        reader, writer = await self.connect()
        writer.write(render_request(path, request_id, headers))
        answer = await Answer.read(reader)
        writer.close()
        return answer


class Answer:
    """What a caller received; the status is 0 if its connection ended without an answer."""

    def __init__(self, head: bytes, body: bytes, *, is_whole: bool) -> None:
        self.status = int(head[9:12] or 0)
        self.head = head.lower()
        self.body = body
        self.is_whole = is_whole
        #: Whether the connection brings no other answer.
        self.is_last = not head or b"connection: close" in self.head

    @classmethod
    async def read(cls, reader: asyncio.StreamReader) -> "Answer":
        """Read the next answer of a connection."""
        head, body = b"", b""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
                if length:
                    body = await reader.readexactly(int(length))
                    return cls(head, body, is_whole=True)
                while part := await reader.read(65_536):
                    body += part
            except (asyncio.IncompleteReadError, ConnectionResetError):
                pass
        return cls(head, body, is_whole=body.endswith(b"0\r\n\r\n"))


def render_request(path: str, request_id: str, headers: str = "") -> bytes:
    """Return the bytes of a request with a long deadline."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Damsonlane-Request-Id: {request_id}\r\nDamsonlane-Deadline-Ms: 60000\r\n"
        f"Authorization: Bearer {KEY}\r\n{headers}\r\n"
    ).encode()
