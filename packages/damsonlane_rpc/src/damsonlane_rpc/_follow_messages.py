"""Messages between control and the entries that follow it."""

from typing import Final

from grpclib.const import Cardinality

from damsonlane.cluster import PackedDocument
from damsonlane.evacuation import EvacuationList
from damsonlane.membership import BoxRecord
from damsonlane.quarantine import QuarantineList
from damsonlane.ratelimit import RateLimitList
from damsonlane.records import dataclass
from damsonlane.targets import TargetChanges
from damsonlane.versions import SteadyVersion
from damsonlane_rpc._methods import Method
from damsonlane_rpc._watch_messages import WatchReport


@dataclass(frozen=True, kw_only=True)
class FollowReport:
    """An entry's report of itself and of the revisions that it has."""

    #: The box, with the version of the routing document in force there.
    box: WatchReport
    #: Its revision of the registry of targets.
    targets_revision: int
    #: Its revision of the list of evacuated data centres; -1 for none.
    evacuations_revision: int = -1
    #: Its revision of the list of quarantined requests; -1 for none.
    quarantine_revision: int = -1
    #: Its revision of the list of rate limits; -1 for none.
    rate_limits_revision: int = -1


@dataclass(frozen=True, kw_only=True)
class FollowUpdate:
    """Changes since an entry's report; without any, a heartbeat with the sender's staleness."""

    #: Upper bound of the staleness of the sender's state, in seconds: it includes everything
    #: that was acknowledged longer ago than this.  None if unknown.
    state_age: float | None
    #: A newer routing document, or None.
    document: PackedDocument | None = None
    #: Changes of the registry of targets, or None.
    targets: TargetChanges | None = None
    #: Services that a single version of targets has served, or None if unchanged.
    steady_versions: tuple[SteadyVersion, ...] | None = None
    #: Evacuated data centres, or None if unchanged.
    evacuations: EvacuationList | None = None
    #: Quarantined requests, or None if unchanged.
    quarantine: QuarantineList | None = None
    #: Rate limits that targets announced, or None if unchanged.
    rate_limits: RateLimitList | None = None
    #: All entries that report to control, or None if unchanged.
    entries: tuple[BoxRecord, ...] | None = None
    #: Internal addresses of the control replicas, or None if unchanged.
    control: tuple[str, ...] | None = None


FOLLOW: Final = Method(
    path="/damsonlane.Control/Follow",
    cardinality=Cardinality.STREAM_STREAM,
    request=FollowReport,
    reply=FollowUpdate,
)
