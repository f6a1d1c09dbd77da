"""``damsonlane report bound``: what could have been served in aim, from entries' logs.

Tells whether to add targets to a pool or to look at how work is chosen: a plan that knows all
arrivals in advance is compared with what was served.  The plan is a linear program.  It errs
to the bright side: targets make full calls all the time; room for results, the way between
data centres and engines count as free; requests may be served in part.  Only the mix of
pieces is taken as it was, so more could be made where a pool's full calls held larger ones
than usual.
"""

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Any, Final

from damsonlane_cli._context import EXIT_INPUT, fail
from damsonlane_cli._losses import RETURN_SECONDS, name_step, read_line, read_texts

#: Grain of time, in seconds: a call of a pool takes 0.2 s and more.
SLOT_SECONDS: Final = 0.25
#: Share of the pieces of a pool's largest call from which on a call counts as full.
FULL_SHARE: Final = 0.9
#: By how much a request counts more than one of the rank after it.
RANK_WEIGHT: Final = 4.0
#: Seconds around a moment in which a target that ended a call is reckoned to work.
PRESENT_SECONDS: Final = 2.0


@dataclass(frozen=True, kw_only=True)
class Demand:
    """One request at its first try, as its entry logged it."""

    #: Its route.
    route: str
    #: Its rank; 0 comes first.
    rank: int
    #: When it arrived, in seconds since 1970.
    arrived_at: float
    #: Pieces of each of its stages.
    pieces: tuple[int, ...]
    #: Whether it was served in aim.
    is_in_aim: bool


@dataclass(frozen=True, kw_only=True)
class PoolCall:
    """One call of a pool's target."""

    #: Service that the target belongs to.
    service: str
    #: Name of the target.
    target: str
    #: When it ended, in seconds since 1970.
    ended_at: float
    #: Pieces made.
    made: int
    #: How long it took, in seconds.
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Record:
    """What the logs of all entries tell."""

    #: Requests with stages, in no order.
    demands: tuple[Demand, ...]
    #: Calls of pools' targets.
    calls: tuple[PoolCall, ...]
    #: Service of each stage, by route and index.
    services: Mapping[tuple[str, int], str]
    #: Seconds within which each route's requests are in aim.
    aims: Mapping[str, float]


def read_record(texts: Iterable[str]) -> Record:
    """Return what logs tell of requests with stages and of pools; other lines are passed over."""
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
            calls.append(_read_call(line))
    demands = [_read_demand(line, ended.get(name, {})) for name, line in accepted.items()]
    return Record(
        demands=tuple(demands), calls=tuple(calls), services=services, aims=_find_aims(ended)
    )


def count_bound(files: Sequence[str]) -> list[dict[str, object]]:
    """Return a row for each route and rank: served in aim, and what could have been.

    Args:
        files: the logs of all entries; standard input when none is named.
    """
    record = read_record(read_texts(files))
    if not record.demands or not record.calls:
        fail("no line tells of a request with stages; give the logs of all entries", EXIT_INPUT)
    shares = find_best_shares(record)
    keys = [(demand.rank, demand.route) for demand in record.demands]
    best: dict[tuple[int, str], float] = defaultdict(float)
    for key, share in zip(keys, shares, strict=True):
        best[key] += share
    served = Counter((d.rank, d.route) for d in record.demands if d.is_in_aim)
    return [
        {
            "rank": rank,
            "route": route,
            "requests": count,
            "in_aim": served[(rank, route)],
            "best": round(best[(rank, route)], 1),
            "distance": round((best[(rank, route)] - served[(rank, route)]) / count, 4),
        }
        for (rank, route), count in sorted(Counter(keys).items())
    ]


def find_best_shares(record: Record) -> Sequence[float]:
    """Return which part of each request the best plan serves in aim.

    For each pool and each time between two slots, what arrives after the start and must be
    made by the end is no more than the pool makes between them.
    """
    # Imported here, since no other command needs it and it takes half a second.
    from scipy.optimize import linprog  # type: ignore[import-untyped]
    from scipy.sparse import csr_matrix  # type: ignore[import-untyped]

    rows, columns, values, limits = _make_constraints(record)
    weights = [-(RANK_WEIGHT**-demand.rank) for demand in record.demands]
    matrix = csr_matrix((values, (rows, columns)), shape=(len(limits), len(weights)))
    solved = linprog(weights, A_ub=matrix, b_ub=limits, bounds=(0.0, 1.0), method="highs")
    if not solved.success:
        fail(f"the best plan was not found: {solved.message}", EXIT_INPUT)
    return [float(share) for share in solved.x]


