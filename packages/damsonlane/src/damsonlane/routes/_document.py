"""The routing document: routes, services, organisations and limits under one version."""

from dataclasses import dataclass
from typing import Literal

#: What may be done again with a request of a route: anything, nothing once it
#: may have run, or (for event streams) nothing unless the route is resumable.
Repeat = Literal["safe", "once", "stream"]


@dataclass(frozen=True, kw_only=True)
class WeightedService:
    """A service that gets a share of a route's requests."""

    #: Name of the service.
    service: str
    #: Its share, relative to the other weights of the route.
    weight: float


@dataclass(frozen=True, kw_only=True)
class Stage:
    """Work that must be done in a stage pool before a request may run."""

    #: Service whose targets form the pool.
    service: str
    #: Indexes of the stages whose results it needs.
    after: tuple[int, ...] = ()
    #: Approximate size of one result, in bytes.
    result_bytes: int = 0


@dataclass(frozen=True, kw_only=True)
class Route:
    """Where requests of a host and path prefix go, and within which bounds."""

    #: Name, for logs and metrics.
    name: str
    #: Host header that it serves, in lower case.
    host: str
    #: Beginning of the path; starts and ends with a slash.
    prefix: str
    #: What may be done again.
    repeat: Repeat
    #: Longest time for which a request may be held, in seconds.
    timeout_seconds: float
    #: Time within which an answer is in aim, in seconds.
    aim_seconds: float
    #: Rank; 0 is the most urgent.
    priority: int
    #: Services with their weights; never empty.
    services: tuple[WeightedService, ...]
    #: Most targets to which one request may be sent.
    most_targets: int = 1
    #: Stages in order; empty for a plain request.
    stages: tuple[Stage, ...] = ()
    #: Whether it may be called without a key.
    is_public: bool = False
    #: Whether an event stream may be taken up at another target.
    is_resumable: bool = False
    #: Longest pause between two events that is still in aim, in seconds; 0 when untold.
    pause_seconds: float = 0.0

    def is_repeatable(self) -> bool:
        """Tell whether a request that may have run may be sent once more."""
        return self.repeat == "safe" or (self.repeat == "stream" and self.is_resumable)


@dataclass(frozen=True, kw_only=True)
class EngineTraits:
    """What a service of model engines can do."""

    #: Requests that one engine runs at once.
    slots: int
    #: Tokens that its memory holds, running requests and kept prefixes together.
    cache_tokens: int
    #: Size of one token in its memory, in bytes.
    token_bytes: int = 0
    #: Speed of its link to other engines, in bytes a second; 0 where engines can't take
    #: from each other what they keep.
    link_speed: float = 0.0


@dataclass(frozen=True, kw_only=True)
class PoolTraits:
    """What the targets of a stage pool can do."""

    #: Calls that one target works on at once.
    slots: int
    #: Calls that may wait there.
    queue: int
    #: Most pieces in one call.
    batch: int
    #: Time that a call takes besides its pieces, in seconds.
    call_seconds: float
    #: Approximate time of one piece, in seconds.
    piece_seconds: float
    #: Room for results at one target, in bytes.
    room_bytes: int
    #: Time for which a target keeps a result, in seconds.
    keep_seconds: float


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of targets that do the same work."""

    #: Name of the service.
    name: str
    #: Connections that one target takes from all boxes together.
    most_connections: int
    #: Requests a second that one of its targets bears while it is cold; 0 where none turn cold.
    cold_rate: float = 0.0
    #: Seconds for which a target stays cold after it has started, as far as is known before
    #: it says so.
    cold_start_seconds: float = 0.0
    #: Set for model engines.
    engine: EngineTraits | None = None
    #: Set for stage pools.
    pool: PoolTraits | None = None


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    #: Largest head of a request, in bytes.
    header_bytes: int = 16_384
    #: Largest body, in bytes.
    body_bytes: int = 4 * 2**20
    #: Time within which a head must be there, in seconds.
    header_seconds: float = 3.0
    #: Time for which an idle connection is kept, in seconds.
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer and its keys."""

    #: Its name.
    name: str
    #: Keys that its callers show.
    keys: tuple[str, ...]
    #: Rank; 0 is the most urgent, and it comes before a route's priority.
    priority: int = 0


@dataclass(frozen=True, kw_only=True)
class RoutingDocument:
    """Everything by which an entry serves, as one whole."""

    #: Its version; the highest one holds.
    version: int
    #: All routes.
    routes: tuple[Route, ...] = ()
    #: All services.
    services: tuple[Service, ...] = ()
    #: Bounds for callers.
    limits: CallerLimits = CallerLimits()
    #: Customers; without any, keys are not asked for.
    organisations: tuple[Organisation, ...] = ()
