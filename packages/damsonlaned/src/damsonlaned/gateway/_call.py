"""One caller's request on its way through this entry."""

import asyncio
from dataclasses import dataclass

from damsonlane.pools import RANKS_OF_ROUTES
from damsonlane.routes import Organisation, Route, RouteTable, Service
from damsonlaned.dialects import CallerRequest


@dataclass(frozen=True, kw_only=True)
class Call:
    """A request with what was decided on its arrival, by one version of the document."""

    #: The request.
    request: CallerRequest
    #: Its route.
    route: Route
    #: The document that it met.
    table: RouteTable
    #: The service that it goes to.
    service: Service
    #: Organisation of its caller; None on a route open to all.
    organisation: Organisation | None
    #: When it had arrived, by the loop's clock.
    arrived_at: float
    #: When its final answer must be on its way.
    due_at: float
    #: Fingerprint of the request, the same whenever its caller sends it.
    fingerprint: str = ""
    #: Whether its answer has begun and is to be taken up elsewhere.
    is_begun: bool = False
    #: Seconds for which its caller had waited before, since an earlier try was refused.
    waited_seconds: float = 0.0

    @property
    def aim_at(self) -> float:
        """When its answer must be there to be in aim, from the first try of its caller."""
        return self.arrived_at - self.waited_seconds + self.route.aim_seconds

    @property
    def rank(self) -> int:
        """Urgency; 0 comes first.  An organisation's rank comes before a route's."""
        organisation = self.organisation.priority if self.organisation is not None else 0
        return organisation * RANKS_OF_ROUTES + min(self.route.priority, RANKS_OF_ROUTES - 1)

    def remaining(self) -> float:
        """Return the seconds until its final answer is due."""
        return self.due_at - asyncio.get_running_loop().time()

    def log_fields(self) -> dict[str, object]:
        """Return what each log line about it holds."""
        return {
            "request": self.request.request_id,
            "route": self.route.name,
            "version": self.table.version,
        }