def _make_constraints(
    record: Record,
) -> tuple[list[int], list[int], list[float], list[float]]:
    """Return the program's matrix, by rows, columns and values, and its limits."""
    pools = _PoolRates(record.calls)
    columns_of: dict[str, list[tuple[int, int, int, float]]] = defaultdict(list)
    for column, demand in enumerate(record.demands):
        start = int(demand.arrived_at // SLOT_SECONDS)
        aim = record.aims.get(demand.route, 0.0) - RETURN_SECONDS
        end = int(-(-(demand.arrived_at + aim) // SLOT_SECONDS))
        for service, pieces in _count_pieces(demand, record.services).items():
            columns_of[service].append((column, start, end, float(pieces)))
    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    limits: list[float] = []
    for service, wanted in columns_of.items():
        for start in {item[1] for item in wanted}:
            for end in {item[2] for item in wanted if item[1] >= start}:
                inside = [item for item in wanted if item[1] >= start and item[2] <= end]
                limit = pools.count_made(service, start * SLOT_SECONDS, end * SLOT_SECONDS)
                if sum(item[3] for item in inside) <= limit:
                    continue
                rows.extend([len(limits)] * len(inside))
                columns.extend(item[0] for item in inside)
                values.extend(item[3] for item in inside)
                limits.append(limit)
    return rows, columns, values, limits


class _PoolRates:
    """How much each pool makes, by its full calls and the targets that were there.

    Args:
        calls: all calls of all pools.
    """

    def __init__(self, calls: Sequence[PoolCall]) -> None:
        self._rates: Final[dict[str, float]] = {}
        self._ends: Final[dict[str, dict[str, list[float]]]] = {}
        for service in {call.service for call in calls}:
            own = [call for call in calls if call.service == service and call.seconds > 0]
            most = max((call.made for call in own), default=0)
            full = [call for call in own if call.made >= FULL_SHARE * most]
            seconds = sum(call.seconds for call in full)
            self._rates[service] = sum(call.made for call in full) / seconds if full else 0.0
            ends: dict[str, list[float]] = defaultdict(list)
            for call in own:
                ends[call.target].append(call.ended_at)
            self._ends[service] = ends

    def count_made(self, service: str, start: float, end: float) -> float:
        """Return the most pieces that a pool makes between two times."""
        ends = self._ends.get(service, {})
        present = sum(
            any(start - PRESENT_SECONDS <= at <= end + PRESENT_SECONDS for at in times)
            for times in ends.values()
        )
        return present * self._rates.get(service, 0.0) * (end - start)


def _count_pieces(demand: Demand, services: Mapping[tuple[str, int], str]) -> Mapping[str, int]:
    """Return the pieces that a request needs of each pool."""
    pieces: Counter[str] = Counter()
    for stage, count in enumerate(demand.pieces):
        service = services.get((demand.route, stage))
        if service is not None and count:
            pieces[service] += count
    return pieces


def _find_aims(ended: Mapping[str, Mapping[str, Any]]) -> Mapping[str, float]:
    """Return the usual aim of each route, in seconds."""
    aims: dict[str, list[float]] = defaultdict(list)
    for line in ended.values():
        aims[str(line.get("route", ""))].append(float(line.get("aim_seconds", 0.0)))
    return {route: statistics.median(seconds) for route, seconds in aims.items()}


def _read_demand(accepted: dict[str, Any], ended: dict[str, Any]) -> Demand:
    return Demand(
        route=str(accepted["route"]),
        rank=int(accepted["rank"]),
        arrived_at=_read_time(accepted),
        pieces=tuple(int(count) for count in accepted["pieces"]),
        is_in_aim=name_step(accepted, ended) == "in aim",
    )


def _read_call(line: Mapping[str, Any]) -> PoolCall:
    return PoolCall(
        service=str(line["service"]),
        target=str(line["target"]),
        ended_at=_read_time(line),
        made=int(line["made"]),
        seconds=float(line["seconds"]),
    )


def _read_time(line: Mapping[str, Any]) -> float:
    """Return when a line was logged, by the clock of its box, in seconds since 1970."""
    text = str(line["time"]).replace(",", ".")
    return datetime.fromisoformat(text).timestamp()
