"""Settings of one box, read from a file when its process starts."""

from collections.abc import Iterator, Mapping
from dataclasses import field
from typing import TYPE_CHECKING, Annotated, Literal

from pydantic import Field

from damsonlane.codec import find_adapter
from damsonlane.errors import SettingsError
from damsonlane.findings import Finding, Place
from damsonlane.records import dataclass
from damsonlane.settings._names import Address, Name
from damsonlane.settings._validation import FORBID_UNKNOWN_KEYS, check_value, locate

if TYPE_CHECKING:
    from damsonlane.settings._text import Document

#: Role of a process.
Role = Literal["entry", "control"]

#: What becomes of a request that can't meet its latency objective.
LatePolicy = Literal["refuse", "serve"]


@dataclass(frozen=True, kw_only=True)
class TlsFiles:
    """Key and certificate files for TLS between boxes."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Certificate of this box, PEM.
    certificate: str
    #: Private key of this box, PEM.
    key: str
    #: Certificate of the authority that signs those of boxes and operators, PEM.
    authority: str


@dataclass(frozen=True, kw_only=True)
class PlatformList:
    """Source of the platform's list of live and draining boxes."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: How the list is read.
    kind: Literal["file", "http"]
    #: Path of the file, or URL of the list.
    place: str


@dataclass(frozen=True, kw_only=True)
class Founding:
    """Founding and repair of the control group without an operator."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Internal addresses of the boxes that found the group and that later boxes ask to join.
    seeds: Annotated[tuple[Address, ...], Field(min_length=1)]
    #: Whether this is the first start of the system, so that a group may be founded.
    is_first_start: bool = False
    #: Number of boxes that may lose their disks at the same time.
    lost_boxes: Annotated[int, Field(ge=0, le=4)] = 1
    #: Seconds after SIGTERM for which a replica waits until the group tolerates its end.
    leave_seconds: Annotated[float, Field(ge=0, le=600)] = 5.0

    @property
    def voters(self) -> int:
        """Number of voters needed to tolerate that loss."""
        return 2 * self.lost_boxes + 1


@dataclass(frozen=True, kw_only=True)
class Capacity:
    """What the process of a box may use."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Processor time a second, in seconds.
    cores: Annotated[float, Field(gt=0, le=1024)]
    #: Memory, in bytes.
    memory_bytes: Annotated[int, Field(gt=0, le=2**46)]
    #: Bandwidth of its network link, in bits per second.
    link_bits: Annotated[float, Field(gt=0, le=1e13)]


@dataclass(frozen=True, kw_only=True)
class Gateway:
    """Settings for an entry that serves routes, and for control that informs such entries."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Name of the dialect that callers, targets and operators speak.
    dialect: Name
    #: At control: address that targets and operators call.
    registry_address: Address | Literal[""] = ""
    #: At an entry: address of the readiness endpoint for the load balancer.
    ready_address: Address | Literal[""] = ""
    #: Seconds between heartbeats of a target.
    heartbeat_seconds: Annotated[float, Field(gt=0, le=60)] = 1.0
    #: Seconds within which an accepted document must be in force everywhere.
    apply_seconds: Annotated[float, Field(gt=0, le=60)] = 2.0
    #: Seconds from SIGTERM to the exit of the process.
    stop_seconds: Annotated[float, Field(gt=0, le=600)] = 8.0
    #: Retry budget of the fleet, as a fraction of first attempts.
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.2
    #: Window of the retry budget, in seconds.
    retry_window_seconds: Annotated[float, Field(gt=0, le=600)] = 10.0
    #: Retries per window that the fleet may make in addition.
    retry_slack: Annotated[int, Field(ge=0, le=100_000)] = 50
    #: Limit on requests per second to a target in warm-up, as a multiple of its warm-up rate.
    cold_ratio: Annotated[float, Field(gt=0, le=100)] = 1.5
    #: Requests per second that may reach such a target in addition.
    cold_slack: Annotated[float, Field(ge=0, le=100_000)] = 5.0
    #: At control: names of all data centres; empty to accept any name.
    data_centres: tuple[Name, ...] = ()
    #: Whether a request that can't meet its latency objective is refused, or served late if it can
    #: meet its deadline.
    late_requests: LatePolicy = "refuse"
    #: Whether organisations share pools and engines fairly.
    fair_shares: bool = False
    #: Weights of the shares by name of the organisation; others have a weight of 1.
    share_weights: Mapping[Name, Annotated[float, Field(ge=0.001, le=1000)]] = field(
        default_factory=dict
    )
    #: Limit of the bytes buffered for callers and targets; 0 for none.
    buffer_bytes: Annotated[int, Field(ge=0, le=2**46)] = 0

    def find_weight(self, organisation: str) -> float:
        """Return the weight of an organisation's share of pools and engines."""
        return self.share_weights.get(organisation, 1.0)


@dataclass(frozen=True, kw_only=True)
class BoxSettings:
    """Settings that a process reads at its start."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Name of the box, unique in the system.
    name: Name
    #: Data centre in which it stands.
    data_centre: Name
    #: Role of the process.
    role: Role
    #: Folder for all files of the process.
    data_folder: Annotated[str, Field(min_length=1)]
    #: Address for calls from other boxes.
    internal_address: Address
    #: Address for metrics and readiness.
    admin_address: Address
    #: Internal addresses of the control replicas.
    control: tuple[Address, ...]
    #: Address for callers; required at an entry.
    caller_address: Address | Literal[""] = ""
    #: Internal addresses of other entries.
    peers: tuple[Address, ...] = ()
    #: Keys for TLS between boxes; None for unencrypted calls.
    tls: TlsFiles | None = None
    #: The platform's list of boxes; it may be out of date, so it is one of several sources.
    platform_list: PlatformList | None = None
    #: Threads that serve callers; should exceed the in-flight limits of all lanes together.
    caller_threads: Annotated[int, Field(ge=4, le=2000)] = 200
    #: Largest request body, in bytes.
    body_limit: Annotated[int, Field(ge=1024, le=64 * 2**20)] = 2 * 2**20
    #: Seconds from SIGTERM to the closing of the callers' socket.
    grace_seconds: Annotated[float, Field(ge=0, le=60)] = 1.0
    #: Minimum seconds without contact to a leader before an election starts.
    election_seconds: Annotated[float, Field(ge=0.1, le=60)] = 1.0
    #: Automatic founding and repair of the control group; None leaves both to an operator.
    founding: Founding | None = None
    #: Settings for serving routes; None for an entry that serves pipelines.
    gateway: Gateway | None = None
    #: What the process may use; None if unknown.
    capacity: Capacity | None = None


def read_box_settings(document: "Document") -> BoxSettings:
    """Read a document as the settings of a box.

    Raises:
        SettingsError: the settings are invalid; carries all findings with line, column, path.
    """
    checked = check_value(document.value, find_adapter(BoxSettings), BoxSettings)
    if not isinstance(checked, BoxSettings):
        raise SettingsError(locate(checked, document))
    findings = tuple(_check_role(checked))
    if findings:
        raise SettingsError(locate(findings, document))
    return checked


def _check_role(settings: BoxSettings) -> Iterator[Finding]:
    if settings.role == "entry" and not settings.caller_address:
        yield Finding(place=Place(path="/caller_address"), message="an entry needs this address")
    if settings.role == "entry" and not settings.control:
        yield Finding(place=Place(path="/control"), message="an entry needs a control address")
