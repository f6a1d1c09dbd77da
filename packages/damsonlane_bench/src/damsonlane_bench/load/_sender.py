"""Send arrivals at their planned times, whether or not earlier ones have completed."""

import json
import multiprocessing
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Final, Literal

import urllib3

from damsonlane_bench.load._plan import Arrival

#: Number of processes that send.
_PROCESSES: Final = 3
#: Requests that may be in flight at the same time in each of them.
_THREADS: Final = 400
#: Time for the processes to start, in seconds.
_START_SECONDS: Final = 2.0
#: Time after the deadline until the client times out, in seconds.
_GRACE_SECONDS: Final = 5.0

#: Answered in time or late; refused with the guarantee that it has not run; refused without it; no
#: valid response.
OutcomeKind = Literal["answered", "late", "not-run", "unknown", "broken"]


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """Outcome of one request, as its caller saw it."""

    #: The arrival.
    arrival: Arrival
    #: Kind of the outcome.
    kind: OutcomeKind
    #: Seconds from its planned time to its completion.
    seconds: float
    #: Its idempotency key, or an empty string.
    key: str
    #: Id that the system gave it, or an empty string.
    request: str


def send_arrivals(
    arrivals: Sequence[Arrival],
    entries: Sequence[str],
    run: str,
    at_start: Callable[[], None] = lambda: None,
) -> tuple[Outcome, ...]:
    """Send all arrivals, to the entries in turn, and return their outcomes in the same order.

    Several processes send, so that the client itself does not delay requests.

    Args:
        arrivals: planned requests, sorted by time.
        entries: addresses of the entries for callers.
        run: prefix of the idempotency keys of this run.
        at_start: called when the plan starts.
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
    request_class = arrival.request_class
    key = f"{run}-{arrival.number}" if request_class.is_at_most_once else ""
    headers = {
        "Authorization": f"Bearer {request_class.token}",
        "Damsonlane-Deadline-Ms": str(request_class.deadline_ms),
    }
    if key:
        headers |= {"Idempotency-Key": key, "Damsonlane-Resend": "no"}
    text = f"{arrival.number} " + "statement hearing refund " * (request_class.length // 25)
    try:
        response = pool.request(
            "POST",
            f"http://{entry}/v1/pipelines/{request_class.pipeline}",
            body=json.dumps({"input": text}),
            headers=headers,
            timeout=request_class.deadline_ms / 1000 + _GRACE_SECONDS,
        )
        body = json.loads(response.data)
        status = response.status
    except (urllib3.exceptions.HTTPError, ValueError):
        body, status = {}, 0
    seconds = time.monotonic() - start - arrival.at
    return Outcome(
        arrival=arrival,
        kind=_classify(status, body, seconds, request_class.deadline_ms / 1000),
        seconds=seconds,
        key=key,
        request=str(body.get("request", "")),
    )


def _classify(status: int, body: dict[str, object], seconds: float, deadline: float) -> OutcomeKind:
    if status == 200:
        return "answered" if seconds <= deadline else "late"
    if status == 0 or "run" not in body:
        return "broken"
    return "not-run" if body["run"] == "no" else "unknown"
