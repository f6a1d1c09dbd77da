"""Threads that send requests to entries, and that change and read the routing document."""

import http.client
import itertools
import random
import time
from collections.abc import Sequence
from threading import Event, Thread
from typing import Final

from damsonlane_bench.registered_target._crashes import CRASH_INPUT
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.soak._observations import CallerResponse, Observations, VersionRead
from damsonlane_bench.soak._parts import ORGANISATIONS

#: Seconds for which a caller waits for a response.
_TIMEOUT_SECONDS: Final = 6.0
#: Pause between two requests of one caller, in seconds.
_PAUSE_SECONDS: Final = 0.05
#: Pause between two attempts of the crash request, in seconds.
_CRASH_PAUSE_SECONDS: Final = 0.25
#: Pause between two changes of the routing document, in seconds.
_CHANGE_PAUSE_SECONDS: Final = 0.8
#: Routes that callers draw from.
_ROUTES: Final = ("ping", "refund", "refund", "chat")
#: Routes whose requests have stages.
_STAGED_ROUTES: Final = ("chat", "note")


class Caller:
    """Thread that sends one request after the other on persistent connections.

    Args:
        fleet: whose entries it calls.
        observations: records the responses.
        name: part of the ids of its requests.
        seed: seed of its random choices.
        organisation: organisation that it belongs to.
        sends_crash_request: whether it repeatedly sends the one request on which targets exit.
        routes: routes that it draws from.
    """

    def __init__(
        self,
        fleet: RoutesFleet,
        observations: Observations,
        name: str,
        seed: int,
        *,
        organisation: str = "florists",
        sends_crash_request: bool = False,
        routes: Sequence[str] = _ROUTES,
    ) -> None:
        self._routes: Final = routes
        self._fleet: Final = fleet
        self._observations: Final = observations
        self._name: Final = name
        self._randomness: Final = random.Random(seed)
        self._organisation: Final = organisation
        self._sends_crash_request: Final = sends_crash_request
        self._numbers: Final = itertools.count()
        self._connections: Final[dict[str, http.client.HTTPConnection]] = {}
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
        pause = _CRASH_PAUSE_SECONDS if self._sends_crash_request else _PAUSE_SECONDS
        while not self._stopped.wait(pause):
            route = "ping" if self._sends_crash_request else self._randomness.choice(self._routes)
            entry = self._randomness.choice(self._fleet.entries)
            self._observations.record_response(self._call(entry, route))
        for connection in self._connections.values():
            connection.close()

    def _call(self, entry: str, route: str) -> CallerResponse:
        """Send a request on the persistent connection to an entry."""
        request = f"{route}-{self._name}-{next(self._numbers)}@{entry}"
        body = CRASH_INPUT if self._sends_crash_request else f"of {request}"
        headers = {
            "Host": "shop.example",
            "Authorization": f"Bearer {ORGANISATIONS[self._organisation]}",
            "Damsonlane-Request-Id": request,
            "Damsonlane-Deadline-Ms": "4000",
        }
        if route in _STAGED_ROUTES:
            headers |= {"Damsonlane-Pieces": "1,1", "Damsonlane-Material-Key": "soak"}
        connection = self._connections.get(entry) or self._connect(entry)
        status, data, is_complete = 0, b"", False
        began_at = time.monotonic()
        try:
            connection.request("POST", f"/{route}/a", body=body.encode(), headers=headers)
            response = connection.getresponse()
            status = response.status
            data = response.read()
            is_complete = True
        except http.client.IncompleteRead as error:
            data = error.partial
        except (OSError, http.client.HTTPException):
            pass
        if not is_complete:
            connection.close()
            self._connections.pop(entry, None)
        return CallerResponse(
            request=request,
            route=route,
            status=status,
            is_complete=is_complete,
            body=data.decode(),
            seconds=time.monotonic() - began_at,
            at=time.time(),
            organisation="" if self._sends_crash_request else self._organisation,
        )

    def _connect(self, entry: str) -> http.client.HTTPConnection:
        address = self._fleet.addresses[f"{entry}/front"]
        connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
        self._connections[entry] = connection
        return connection


class OperatorThread:
    """Thread that changes the routing document and reads it back from random control replicas."""

    def __init__(self, fleet: RoutesFleet, observations: Observations, seed: int) -> None:
        self._fleet: Final = fleet
        self._observations: Final = observations
        self._randomness: Final = random.Random(seed)
        self._stopped: Final = Event()
        self._thread: Final = Thread(target=self._run, name="operator")
        #: Newest version that was acknowledged.
        self.acknowledged = 1

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        for version in itertools.count(2):
            if self._stopped.wait(_CHANGE_PAUSE_SECONDS):
                return
            if self._fleet.try_document(version):
                self.acknowledged = version
            control = self._randomness.choice(self._fleet.controls)
            acknowledged = self.acknowledged
            returned = self._read_version(control)
            if returned > 0:
                version_read = VersionRead(acknowledged=acknowledged, returned=returned)
                self._observations.record_version_read(version_read)

    def _read_version(self, control: str) -> int:
        """Return the version that a control replica returns; 0 if it returns none."""
        try:
            return self._fleet.read_version(control)
        except (OSError, http.client.HTTPException, ValueError):
            return 0
