"""Callers that keep their connections until the process behind them is gone."""

import http.client
import itertools
import random
from threading import Event, Thread
from typing import Final

from damsonlane_bench.registered._target import DEADLY
from damsonlane_bench.routes import CALLER_KEY, RoutesFleet
from damsonlane_bench.soak._observations import Answer, ReadBack, RunJournal

#: Seconds for which a caller waits for an answer.
_PATIENCE: Final = 6.0
#: Seconds between two requests of one caller.
_PAUSE: Final = 0.05
#: Seconds between two tries of the deadly request.
_DEADLY_PAUSE: Final = 0.25
#: Seconds between two changes of the document.
_CHANGE_PAUSE: Final = 0.8
#: Routes that callers draw from.
_ROUTES: Final = ("ping", "refund", "refund", "chat")


class Caller:
    """One caller: a thread that sends one request after the other.

    Args:
        fleet: whom it calls.
        journal: takes what it gets.
        name: begins the ids of its requests.
        seed: what it draws from.
        is_deadly: whether it sends the one request that no target survives, again and again.
    """

    def __init__(
        self,
        fleet: RoutesFleet,
        journal: RunJournal,
        name: str,
        seed: int,
        *,
        is_deadly: bool = False,
    ) -> None:
        self._fleet: Final = fleet
        self._journal: Final = journal
        self._name: Final = name
        self._randomness: Final = random.Random(seed)
        self._is_deadly: Final = is_deadly
        self._numbers: Final = itertools.count()
        self._connections: Final[dict[str, http.client.HTTPConnection]] = {}
        self._stopped: Final = Event()
        self._thread: Final = Thread(target=self._run, name=name)

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """Send no more, and wait for the last answer."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        pause = _DEADLY_PAUSE if self._is_deadly else _PAUSE
        while not self._stopped.wait(pause):
            route = "ping" if self._is_deadly else self._randomness.choice(_ROUTES)
            entry = self._randomness.choice(self._fleet.entries)
            self._journal.note_answer(self._call(entry, route))
        for connection in self._connections.values():
            connection.close()

    def _call(self, entry: str, route: str) -> Answer:
        """Send a request on the connection that is kept to an entry."""
        request = f"{route}-{self._name}-{next(self._numbers)}@{entry}"
        body = DEADLY if self._is_deadly else f"of {request}"
        headers = {
            "Host": "shop.example",
            "Authorization": f"Bearer {CALLER_KEY}",
            "Damsonlane-Request-Id": request,
            "Damsonlane-Deadline-Ms": "4000",
        }
        if route == "chat":
            headers |= {"Damsonlane-Pieces": "1,1", "Damsonlane-Material-Key": "soak"}
        connection = self._connections.get(entry) or self._connect(entry)
        status, data, is_whole = 0, b"", False
        try:
            connection.request("POST", f"/{route}/a", body=body.encode(), headers=headers)
            response = connection.getresponse()
            status = response.status
            data = response.read()
            is_whole = True
        except http.client.IncompleteRead as error:
            data = error.partial
        except (OSError, http.client.HTTPException):
            pass
        if not is_whole:
            connection.close()
            self._connections.pop(entry, None)
        return Answer(
            request=request, route=route, status=status, is_whole=is_whole, body=data.decode()
        )

    def _connect(self, entry: str) -> http.client.HTTPConnection:
        address = self._fleet.addresses[f"{entry}/front"]
        connection = http.client.HTTPConnection(address, timeout=_PATIENCE)
        self._connections[entry] = connection
        return connection


class OperatorThread:
    """Changes the document and reads it back, at any replica."""

    def __init__(self, fleet: RoutesFleet, journal: RunJournal, seed: int) -> None:
        self._fleet: Final = fleet
        self._journal: Final = journal
        self._randomness: Final = random.Random(seed)
        self._stopped: Final = Event()
        self._thread: Final = Thread(target=self._run, name="operator")
        #: Newest version that was acknowledged.
        self.acknowledged = 1

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        for version in itertools.count(2):
            if self._stopped.wait(_CHANGE_PAUSE):
                return
            if self._fleet.try_document(version):
                self.acknowledged = version
            control = self._randomness.choice(self._fleet.controls)
            acknowledged = self.acknowledged
            answered = self._read(control)
            if answered > 0:
                read = ReadBack(acknowledged=acknowledged, answered=answered)
                self._journal.note_read_back(read)

    def _read(self, control: str) -> int:
        """Return the version that a replica answers with; 0 where it gives none."""
        try:
            return self._fleet.read_version(control)
        except (OSError, http.client.HTTPException, ValueError):
            return 0
