"""``damsonlane report bound``: how many requests could have met their latency objective.

Compares what was served, by the logs of all entries, with the best plan of a scheduler that
knows all arrivals in advance.  A small difference means that pools need more targets, a large
one that the scheduling of their work can be improved.

The plan is the solution of a linear program, and optimistic: targets run full calls all the
time; result memory, transfers between data centres and engines cost nothing; requests may be
served in part.  Only the mix of pieces is taken from the logs, so the plan is too low where the
full calls of a pool held larger pieces than usual.
"""

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Any, Final

from damsonlane_cli._context import EXIT_INPUT, fail
from damsonlane_cli._losses import (
    RESPONSE_TRANSFER_SECONDS,
    classify_outcome,
    read_line,
    read_texts,
)

#: Length of the time slots of the plan, in seconds; no call of a pool is shorter than 0.2 s.
SLOT_SECONDS: Final = 0.25
#: A call counts as full from this share of the pieces of its pool's largest call on.
FULL_CALL_SHARE: Final = 0.9
#: Ratio of the weights of two requests whose priorities are one level apart.
PRIORITY_WEIGHT: Final = 4.0
#: A target is assumed to run during an interval if one of its calls completed within this many
#: seconds before or after it.
PRESENCE_SECONDS: Final = 2.0


@dataclass(frozen=True, kw_only=True)
class LoggedRequest:
    """A request as its entry logged it; retries of its caller are left out."""

    #: Its route.
    route: str
    #: Its priority; 0 is the highest.
    priority: int
    #: When it arrived, in seconds since 1970.
    arrived_at: float
    #: Number of pieces of each of its stages.
    pieces: tuple[int, ...]
    #: Whether it met its latency objective.
    met_objective: bool


@dataclass(frozen=True, kw_only=True)
class PoolCall:
    """A call to a target of a pool."""

    #: Service that the target belongs to.
    service: str
    #: Name of the target.
    target: str
    #: When it completed, in seconds since 1970.
    completed_at: float
    #: Number of pieces computed.
    pieces: int
    #: Its duration, in seconds.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class FleetLog:
    """What the logs of all entries contain about requests with stages and pools."""

    #: Requests with stages, in no particular order.
    requests: tuple[LoggedRequest, ...]
    #: Calls to targets of pools.
    calls: tuple[PoolCall, ...]
    #: Service of each stage, by route and index.
    services: Mapping[tuple[str, int], str]
    #: Latency objective of each route, in seconds.
    objectives: Mapping[str, float]


def read_fleet_log(texts: Iterable[str]) -> FleetLog:
    """Parse log lines; lines about anything but requests with stages and pools are ignored."""
    accepted: dict[str, dict[str, Any]] = {}
    ended: dict[str, dict[str, Any]] = {}
    calls: list[PoolCall] = []
    services: dict[tuple[str, int], str] = {}
    for text in texts:
        line = read_line(text)
        message = line.get("message")
        if message == "accepted" and line.get("pieces") and not line.get("waited_ms"):
            accepted[str(line["request"])] = line
        elif message == "ended":
            ended[str(line.get("request", ""))] = line
        elif message == "stage made":
            services[(str(line["route"]), int(line["stage"]))] = str(line["service"])
        elif message == "batch ended":
            calls.append(_parse_call(line))
    requests = [_parse_request(line, ended.get(name, {})) for name, line in accepted.items()]
    return FleetLog(
        requests=tuple(requests),
        calls=tuple(calls),
        services=services,
        objectives=_find_objectives(ended),
    )


def report_bound(files: Sequence[str]) -> list[dict[str, object]]:
    """Return a row for each route and priority: requests that met their objective, and the bound.

    Args:
        files: the logs of all entries; standard input if there are none.
    """
    log = read_fleet_log(read_texts(files))
    if not log.requests or not log.calls:
        fail("no requests with stages in these logs; give the logs of all entries", EXIT_INPUT)
    shares = find_best_shares(log)
    keys = [(request.priority, request.route) for request in log.requests]
    best: dict[tuple[int, str], float] = defaultdict(float)
    for key, share in zip(keys, shares, strict=True):
        best[key] += share
    served = Counter((r.priority, r.route) for r in log.requests if r.met_objective)
    return [
        {
            "rank": priority,
            "route": route,
            "requests": count,
            "in_aim": served[(priority, route)],
            "best": round(best[(priority, route)], 1),
            "distance": round((best[(priority, route)] - served[(priority, route)]) / count, 4),
        }
        for (priority, route), count in sorted(Counter(keys).items())
    ]


