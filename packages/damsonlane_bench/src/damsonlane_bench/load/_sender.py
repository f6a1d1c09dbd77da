"""Sending arrivals at their moments, whether or not earlier ones have ended."""

import json
import multiprocessing
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Final, Literal

import urllib3

from damsonlane_bench.load._plan import Arrival

#: Processes of the tool.
_PROCESSES: Final = 3
#: Requests that may be open at once in each of them.
_THREADS: Final = 400
#: Seconds that the processes get to start.
_START_SECONDS: Final = 2.0
#: Seconds beyond the deadline after which the tool itself gives up.
_GRACE: Final = 5.0

EndingKind = Literal["answered", "late", "not-run", "unknown", "broken"]


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How one request ended, as its caller saw it."""

    #: The arrival.
    arrival: Arrival
    #: How it ended.
    kind: EndingKind
    #: Seconds from its planned moment to its ending.
    seconds: float
    #: The idempotency key, or empty.
    key: str
    #: The request's identity, or empty.
    request: str


def send_arrivals(
    arrivals: Sequence[Arrival],
    entries: Sequence[str],
    run: str,
    at_start: Callable[[], None] = lambda: None,
) -> tuple[Outcome, ...]:
    """Send all arrivals, each through the entries in turn.

    Several processes share the work, so that the tool itself is no queue.

    Args:
        arrivals: what to send, sorted by time.
        entries: callers' addresses.
        run: prefix of this run's keys.
        at_start: called just before the first moment.
    """
    start = time.monotonic() + _START_SECONDS
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(_PROCESSES, mp_context=context) as processes:
        parts = [
            processes.submit(_send_part, tuple(arrivals[part::_PROCESSES]), entries, run, start)
            for part in range(_PROCESSES)
        ]
        time.sleep(max(0.0, start - time.monotonic()))
        at_start()
        outcomes = [outcome for part in parts for outcome in part.result()]
    return tuple(sorted(outcomes, key=lambda outcome: outcome.arrival.number))


def _send_part(
    arrivals: Sequence[Arrival], entries: Sequence[str], run: str, start: float
) -> tuple[Outcome, ...]:
    pool = urllib3.PoolManager(num_pools=len(entries), maxsize=_THREADS, retries=False)
    with ThreadPoolExecutor(_THREADS) as threads:
        futures = []
        for arrival in arrivals:
            time.sleep(max(0.0, start + arrival.at - time.monotonic()))
            entry = entries[arrival.number % len(entries)]
            futures.append(threads.submit(_send, pool, entry, arrival, start, run))
        return tuple(future.result() for future in futures)


def _send(
    pool: urllib3.PoolManager, entry: str, arrival: Arrival, start: float, run: str
) -> Outcome:
    wanted = arrival.request_class
    key = f"{run}-{arrival.number}" if wanted.is_marked else ""
    headers = {
        "Authorization": f"Bearer {wanted.token}",
        "Damsonlane-Deadline-Ms": str(wanted.deadline_ms),
    }
    if key:
        headers |= {"Idempotency-Key": key, "Damsonlane-Resend": "no"}
    text = f"{arrival.number} " + "statement hearing refund " * (wanted.length // 25)
    try:
        response = pool.request(
            "POST",
            f"http://{entry}/v1/pipelines/{wanted.pipeline}",
            body=json.dumps({"input": text}),
            headers=headers,
            timeout=wanted.deadline_ms / 1000 + _GRACE,
        )
        body = json.loads(response.data)
        status = response.status
    except (urllib3.exceptions.HTTPError, ValueError):
        body, status = {}, 0
    seconds = time.monotonic() - start - arrival.at
    return Outcome(
        arrival=arrival,
        kind=_judge(status, body, seconds, wanted.deadline_ms / 1000),
        seconds=seconds,
        key=key,
        request=str(body.get("request", "")),
    )


def _judge(status: int, body: dict[str, object], seconds: float, deadline: float) -> EndingKind:
    if status == 200:
        return "answered" if seconds <= deadline else "late"
    if status == 0 or "run" not in body:
        return "broken"
    return "not-run" if body["run"] == "no" else "unknown"
