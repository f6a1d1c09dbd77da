"""Settings of one box, which it reads from a file at its start."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Final, Literal

from pydantic import Field, TypeAdapter

from damsonlane.errors import SettingsError
from damsonlane.findings import Finding, Place
from damsonlane.settings._text import Document
from damsonlane.settings._tree import Address, Name
from damsonlane.settings._validation import CLOSED, check_value, locate

#: What a process does.
Role = Literal["entry", "control"]


@dataclass(frozen=True, kw_only=True)
class TlsFiles:
    """Files of the keys with which boxes trust each other."""

    __pydantic_config__ = CLOSED

    #: Certificate of this box, PEM.
    certificate: str
    #: Private key of this box, PEM.
    key: str
    #: Certificate of the authority that signs boxes and operators, PEM.
    authority: str


@dataclass(frozen=True, kw_only=True)
class PlatformList:
    """Where the platform's list of live and leaving boxes is."""

    __pydantic_config__ = CLOSED

    #: How it is read.
    kind: Literal["file", "http"]
    #: Path of the file, or address to get it from.
    place: str


@dataclass(frozen=True, kw_only=True)
class Founding:
    """How a control group comes into being and stays whole without an operator."""

    __pydantic_config__ = CLOSED

    #: Internal addresses of the boxes that found the group; later ones to ask for it.
    seeds: Annotated[tuple[Address, ...], Field(min_length=1)]
    #: Whether the system starts for the first time, so that a group may be founded.
    is_first_start: bool = False
    #: Boxes whose disks may be lost at once.
    lost_boxes: Annotated[int, Field(ge=0, le=4)] = 1

    @property
    def voters(self) -> int:
        """How many replicas are needed to bear that loss."""
        return 2 * self.lost_boxes + 1


@dataclass(frozen=True, kw_only=True)
class Gateway:
    """What an entry needs to serve routes, and control to keep its fleet informed."""

    __pydantic_config__ = CLOSED

    #: Name of the dialect that callers, targets and operators speak.
    dialect: Name
    #: At control: address for targets and operators.
    registry_address: Address | Literal[""] = ""
    #: At an entry: address that tells the balancer whether it takes requests.
    ready_address: Address | Literal[""] = ""
    #: Seconds between heartbeats of a target.
    heartbeat_seconds: Annotated[float, Field(gt=0, le=60)] = 1.0
    #: Seconds within which an accepted document must be in force everywhere.
    apply_seconds: Annotated[float, Field(gt=0, le=60)] = 2.0
    #: Seconds from SIGTERM to the end of the process.
    stop_seconds: Annotated[float, Field(gt=0, le=600)] = 8.0
    #: Requests sent again, as a share of first ones, that the fleet may make.
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.2
    #: Seconds over which that share is counted.
    retry_window_seconds: Annotated[float, Field(gt=0, le=600)] = 10.0
    #: Requests sent again in one window that the fleet may make besides.
    retry_slack: Annotated[int, Field(ge=0, le=100_000)] = 50
    #: Times the requests a second that a cold target bears which may reach it.
    cold_ratio: Annotated[float, Field(gt=0, le=100)] = 1.5
    #: Requests that may reach it in a second besides.
    cold_slack: Annotated[float, Field(ge=0, le=100_000)] = 5.0
    #: At control: the data centres that there are; empty where any name is taken.
    data_centres: tuple[Name, ...] = ()


@dataclass(frozen=True, kw_only=True)
class BoxSettings:
    """What a process learns at its start."""

    __pydantic_config__ = CLOSED

    #: Name of the box, unique in the system.
    name: Name
    #: Data centre in which it stands.
    data_centre: Name
    #: Role it plays.
    role: Role
    #: Folder that holds all its files.
    data_folder: Annotated[str, Field(min_length=1)]
    #: Address for calls between boxes.
    internal_address: Address
    #: Address for metrics and readiness.
    admin_address: Address
    #: Internal addresses of the control replicas.
    control: tuple[Address, ...]
    #: Address for callers; an entry needs one.
    caller_address: Address | Literal[""] = ""
    #: Internal addresses of other entries.
    peers: tuple[Address, ...] = ()
    #: Keys between boxes; without them calls travel in the clear.
    tls: TlsFiles | None = None
    #: The platform's list of boxes; it lags, so it is one source among others.
    platform_list: PlatformList | None = None
    #: Threads that serve callers; more than all lanes together may hold.
    caller_threads: Annotated[int, Field(ge=4, le=2000)] = 200
    #: Largest request body, in bytes.
    body_limit: Annotated[int, Field(ge=1024, le=64 * 2**20)] = 2 * 2**20
    #: Seconds between SIGTERM and the closing of the callers' socket.
    grace_seconds: Annotated[float, Field(ge=0, le=60)] = 1.0
    #: Seconds without word from a leader before an election starts, at the least.
    election_seconds: Annotated[float, Field(ge=0.1, le=60)] = 1.0
    #: Founding and repair of the control group by itself; None leaves both to an operator.
    founding: Founding | None = None
    #: Service of routes; None for an entry that serves pipelines.
    gateway: Gateway | None = None


_ADAPTER: Final = TypeAdapter(BoxSettings)


def read_box_settings(document: Document) -> BoxSettings:
    """Check a document as the settings of a box.

    Raises:
        SettingsError: with all findings, each with line, column and path.
    """
    checked = check_value(document.value, _ADAPTER, BoxSettings)
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
