"""The replicated state of control, as one state machine."""

from dataclasses import field, replace
from typing import Annotated

from pydantic import Field

from damsonlane.burn import CompletionCount
from damsonlane.cluster._changes import (
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ChangeSettings,
)
from damsonlane.cluster._document_store import (
    DocumentRecorded,
    DocumentStore,
    PackedDocument,
    ReplaceDocument,
)
from damsonlane.cluster._settings_store import SettingsSnapshot, SettingsStore
from damsonlane.codec import decode_bytes, decode_value, encode_text
from damsonlane.costs import CostAccounts, CostsRecorded, CostTotal, RecordCosts, SenderProgress
from damsonlane.evacuation import (
    EvacuateDataCentre,
    EvacuationRecorded,
    Evacuations,
    EvacuationsSnapshot,
    RestoreDataCentre,
)
from damsonlane.ledger import (
    ClaimJob,
    DropJob,
    FinishJob,
    Job,
    JobReply,
    Ledger,
    StartJob,
    read_holder,
)
from damsonlane.membership import BoxRecord, BoxUpdated, Membership, RemoveBox, UpdateBox
from damsonlane.quarantine import (
    ForgetTargetExits,
    QuarantineRecorded,
    QuarantineRegistry,
    QuarantineSnapshot,
    RecordServed,
    RecordTargetExit,
    ReleaseRequest,
)
from damsonlane.ratelimit import (
    RateLimitList,
    RateLimitRegistry,
    RateLimitsRecorded,
    RecordRateLimits,
)
from damsonlane.records import dataclass
from damsonlane.targets import (
    DivideService,
    MarkTargetsSilent,
    RegisterTarget,
    RemoveTarget,
    TargetRecorded,
    TargetRegistry,
    TargetsSnapshot,
)

Command = Annotated[
    ChangeSettings
    | ClaimJob
    | StartJob
    | FinishJob
    | DropJob
    | RecordCosts
    | UpdateBox
    | RemoveBox
    | ReplaceDocument
    | RegisterTarget
    | RemoveTarget
    | MarkTargetsSilent
    | EvacuateDataCentre
    | RestoreDataCentre
    | RecordTargetExit
    | RecordServed
    | ReleaseRequest
    | ForgetTargetExits
    | RecordRateLimits
    | DivideService,
    Field(discriminator="kind"),
]
Reply = Annotated[
    ChangeAccepted
    | ChangeConflict
    | ChangeRefused
    | JobReply
    | CostsRecorded
    | BoxUpdated
    | DocumentRecorded
    | TargetRecorded
    | EvacuationRecorded
    | QuarantineRecorded
    | RateLimitsRecorded,
    Field(discriminator="kind"),
]


@dataclass(frozen=True, kw_only=True)
class ClusterSnapshot:
    """Snapshot of the whole replicated state."""

    #: The settings tree with its history.
    settings: SettingsSnapshot = field(default_factory=SettingsSnapshot)
    #: Jobs in the ledger.
    jobs: tuple[Job, ...] = ()
    #: The ledger's clock, in seconds since 1970.
    clock: float = 0.0
    #: Cost totals.
    totals: tuple[CostTotal, ...] = ()
    #: Last cost batch recorded from each sender.
    senders: tuple[SenderProgress, ...] = ()
    #: Boxes that currently report to control.
    boxes: tuple[BoxRecord, ...] = ()
    #: Counts of request outcomes.
    endings: tuple[CompletionCount, ...] = ()
    #: The routing document.
    document: PackedDocument = PackedDocument()
    #: Targets that register themselves.
    targets: TargetsSnapshot = TargetsSnapshot()
    #: Evacuated data centres.
    evacuations: EvacuationsSnapshot = EvacuationsSnapshot()
    #: Exits of targets, with the requests that ran on them.
    quarantine: QuarantineSnapshot = QuarantineSnapshot()
    #: Rate limits that targets announced.
    rate_limits: RateLimitList = RateLimitList()


def encode_command(command: Command) -> str:
    """Return the command as JSON text."""
    return encode_text(command, Command)


def decode_command(text: str) -> Command:
    """Return the command in a JSON text."""
    command: Command = decode_value(text, Command)
    return command


class ClusterState:
    """Applies committed commands; replicas with the same log have the same state."""

    def __init__(self, snapshot: ClusterSnapshot | None = None) -> None:
        start = snapshot or ClusterSnapshot()
        self.settings = SettingsStore(start.settings)
        self.ledger = Ledger(start.jobs, start.clock)
        self.costs = CostAccounts(start.totals, start.senders, start.endings)
        self.membership = Membership(start.boxes)
        self.documents = DocumentStore(start.document)
        self.targets = TargetRegistry(start.targets)
        self.evacuations = Evacuations(start.evacuations)
        self.quarantine = QuarantineRegistry(start.quarantine)
        self.rate_limits = RateLimitRegistry(start.rate_limits)

    @classmethod
    def from_text(cls, text: str) -> "ClusterState":
        """Return the state of an encoded snapshot; empty text gives the empty state."""
        return cls(decode_bytes(text, ClusterSnapshot) if text else None)

    def to_text(self) -> str:
        """Return an encoded snapshot of the state."""
        snapshot = ClusterSnapshot(
            settings=self.settings.snapshot(),
            jobs=self.ledger.jobs(),
            clock=self.ledger.clock,
            totals=self.costs.totals(),
            senders=self.costs.senders(),
            boxes=self.membership.records(),
            endings=self.costs.burn.counts(),
            document=self.documents.document,
            targets=self.targets.snapshot(),
            evacuations=self.evacuations.snapshot(),
            quarantine=self.quarantine.snapshot(),
            rate_limits=self.rate_limits.list_all(),
        )
        return encode_text(snapshot, ClusterSnapshot)

    def apply(self, command: Command) -> Reply:
        """Apply one committed command and return its reply."""
        match command:
            case ChangeSettings():
                return self.settings.change(command)
            case ClaimJob() | StartJob() | FinishJob() | DropJob():
                return self._add_holder_state(self.ledger.apply(command))
            case RecordCosts():
                return self.costs.record(command)
            case UpdateBox():
                return self.membership.update(command)
            case RemoveBox():
                return self.membership.remove(command)
            case ReplaceDocument():
                return self.documents.replace(command)
            case DivideService():
                return self.targets.apply(command)
            case RegisterTarget() | RemoveTarget() | MarkTargetsSilent():
                reply = self.targets.apply(command)
                self._drop_stale_limits(command)
                return reply
            case EvacuateDataCentre() | RestoreDataCentre():
                return self.evacuations.apply(command)
            case RecordTargetExit() | RecordServed() | ReleaseRequest() | ForgetTargetExits():
                return self.quarantine.apply(command)
            case RecordRateLimits():
                return self.rate_limits.apply(command)

    def _drop_stale_limits(
        self, command: RegisterTarget | RemoveTarget | MarkTargetsSilent
    ) -> None:
        """Drop rate limits of a target's earlier incarnations, or all if it was removed."""
        if isinstance(command, MarkTargetsSilent):
            return
        name = command.record.target if isinstance(command, RegisterTarget) else command.target
        record = self.targets.find(name)
        self.rate_limits.forget(name, record.start if record is not None else -1)

    def _add_holder_state(self, reply: JobReply) -> JobReply:
        """Add to a "busy" reply whether the process that holds the job is gone."""
        holder = read_holder(reply.token)
        if reply.verdict != "busy" or holder is None:
            return reply
        record = self.membership.record_of(holder.box)
        is_gone = record is None or record.incarnation != holder.incarnation
        return replace(reply, is_holder_gone=is_gone)
