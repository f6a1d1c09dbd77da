"""A crowd of new connections at one entry: ``python -m damsonlane_bench.crowded_entry``.

Starts a fleet of real processes.  Callers open a connection for each request, to all entries alike
and then nine in ten to one of them.  A caller whose request was not read goes to another entry.
"""

import asyncio
import random
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import fire
from tabulate import tabulate

from damsonlane_bench.fleet import wait_until
from damsonlane_bench.routes import RoutesFleet
from damsonlane_bench.routes_document import CALLER_KEY, make_document

_ENTRIES: Final = ("entry-1", "entry-2", "entry-3")
_TARGETS: Final = tuple(f"desk-{number}" for number in range(6))
#: Share of the connections of a crowd that go to the first entry.
_CROWDED_SHARE: Final = 0.9
#: Seconds between two requests of one caller.
_PAUSE_SECONDS: Final = 0.5
#: Seconds of each phase, and those at the beginning of the crowd that don't count.
_PHASE_SECONDS: Final = 6.0
_CONTACT_SECONDS: Final = 3.0
#: Deadline of a request, and the time after which a caller gives up an unread one, in seconds.
_DEADLINE_SECONDS: Final = 2.0
_UNREAD_SECONDS: Final = 1.0
#: Most tries for one request.
_MAX_TRIES: Final = 3


@dataclass(frozen=True, kw_only=True)
class Answer:
    """The end of one request."""

    #: When it was sent, on the monotonic clock.
    at: float
    #: Status of the first try that was read; 0 if none was.
    status: int
    #: Seconds until that answer.
    seconds: float
    #: Tries that were refused, or closed unread.
    unread: int


class Crowd:
    """Callers that open a connection for each request.

    Args:
        addresses: of the entries; the first one is crowded.
        count: number of callers.
    """

    def __init__(self, addresses: Sequence[str], count: int) -> None:
        self._addresses: Final = addresses
        self._count: Final = count
        self.is_crowded = False
        self.answers: Final[list[Answer]] = []
        self._randomness: Final = random.Random(1)

    async def run(self, seconds: float) -> float:
        """Send requests alike and then crowded; return when the crowd began."""
        ends_at = time.monotonic() + 2 * seconds
        callers = [asyncio.create_task(self._call_until(ends_at)) for _ in range(self._count)]
        await asyncio.sleep(seconds)
        self.is_crowded = True
        crowded_at = time.monotonic()
        await asyncio.gather(*callers)
        return crowded_at

    async def _call_until(self, ends_at: float) -> None:
        await asyncio.sleep(self._randomness.uniform(0, _PAUSE_SECONDS))
        while (began_at := time.monotonic()) < ends_at:
            await self._send(began_at)
            await asyncio.sleep(max(0.0, began_at + _PAUSE_SECONDS - time.monotonic()))

    async def _send(self, began_at: float) -> None:
        tried: list[str] = []
        status = 0
        for number in range(_MAX_TRIES):
            tried.append(self._choose(tried))
            try:
                async with asyncio.timeout(_DEADLINE_SECONDS):
                    status = await self._try_once(tried[-1], f"ping-{began_at}-{number}")
            except (OSError, TimeoutError):
                status = 0
            if status:
                break
        seconds = time.monotonic() - began_at
        unread = len(tried) - bool(status)
        self.answers.append(Answer(at=began_at, status=status, seconds=seconds, unread=unread))

    def _choose(self, tried: Sequence[str]) -> str:
        if tried:
            return self._randomness.choice([a for a in self._addresses if a not in tried])
        if self.is_crowded and self._randomness.random() < _CROWDED_SHARE:
            return self._addresses[0]
        return self._randomness.choice(self._addresses)

    async def _try_once(self, address: str, name: str) -> int:
        host, _, port = address.partition(":")
        async with asyncio.timeout(_UNREAD_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                f"GET /ping/a HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
                f"Damsonlane-Request-Id: {name}\r\n"
                f"Damsonlane-Deadline-Ms: {int(1000 * _DEADLINE_SECONDS)}\r\n"
                f"Authorization: Bearer {CALLER_KEY}\r\n\r\n".encode()
            )
            data = await reader.read(65_536)
            return int(data[9:12]) if data.startswith(b"HTTP/1.1 ") else 0
        finally:
            writer.close()


def _summarise(
    answers: Sequence[Answer], after: float, before: float
) -> tuple[float, float, str, str, int, dict[int, int]]:
    chosen = [answer for answer in answers if after <= answer.at < before]
    read = [answer for answer in chosen if answer.status]
    served = [answer for answer in read if answer.status == 200]
    seconds = before - after
    return (
        round(len(read) / seconds),
        round(len(served) / seconds),
        f"{len(served) / max(1, len(read)):.2f}",
        f"{max((answer.seconds for answer in served), default=0.0):.2f}",
        round(sum(answer.unread for answer in chosen) / seconds),
        dict(Counter(answer.status for answer in chosen)),
    )


def _play(fleet: RoutesFleet, count: int) -> list[tuple[object, ...]]:
    crowd = Crowd([fleet.addresses[f"{entry}/front"] for entry in _ENTRIES], count)
    crowded_at = asyncio.run(crowd.run(_PHASE_SECONDS))
    phases = (
        ("before", crowded_at - _PHASE_SECONDS / 2, crowded_at),
        ("crowded", crowded_at + _CONTACT_SECONDS, crowded_at + _PHASE_SECONDS),
    )
    return [(count, name, *_summarise(crowd.answers, *span)) for name, *span in phases]


def run(callers: str = "100,300,700") -> None:
    """Play each number of callers and print two rows for it.

    Args:
        callers: numbers of callers, separated by commas.
    """
    numbers = str(callers).strip("()").split(",")
    with (
        tempfile.TemporaryDirectory() as folder,
        RoutesFleet(Path(folder), entries=_ENTRIES, targets=_TARGETS) as fleet,
    ):
        for control in fleet.controls:
            fleet.start(control, is_first_start=True)
        for entry in fleet.entries:
            fleet.start(entry)
        for target in _TARGETS:
            fleet.start_target(target, "desk", "plain")
        fleet.put_document(1, routes=make_document()["routes"])
        for entry in fleet.entries:
            wait_until(lambda entry=entry: fleet.call(entry, "/ping/a", "probe")[0] == 200, entry)  # type: ignore[misc]
        rows = [row for number in numbers if number for row in _play(fleet, int(number))]
    headers = (
        "callers", "phase", "read/s", "served/s", "share", "longest", "unread/s", "statuses",
    )  # fmt: skip
    print(tabulate(rows, headers=headers))


if __name__ == "__main__":
    fire.Fire(run)
