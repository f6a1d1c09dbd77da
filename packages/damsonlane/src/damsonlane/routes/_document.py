"""The routing document: routes, services, organisations and limits with one version."""

from typing import Literal

from damsonlane.records import dataclass

#: Whether a request of a route may be retried: always (``safe``), not once it may have run
#: (``once``), or for event streams only if the route is resumable (``stream``).
RetryMode = Literal["safe", "once", "stream"]


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
    """The services and limits of requests with a host and a path prefix."""

    #: Name, for logs and metrics.
    name: str
    #: Host header that it matches, in lower case.
    host: str
    #: Prefix of the path; starts and ends with a slash.
    prefix: str
    #: Whether requests may be retried.
    repeat: RetryMode
    #: Time-out of a request, in seconds.
    timeout_seconds: float
    #: Latency objective of an answer, in seconds.
    aim_seconds: float
    #: Priority; 0 is the most urgent.
    priority: int
    #: Services with their weights; not empty.
    services: tuple[WeightedService, ...]
    #: Most targets to which one request may be sent.
    most_targets: int = 1
    #: Stages in order; empty for requests without stages.
    stages: tuple[Stage, ...] = ()
    #: Whether it may be called without a key.
    is_public: bool = False
    #: Whether an interrupted event stream may be resumed at another target.
    is_resumable: bool = False
    #: Objective for the pause between two events, in seconds; 0 for none.
    pause_seconds: float = 0.0

    def is_retryable(self) -> bool:
        """Return whether a request that may have run may be retried."""
        return self.repeat == "safe" or (self.repeat == "stream" and self.is_resumable)


@dataclass(frozen=True, kw_only=True)
class EngineProperties:
    """Properties of the model engines of a service."""

    #: Requests that one engine runs concurrently.
    slots: int
    #: Capacity of its memory in tokens, for running requests and cached prefixes together.
    cache_tokens: int
    #: Size of one token in its memory, in bytes.
    token_bytes: int = 0
    #: Bandwidth of its link to other engines, in bytes a second; 0 where engines can't fetch
    #: cached prefixes from each other.
    link_speed: float = 0.0


@dataclass(frozen=True, kw_only=True)
class PoolProperties:
    """Properties of the targets of a stage pool."""

    #: Calls that one target runs concurrently.
    slots: int
    #: Calls that may be queued there.
    queue: int
    #: Most pieces in one call.
    batch: int
    #: Fixed time of a call in addition to that of its pieces, in seconds.
    call_seconds: float
    #: Approximate time of one piece, in seconds.
    piece_seconds: float
    #: Result memory of one target, in bytes.
    room_bytes: int
    #: Time for which a target stores a result, in seconds.
    keep_seconds: float


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of targets that do the same work."""

    #: Name of the service.
    name: str
    #: Connections that one target accepts from all boxes together.
    most_connections: int
    #: Path at which its targets report their health; empty if they don't.
    health_path: str = ""
    #: Requests a second that one of its targets can serve while it is warming up; 0 where targets
    #: need no warm-up.
    cold_rate: float = 0.0
    #: Duration of the warm-up of a target after its start, in seconds, assumed until the target
    #: reports it.
    cold_start_seconds: float = 0.0
    #: Set for model engines.
    engine: EngineProperties | None = None
    #: Set for stage pools.
    pool: PoolProperties | None = None


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits of size and time for callers."""

    #: Largest header section of a request, in bytes.
    header_bytes: int = 16_384
    #: Largest body, in bytes.
    body_bytes: int = 4 * 2**20
    #: Time within which the header section must have arrived, in seconds.
    header_seconds: float = 3.0
    #: Time after which an idle connection is closed, in seconds.
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer and its keys."""

    #: Its name.
    name: str
    #: Keys that its callers authenticate with.
    keys: tuple[str, ...]
    #: Priority; 0 is the most urgent.  It is compared before the priority of routes.
    priority: int = 0


@dataclass(frozen=True, kw_only=True)
class RoutingDocument:
    """The complete configuration by which entries serve requests."""

    #: Its version; the highest one is in force.
    version: int
    #: All routes.
    routes: tuple[Route, ...] = ()
    #: All services.
    services: tuple[Service, ...] = ()
    #: Limits for callers.
    limits: CallerLimits = CallerLimits()
    #: Customers; without any, no route requires a key.
    organisations: tuple[Organisation, ...] = ()
