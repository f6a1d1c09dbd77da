"""A caller's request and what was decided about it on its arrival."""

import asyncio
from collections.abc import Callable

from damsonlane.placement import InputLocation, PlacementRequest, PromptSegment
from damsonlane.pools import ROUTE_PRIORITY_LEVELS
from damsonlane.records import dataclass
from damsonlane.routes import Organisation, Route, RouteTable, Service
from damsonlane.versions import StreamOrigin
from damsonlaned.dialects import CallerRequest


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """What the choice of an engine depends on; empty for other targets."""

    #: Id of the last prompt segment that other requests share, or an empty string.
    affinity: str = ""
    #: Length of the prompt, in tokens.
    tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class Call:
    """A request with what one version of the routing document decides about it."""

    #: The request.
    request: CallerRequest
    #: Its route.
    route: Route
    #: The routing document in force when it arrived.
    table: RouteTable
    #: The service that it goes to.
    service: Service
    #: Organisation of its caller; None on a route open to all.
    organisation: Organisation | None
    #: Arrival time, by the loop's clock.
    arrived_at: float
    #: Time by which its final response must be sent, by the loop's clock.
    deadline_at: float
    #: Fingerprint of the request, the same whenever its caller sends it again.
    fingerprint: str = ""
    #: Names of what it shares with other requests and what may make its last target exit.
    shared_causes: tuple[str, ...] = ()
    #: The same for the targets of its stages.
    stage_causes: tuple[str, ...] = ()
    #: Whether its response has begun and is resumed at another target.
    has_response_begun: bool = False
    #: Name of the box that passed it on to this one, or an empty string.
    relayed_by: str = ""
    #: Targets and entries at which it may have run before it was passed on to this box.
    earlier_runs: int = 0
    #: Where the stream began that it resumes; None for a new request.
    origin: StreamOrigin | None = None
    #: Tells the entry that passed it on where its stream begins.  That entry alone records it: only
    #: it knows of which of several attempts its caller has an event.
    put_origin: Callable[[StreamOrigin], None] | None = None
    #: Id of the last event that its caller has, where an event stream is resumed here.
    last_event_id: str | None = None
    #: Seconds that its caller has waited before this try, since an earlier one was refused.
    earlier_wait_seconds: float = 0.0
    #: Whether pools and engines are shared fairly among organisations.
    is_shared_fairly: bool = False

    @property
    def objective_at(self) -> float:
        """Time at which its latency objective ends, counted from its caller's first try."""
        return self.arrived_at - self.earlier_wait_seconds + self.route.aim_seconds

    @property
    def priority(self) -> int:
        """Priority; 0 comes first.  An organisation's priority comes before a route's.

        A stream that has begun goes before all new requests: its caller has a part of it, which is
        of no use without the rest.
        """
        if self.origin is not None or self.has_response_begun:
            return 0
        organisation = self.organisation.priority if self.organisation is not None else 0
        return organisation * ROUTE_PRIORITY_LEVELS + min(
            self.route.priority, ROUTE_PRIORITY_LEVELS - 1
        )

    @property
    def share_name(self) -> str:
        """Organisation in whose share it counts at pools and engines; empty without shares."""
        if not self.is_shared_fairly or self.organisation is None:
            return ""
        return self.organisation.name

    @property
    def first_attempt(self) -> str:
        """Id of the caller's attempt that brings or brought the first event of its stream."""
        return self.request.first_attempt or self.request.request_id

    def remaining(self) -> float:
        """Return the seconds until its deadline."""
        return self.deadline_at - asyncio.get_running_loop().time()

    def find_prompt(self) -> Prompt:
        """Return what the choice of an engine depends on."""
        shared = self.request.prefix_segments[:-1]
        affinity = shared[-1].identity if shared else ""
        return Prompt(affinity=affinity, tokens=self.request.prompt_tokens)

    def make_prompt_order(
        self, avoid: tuple[str, ...], input_locations: tuple[InputLocation, ...]
    ) -> PlacementRequest:
        """Return the order to place its prompt; the client sets its number.

        Args:
            avoid: engines that may not get it.
            input_locations: where its stage results are stored.
        """
        now = asyncio.get_running_loop().time()
        return PlacementRequest(
            number=0,
            shared=tuple(
                PromptSegment(identity=part.identity, tokens=part.tokens)
                for part in self.request.prefix_segments[:-1]
            ),
            tokens=self.request.prompt_tokens,
            aim_left_seconds=self.objective_at - now,
            avoid=avoid,
            inputs=input_locations,
            organisation=self.share_name,
        )

    def log_fields(self) -> dict[str, object]:
        """Return the fields that each log line about it has."""
        return {
            "request": self.request.request_id,
            "route": self.route.name,
            "version": self.table.version,
        }