def find_best_shares(log: FleetLog) -> Sequence[float]:
    """Return which share of each request the best plan serves within its latency objective.

    The constraints: for each pool and each interval of slots, the pieces that arrive after its
    start and whose objective passes before its end are at most as many as the pool computes in
    between.
    """
    # Imported here, since it is slow to import and no other command needs it.
    from scipy.optimize import linprog  # type: ignore[import-untyped]
    from scipy.sparse import csr_matrix  # type: ignore[import-untyped]

    rows, columns, values, limits = _make_constraints(log)
    weights = [-(PRIORITY_WEIGHT**-request.priority) for request in log.requests]
    matrix = csr_matrix((values, (rows, columns)), shape=(len(limits), len(weights)))
    solved = linprog(weights, A_ub=matrix, b_ub=limits, bounds=(0.0, 1.0), method="highs")
    if not solved.success:
        fail(f"the linear program of the bound was not solved: {solved.message}", EXIT_INPUT)
    return [float(share) for share in solved.x]


def _make_constraints(
    log: FleetLog,
) -> tuple[list[int], list[int], list[float], list[float]]:
    """Return the matrix of the linear program, as rows, columns and values, and its limits."""
    pools = _PoolRates(log.calls)
    columns_of: dict[str, list[tuple[int, int, int, float]]] = defaultdict(list)
    for column, request in enumerate(log.requests):
        start = int(request.arrived_at // SLOT_SECONDS)
        objective = log.objectives.get(request.route, 0.0) - RESPONSE_TRANSFER_SECONDS
        end = int(-(-(request.arrived_at + objective) // SLOT_SECONDS))
        for service, pieces in _count_pieces(request, log.services).items():
            columns_of[service].append((column, start, end, float(pieces)))
    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    limits: list[float] = []
    for service, needs in columns_of.items():
        for start in {need[1] for need in needs}:
            for end in {need[2] for need in needs if need[1] >= start}:
                inside = [need for need in needs if need[1] >= start and need[2] <= end]
                limit = pools.max_pieces(service, start * SLOT_SECONDS, end * SLOT_SECONDS)
                if sum(need[3] for need in inside) <= limit:
                    continue
                rows.extend([len(limits)] * len(inside))
                columns.extend(need[0] for need in inside)
                values.extend(need[3] for need in inside)
                limits.append(limit)
    return rows, columns, values, limits


class _PoolRates:
    """The throughput of each pool, by its full calls and the targets that were running.

    Args:
        calls: all calls of all pools.
    """

    def __init__(self, calls: Sequence[PoolCall]) -> None:
        self._rates: Final[dict[str, float]] = {}
        self._completions: Final[dict[str, dict[str, list[float]]]] = {}
        for service in {call.service for call in calls}:
            own_calls = [call for call in calls if call.service == service and call.seconds > 0]
            largest = max((call.pieces for call in own_calls), default=0)
            full = [call for call in own_calls if call.pieces >= FULL_CALL_SHARE * largest]
            seconds = sum(call.seconds for call in full)
            self._rates[service] = sum(call.pieces for call in full) / seconds if full else 0.0
            completions: dict[str, list[float]] = defaultdict(list)
            for call in own_calls:
                completions[call.target].append(call.completed_at)
            self._completions[service] = completions

    def max_pieces(self, service: str, start: float, end: float) -> float:
        """Return the most pieces that a pool computes between two times, in seconds since 1970."""
        completions = self._completions.get(service, {})
        running_targets = sum(
            any(start - PRESENCE_SECONDS <= at <= end + PRESENCE_SECONDS for at in times)
            for times in completions.values()
        )
        return running_targets * self._rates.get(service, 0.0) * (end - start)


def _count_pieces(
    request: LoggedRequest, services: Mapping[tuple[str, int], str]
) -> Mapping[str, int]:
    """Return the number of pieces that a request needs from each pool."""
    pieces: Counter[str] = Counter()
    for stage, count in enumerate(request.pieces):
        service = services.get((request.route, stage))
        if service is not None and count:
            pieces[service] += count
    return pieces


def _find_objectives(ended: Mapping[str, Mapping[str, Any]]) -> Mapping[str, float]:
    """Return the median latency objective of the requests of each route, in seconds."""
    objectives: dict[str, list[float]] = defaultdict(list)
    for line in ended.values():
        objectives[str(line.get("route", ""))].append(float(line.get("aim_seconds", 0.0)))
    return {route: statistics.median(seconds) for route, seconds in objectives.items()}


def _parse_request(accepted: dict[str, Any], ended: dict[str, Any]) -> LoggedRequest:
    return LoggedRequest(
        route=str(accepted["route"]),
        priority=int(accepted["rank"]),
        arrived_at=_parse_time(accepted),
        pieces=tuple(int(count) for count in accepted["pieces"]),
        met_objective=classify_outcome(accepted, ended) == "in aim",
    )


def _parse_call(line: Mapping[str, Any]) -> PoolCall:
    return PoolCall(
        service=str(line["service"]),
        target=str(line["target"]),
        completed_at=_parse_time(line),
        pieces=int(line["made"]),
        seconds=float(line["seconds"]),
    )


def _parse_time(line: Mapping[str, Any]) -> float:
    """Return when a line was logged, by the clock of its box, in seconds since 1970."""
    text = str(line["time"]).replace(",", ".")
    return datetime.fromisoformat(text).timestamp()
