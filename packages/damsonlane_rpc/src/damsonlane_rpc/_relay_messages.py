"""Messages between an entry that does not reach targets and an entry that serves in its place."""

from collections.abc import Mapping
from typing import Final

from grpclib.const import Cardinality

from damsonlane.reach import ProbeResult
from damsonlane.records import dataclass
from damsonlane.versions import StreamOrigin
from damsonlane_rpc._methods import Method, unary_method


@dataclass(frozen=True, kw_only=True)
class ReachQuery:
    """Asks an entry to probe targets that the sender did not reach."""

    #: Their service.
    service: str
    #: Their names.
    targets: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class ReachReply:
    """The results of an entry's probes; empty if it does not reach the service either."""

    #: Results by target, without targets that the entry does not know.
    results: Mapping[str, ProbeResult]
    #: Addresses of entries that reach the service, if the entry itself does not.
    reached_by: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class TextHeader:
    """A header of an HTTP message, decoded as Latin-1."""

    name: str
    value: str


@dataclass(frozen=True, kw_only=True)
class RelayRequest:
    """A caller's request that another entry is asked to serve."""

    #: Name of the box that passes it on.
    box: str
    #: Version of the routing document that the request met on its arrival.
    version: int
    #: The method.
    method: str
    #: Path and query as sent.
    target: str
    #: The headers as sent.
    headers: tuple[TextHeader, ...]
    #: The body, decoded as Latin-1.
    body: str = ""
    #: Seconds since the request arrived, with those for which the response will be under way.
    elapsed_seconds: float = 0.0
    #: Whether its caller has a part of the response, so that its stream is resumed.
    is_resumed: bool = False
    #: Id of the last event that the caller has; None if its stream is not resumed by an id.
    last_event_id: str | None = None
    #: Where the stream began that is resumed, if the sender knows it.
    origin: StreamOrigin | None = None
    #: Targets and entries at which the request may have run before.
    earlier_runs: int = 0


@dataclass(frozen=True, kw_only=True)
class RelayPart:
    """A part of the response; one without any field set keeps the stream alive."""

    #: Why the entry does not serve the request, which has not run; empty if it serves it.
    declined: str = ""
    #: Status of the response, in the part that has its head; else 0.
    status: int = 0
    #: Headers of the response, beside the status.
    headers: tuple[TextHeader, ...] = ()
    #: Where the stream began that is resumable, in the part that has its head.
    origin: StreamOrigin | None = None
    #: A part of the body, decoded as Latin-1.
    body: str = ""
    #: Whether the length of the body is known, so that the response consists of this part alone.
    is_whole: bool = False
    #: Whether the response is complete with this part.
    is_last: bool = False
    #: Whether the remainder of the response is lost.
    is_aborted: bool = False


REACH: Final = unary_method("/damsonlane.Relay/Reach", ReachQuery, ReachReply)
RELAY: Final = Method(
    path="/damsonlane.Relay/Serve",
    cardinality=Cardinality.STREAM_STREAM,
    request=RelayRequest,
    reply=RelayPart,
)
