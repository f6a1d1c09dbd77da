"""Streams of engines that fall silent: ``python -m damsonlane_bench.silent_targets``.

Starts a fleet of real processes whose routes may be sent to two targets, and callers that read one
stream after the other.  The engines fall silent for a while, again and again: they answer health
checks and send heartbeats, but no event; or their processes are stopped.
"""

import asyncio
import random
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Final

import fire

from damsonlane_bench.crowded_entry import CrowdedFleet, FleetSize
from damsonlane_bench.registered_target import (
    SILENCE_END_SIGNAL,
    SILENCE_SIGNAL,
    SLOW_SIGNAL,
)
from damsonlane_bench.registered_target._events import EVENT_COUNT
from damsonlane_bench.routes_document import CALLER_KEY, make_document

#: Objective for the pause between two events of a stream, in seconds.
PAUSE_SECONDS: Final = 0.3
#: Deadline of a request, in seconds.
DEADLINE_SECONDS: Final = 8.0
#: Seconds between two silences, and before the first one.
GAP_SECONDS: Final = 3.0
#: Connections and slots of each engine.
ENGINE_PLACES: Final = 200


class _Callers:
    """Callers that read one stream after the other, each from a random entry."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses: Final = addresses
        self._randomness: Final = random.Random(1)
        self.outcomes: Final[Counter[str]] = Counter()

    async def run(self, count: int, seconds: float) -> None:
        ends_at = time.monotonic() + seconds
        await asyncio.gather(*(self._call_until(ends_at, number) for number in range(count)))

    async def _call_until(self, ends_at: float, number: int) -> None:
        await asyncio.sleep(self._randomness.uniform(0, 1))
        while time.monotonic() < ends_at:
            name = f"chat-{number}-{time.monotonic_ns()}"
            try:
                data = await self._call(self._randomness.choice(self._addresses), name)
            except OSError:
                data = b""
            self.outcomes[_describe(data)] += 1

    async def _call(self, address: str, name: str) -> bytes:
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            "GET /chat/a HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
            f"Damsonlane-Request-Id: {name}\r\nAuthorization: Bearer {CALLER_KEY}\r\n"
            f"Damsonlane-Deadline-Ms: {int(1000 * DEADLINE_SECONDS)}\r\n\r\n".encode()
        )
        data = b""
        try:
            while part := await reader.read(65_536):
                data += part
        except ConnectionResetError:
            pass
        finally:
            writer.close()
        return data


def _describe(data: bytes) -> str:
    """Return the outcome of a stream: whole, cut, or its status."""
    status = data[9:12].decode() if data.startswith(b"HTTP/1.1 ") else "no answer"
    if status != "200":
        return status
    numbers = [int(line[4:]) for line in data.split(b"\n") if line.startswith(b"id: ")]
    if numbers != list(range(1, len(numbers) + 1)):
        return "doubled or lost events"
    return "whole" if len(numbers) == EVENT_COUNT else "cut"


async def _silence(fleet: CrowdedFleet, names: list[str], seconds: float, stops: bool) -> None:
    processes = [fleet.fleet.processes[name] for name in names]
    for process in processes:
        process.suspend() if stops else process.signal(SILENCE_SIGNAL)
    await asyncio.sleep(seconds)
    for process in processes:
        process.resume() if stops else process.signal(SILENCE_END_SIGNAL)


async def _play(
    fleet: CrowdedFleet, callers: int, silences: int, seconds: float, share: float, stops: bool
) -> Counter[str]:
    engines = [name for name in fleet.fleet.processes if name.startswith("model")]
    for name in engines:
        fleet.fleet.processes[name].signal(SLOW_SIGNAL)
    crowd = _Callers(fleet.list_addresses())
    calls = asyncio.create_task(crowd.run(callers, silences * (GAP_SECONDS + seconds)))
    for number in range(silences):
        await asyncio.sleep(GAP_SECONDS)
        chosen = random.Random(number).sample(engines, round(share * len(engines)))
        await _silence(fleet, chosen, seconds, stops)
    await calls
    return crowd.outcomes


def run(
    entries: int = 3,
    engines: int = 10,
    callers: int = 60,
    silences: int = 6,
    seconds: float = 1.2,
    share: float = 1.0,
    stops: bool = False,
    keep: str = "",
) -> None:
    """Play silences of engines and print what became of the streams.

    Args:
        entries: number of entries.
        engines: number of engines.
        callers: number of callers.
        silences: number of silences.
        seconds: length of a silence, in seconds.
        share: share of the engines that fall silent.
        stops: whether their processes are stopped instead.
        keep: folder for the logs; empty to delete them.
    """
    size = FleetSize(
        entries=entries, desks=1, engines=engines, slots=ENGINE_PLACES, pools=1,
        connections=ENGINE_PLACES,
    )  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        place = Path(keep or folder)
        place.mkdir(parents=True, exist_ok=True)
        with CrowdedFleet(place, size) as fleet:
            fleet.start()
            routes = make_document()["routes"]
            for route in routes:
                route |= {"pause_seconds": PAUSE_SECONDS, "stages": []}
            fleet.fleet.put_document(2, routes=routes)
            outcomes = asyncio.run(_play(fleet, callers, silences, seconds, share, stops))
    print(dict(outcomes), "of", outcomes.total())


if __name__ == "__main__":
    fire.Fire(run)
