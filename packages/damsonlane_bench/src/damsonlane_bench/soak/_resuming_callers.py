"""Callers that break streams off and resume them elsewhere, and the check of versions."""

import http.client
import itertools
import random
from collections.abc import Iterator, Sequence
from threading import Event, Thread
from typing import Final

from damsonlane_bench.registered_target._events import list_versions, strip_versions
from damsonlane_bench.routes_document import CALLER_KEY
from damsonlane_bench.routes_fleet import RoutesFleet
from damsonlane_bench.soak._checks import COMPLETE_STREAM
from damsonlane_bench.soak._guarantees import guarantee
from damsonlane_bench.soak._observations import Observations, ResumedStream, TargetRun

#: Number of these callers.
RESUMING_COUNT: Final = 3
#: Most attempts for one stream.
_MAX_ATTEMPTS: Final = 4
#: Events after which an attempt is broken off, at least and at most.
_MIN_EVENTS: Final = 1
_MAX_EVENTS: Final = 8
#: Pauses before the next attempt that are drawn, in seconds.
_PAUSES_SECONDS: Final = (0.0, 0.005, 0.2, 1.0)
_TIMEOUT_SECONDS: Final = 6.0


class ResumingCaller:
    """Thread that breaks off one stream after the other and resumes each at random entries.

    Args:
        fleet: whose entries it calls.
        observations: records the streams.
        name: part of the ids of its requests.
        seed: seed of its random choices.
    """

    def __init__(
        self, fleet: RoutesFleet, observations: Observations, name: str, seed: int
    ) -> None:
        self._fleet: Final = fleet
        self._observations: Final = observations
        self._name: Final = name
        self._randomness: Final = random.Random(f"{name} {seed}")
        self._stopped: Final = Event()
        self._thread: Final = Thread(target=self._run, name=name)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread once its last stream has ended."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        for number in itertools.count():
            if self._stopped.wait(0.1):
                return
            self._observations.record_resumed_stream(self._read_stream(f"{self._name}-{number}"))

    def _read_stream(self, name: str) -> ResumedStream:
        first, body, is_complete = "", "", False
        resumed = refused = refused_first = 0
        for attempt in range(_MAX_ATTEMPTS):
            entry = self._randomness.choice(self._fleet.entries)
            request = f"chat-{name}-{attempt}@{entry}"
            status, events, is_complete = self._attempt(
                entry, request, first, body.count("\n\n"), is_last=attempt == _MAX_ATTEMPTS - 1
            )
            if first:
                resumed += status == 200
                refused += status == 503
            elif events:
                first = request
            else:
                refused_first += status == 503
            body += events
            if is_complete or self._stopped.wait(self._randomness.choice(_PAUSES_SECONDS)):
                break
        return ResumedStream(
            request=first,
            body=body,
            is_complete=is_complete,
            resumed=resumed,
            refused=refused,
            refused_first=refused_first,
        )

    def _attempt(
        self, entry: str, request: str, first: str, seen: int, *, is_last: bool
    ) -> tuple[int, str, bool]:
        """Return the status, the whole events that came, and whether the stream ended normally."""
        headers = {
            "Host": "shop.example",
            "Authorization": f"Bearer {CALLER_KEY}",
            "Damsonlane-Request-Id": request,
            "Damsonlane-Deadline-Ms": "4000",
            "Damsonlane-Pieces": "1,1",
            "Damsonlane-Material-Key": "soak",
        }
        if first:
            headers |= {"Last-Event-Id": str(seen), "Damsonlane-Resumes": first}
        limit = COMPLETE_STREAM.count("\n\n") if is_last else self._draw_limit()
        address = self._fleet.addresses[f"{entry}/front"]
        connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
        status, body, is_complete = 0, b"", False
        try:
            connection.request("POST", "/chat/a", body=f"of {request}".encode(), headers=headers)
            response = connection.getresponse()
            status = response.status
            while status == 200 and (is_last or body.count(b"\n\n") < limit):
                chunk = response.read1(4096)
                body += chunk
                if not chunk:
                    is_complete = True
                    break
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        whole = body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""
        return status, whole.decode(), is_complete

    def _draw_limit(self) -> int:
        return self._randomness.randint(_MIN_EVENTS, _MAX_EVENTS)


@guarantee("a stream holds events of one version of its targets")
def _check_versions(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    for response in observations.responses:
        versions = list_versions(response.body)
        if len(versions) > 1:
            yield f"{response.request} has events of {sorted(versions)} in one answer"
    for stream in observations.resumed_streams:
        versions = list_versions(stream.body)
        if len(versions) > 1:
            yield f"{stream.request} has events of {sorted(versions)} over its attempts"


@guarantee("a stream that its caller resumes has each event once")
def _check_resumed_streams(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    for stream in observations.resumed_streams:
        body = strip_versions(stream.body)
        if not COMPLETE_STREAM.startswith(body):
            yield f"{stream.request} has missing or duplicate events: {body!r:.200}"
        elif stream.is_complete and stream.resumed and body != COMPLETE_STREAM:
            yield f"{stream.request} ended normally before its last event"
