"""Callers whose requests share what crashes engines, and callers that crowd at one entry."""

import http.client
import itertools
import random
import time
from collections.abc import Iterator, Sequence
from threading import Event, Thread
from typing import Final

from damsonlane_bench.registered_target._crashes import CRASH_SEGMENT, CRASH_SEGMENT_AFTER_EVENT
from damsonlane_bench.routes_document import CALLER_KEY
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.soak._checks import (
    MAX_FURTHER_EXITS,
    PROPAGATION_SECONDS,
    SHARED_PART_NAME,
    is_settled,
)
from damsonlane_bench.soak._guarantees import guarantee
from damsonlane_bench.soak._observations import CallerResponse, Observations, TargetRun

#: Number of callers whose requests share a part of their prompts that crashes engines.
CRASHING_COUNT: Final = 2
#: Callers of a crowd.
CROWD_COUNT: Final = 40
#: Pause between two requests of one of them, in seconds.  Stand-ins for targets bear some hundred
#: requests a second.
_CROWD_PAUSE_SECONDS: Final = 0.1
#: Exits of engines on one part after which the bound on further ones holds.
BOUND_EXITS: Final = 5
_TIMEOUT_SECONDS: Final = 6.0


class OneShotCaller:
    """Thread that opens a connection for each request.

    Args:
        fleet: whose entries it calls.
        observations: records the responses.
        name: part of the ids of its requests.
        seed: seed of its random choices.
        entry: the only entry that it calls; empty for all.
        shared_part: part that the prompts of all its requests hold; empty for requests without
            prompts.
        pause_seconds: pause between two requests.
    """

    def __init__(
        self,
        fleet: RoutesFleet,
        observations: Observations,
        name: str,
        seed: int,
        *,
        entry: str = "",
        shared_part: str = "",
        pause_seconds: float = 0.25,
    ) -> None:
        self._fleet: Final = fleet
        self._observations: Final = observations
        self._name: Final = name
        self._randomness: Final = random.Random(f"{name} {seed}")
        self._entry: Final = entry
        self._shared_part: Final = shared_part
        self._pause_seconds: Final = pause_seconds
        self._stopped: Final = Event()
        self._thread: Final = Thread(target=self._run, name=name)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread once its last response has arrived."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        for number in itertools.count():
            if self._stopped.wait(self._pause_seconds):
                return
            entry = self._entry or self._randomness.choice(self._fleet.entries)
            self._observations.record_response(self._call(entry, number))

    def _call(self, entry: str, number: int) -> CallerResponse:
        route = "chat" if self._shared_part else "ping"
        request = f"{route}-{self._name}-{number}@{entry}"
        headers = {
            "Host": "shop.example",
            "Authorization": f"Bearer {CALLER_KEY}",
            "Damsonlane-Request-Id": request,
            "Damsonlane-Deadline-Ms": "4000",
        }
        if self._shared_part:
            headers |= {
                "Damsonlane-Prefix": f"first:100,{self._shared_part}:100,own-{request}:100",
                "Damsonlane-Pieces": "1,1",
                "Damsonlane-Material-Key": f"of {request}",
            }
        status, data, is_complete = 0, b"", False
        began_at = time.monotonic()
        address = self._fleet.addresses[f"{entry}/front"]
        connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
        try:
            connection.request("POST", f"/{route}/{number}", body=request, headers=headers)
            response = connection.getresponse()
            status = response.status
            data = response.read()
            is_complete = True
        except http.client.IncompleteRead as error:
            data = error.partial
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        return CallerResponse(
            request=request,
            route=route,
            status=status,
            is_complete=is_complete,
            body=data.decode(),
            seconds=time.monotonic() - began_at,
            at=time.time(),
        )


def make_crashing_callers(
    fleet: RoutesFleet, observations: Observations, seed: int
) -> list[OneShotCaller]:
    """Return callers whose requests, no two alike, share a part that crashes engines."""
    kind = CRASH_SEGMENT if seed % 2 else CRASH_SEGMENT_AFTER_EVENT
    return [
        OneShotCaller(
            fleet,
            observations,
            f"{SHARED_PART_NAME}{number}",
            seed,
            shared_part=f"{kind}{seed}",
        )
        for number in range(CRASHING_COUNT)
    ]


def make_crowd(
    fleet: RoutesFleet, observations: Observations, entries: Sequence[str], name: str, seed: int
) -> list[OneShotCaller]:
    """Return callers that open many connections to few entries."""
    return [
        OneShotCaller(
            fleet,
            observations,
            f"{name}x{number}",
            seed,
            entry=entries[number % len(entries)],
            pause_seconds=_CROWD_PAUSE_SECONDS,
        )
        for number in range(CROWD_COUNT)
    ]


@guarantee("a part of prompts that crashes engines is quarantined")
def _check_shared_part(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    exit_times = sorted(run.at for run in runs if run.is_crash and SHARED_PART_NAME in run.request)
    if len(exit_times) <= BOUND_EXITS:
        return
    known_at = exit_times[BOUND_EXITS - 1] + PROPAGATION_SECONDS
    fault_times = sorted(event.at for event in observations.fault_events)
    late = [at for at in exit_times if at > known_at and is_settled(at, fault_times)]
    if len(late) > MAX_FURTHER_EXITS:
        yield f"{len(late)} more engines exited on one part, {len(exit_times)} in all"
