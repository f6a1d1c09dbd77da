"""Callers that open a connection for each request, most of them to few entries."""

import asyncio
import random
import time
from collections.abc import Sequence
from typing import Final

from damsonlane.records import dataclass
from damsonlane_bench.crowded_entry._kinds import KINDS, RequestKind
from damsonlane_bench.routes_document import CALLER_KEY

#: Share of the connections of a crowd that go to the crowded entries.
CROWDED_SHARE: Final = 0.9
#: Seconds between two requests of one caller, before the crowd and while it lasts.
CALM_PAUSE_SECONDS: Final = 0.5
CROWDED_PAUSE_SECONDS: Final = 0.25
#: Deadline of a request, and the time after which a caller gives up an unread one, in seconds.
DEADLINE_SECONDS: Final = 4.0
UNREAD_SECONDS: Final = 1.0
#: Most tries for one request.
MAX_TRIES: Final = 3


@dataclass(frozen=True, kw_only=True)
class Answer:
    """The end of one request."""

    #: Kind of the request.
    kind: str
    #: When it was sent, on the monotonic clock.
    at: float
    #: Status of the first try that was read; 0 if none was.
    status: int
    #: Whether that answer is complete.
    is_whole: bool
    #: Seconds until that answer.
    seconds: float
    #: Tries that were refused, or closed unread.
    unread: int
    #: Whether the try that was read went to a crowded entry.
    was_crowded: bool

    @property
    def is_served(self) -> bool:
        """Whether the request was served at the first try that was read."""
        return self.status == 200 and self.is_whole


class Crowd:
    """Callers that send requests to all entries alike, and then most of them to few entries.

    Args:
        addresses: of the entries.
        count: number of callers.
        kinds: names of the kinds of requests, one after the other for each caller.
        crowded: number of entries that are crowded at a time.
        move_seconds: seconds after which other entries are crowded; 0 for never.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        count: int,
        kinds: Sequence[str],
        crowded: int,
        move_seconds: float,
    ) -> None:
        self._addresses: Final = addresses
        self._count: Final = count
        self._kinds: Final = kinds
        self._crowded: Final = crowded
        self._move_seconds: Final = move_seconds
        self._crowded_at: float | None = None
        self.answers: Final[list[Answer]] = []
        self._randomness: Final = random.Random(1)

    async def run(self, calm_seconds: float, crowded_seconds: float) -> float:
        """Send requests alike and then crowded; return when the crowd began."""
        ends_at = time.monotonic() + calm_seconds + crowded_seconds
        callers = [
            asyncio.create_task(self._call_until(ends_at, number)) for number in range(self._count)
        ]
        await asyncio.sleep(calm_seconds)
        crowded_at = self._crowded_at = time.monotonic()
        await asyncio.gather(*callers)
        return crowded_at

    def list_crowded(self) -> Sequence[str]:
        """Return the entries that are crowded now."""
        if self._crowded_at is None:
            return ()
        moves = 0
        if self._move_seconds:
            moves = int((time.monotonic() - self._crowded_at) / self._move_seconds)
        count = len(self._addresses)
        first = moves * self._crowded
        return [self._addresses[(first + index) % count] for index in range(self._crowded)]

    async def _call_until(self, ends_at: float, number: int) -> None:
        await asyncio.sleep(self._randomness.uniform(0, CALM_PAUSE_SECONDS))
        while (began_at := time.monotonic()) < ends_at:
            name = self._kinds[number % len(self._kinds)]
            number += 1
            await self._send(began_at, name)
            pause = CALM_PAUSE_SECONDS if self._crowded_at is None else CROWDED_PAUSE_SECONDS
            await asyncio.sleep(max(0.0, began_at + pause - time.monotonic()))

    async def _send(self, began_at: float, name: str) -> None:
        tried: list[str] = []
        status, body = 0, b""
        crowded = self.list_crowded()
        for number in range(MAX_TRIES):
            tried.append(self._choose(tried, crowded))
            try:
                async with asyncio.timeout(DEADLINE_SECONDS):
                    request_id = f"{name}-{began_at}-{number}"
                    status, body = await self._try_once(tried[-1], KINDS[name], request_id)
            except (OSError, TimeoutError):
                status = 0
            if status:
                break
        answer = Answer(
            kind=name,
            at=began_at,
            status=status,
            is_whole=KINDS[name].is_whole(body),
            seconds=time.monotonic() - began_at,
            unread=len(tried) - bool(status),
            was_crowded=tried[-1] in crowded,
        )
        self.answers.append(answer)

    def _choose(self, tried: Sequence[str], crowded: Sequence[str]) -> str:
        untried = [address for address in self._addresses if address not in tried]
        if tried:
            return self._randomness.choice(untried or self._addresses)
        if crowded and self._randomness.random() < CROWDED_SHARE:
            return self._randomness.choice(crowded)
        return self._randomness.choice(self._addresses)

    async def _try_once(
        self, address: str, kind: RequestKind, request_id: str
    ) -> tuple[int, bytes]:
        host, _, port = address.partition(":")
        headers = "".join(f"{name}: {value}\r\n" for name, value in kind.headers.items())
        async with asyncio.timeout(UNREAD_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                f"GET {kind.path} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
                f"Damsonlane-Request-Id: {request_id}\r\n"
                f"Damsonlane-Deadline-Ms: {int(1000 * DEADLINE_SECONDS)}\r\n{headers}"
                f"Authorization: Bearer {CALLER_KEY}\r\n\r\n".encode()
            )
            data = b""
            while part := await reader.read(65_536):
                data += part
            return int(data[9:12]) if data.startswith(b"HTTP/1.1 ") else 0, data
        finally:
            writer.close()
