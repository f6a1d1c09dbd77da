"""The settings tree, in which operators configure the whole system."""

import re
from collections.abc import Iterator, Mapping
from dataclasses import field
from datetime import datetime
from typing import Annotated, Literal

from pydantic import AwareDatetime, Field, JsonValue

from damsonlane.codec import find_adapter
from damsonlane.errors import SettingsError
from damsonlane.findings import Finding, Place
from damsonlane.records import dataclass
from damsonlane.routing import POLICIES
from damsonlane.settings._names import Address, Name
from damsonlane.settings._policy import (
    INHERIT,
    EffectivePolicy,
    Level,
    Origin,
    Policy,
    explain_policy,
    resolve_policy,
)
from damsonlane.settings._text import Document
from damsonlane.settings._validation import FORBID_UNKNOWN_KEYS, check_value, locate

Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]

#: Kinds of target, by the protocol used to call them.
TargetKind = Literal["engine", "pool", "plain"]
#: Rights of an operator: to read settings, or to change them as well.
OperatorRole = Literal["reader", "editor"]


@dataclass(frozen=True, kw_only=True)
class Target:
    """A back end of a service."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: IP address and port.
    address: Address
    #: Data centre in which the target stands.
    data_centre: Name


@dataclass(frozen=True, kw_only=True)
class Service:
    """A set of interchangeable targets."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Kind of its targets.
    kind: TargetKind
    #: The targets by name.
    targets: Mapping[Name, Target]
    #: Model requested from an engine.
    model: str = ""
    #: Policy of stages that this service runs.
    policy: Policy = field(default_factory=Policy)


@dataclass(frozen=True, kw_only=True)
class Stage:
    """One step of a pipeline."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Name of the stage, unique in its pipeline.
    name: Name
    #: Service that runs the stage.
    service: Name


@dataclass(frozen=True, kw_only=True)
class Pipeline:
    """A sequence of stages that a request runs through."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: The stages in order.
    stages: Annotated[tuple[Stage, ...], Field(min_length=1, max_length=12)]
    #: Whether a request may run twice; if not, callers must send an idempotency key.
    repeatable: bool = True
    #: Policy of this pipeline.
    policy: Policy = field(default_factory=Policy)


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer, whose data is kept apart from that of others."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: SHA-256 digests of its callers' bearer tokens.
    token_digests: tuple[Digest, ...] = ()
    #: Its pipelines by name.
    pipelines: Mapping[Name, Pipeline] = field(default_factory=dict)
    #: Policy of this organisation.
    policy: Policy = field(default_factory=Policy)


@dataclass(frozen=True, kw_only=True)
class DataCentre:
    """A data centre."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Policy of entries in this data centre.
    policy: Policy = field(default_factory=Policy)


@dataclass(frozen=True, kw_only=True)
class Event:
    """A burst of requests with a scheduled start."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Start of the burst, with its UTC offset.
    starts_at: AwareDatetime
    #: Seconds after the start within which its requests must be answered.
    answer_within_seconds: Annotated[float, Field(gt=0, le=86_400)]
    #: Pipelines of its requests, each as ``organisation/pipeline``.
    pipelines: tuple[str, ...]

    def ends_at(self) -> float:
        """Return the end of the event, in seconds since 1970."""
        return self.starts_at.timestamp() + self.answer_within_seconds


@dataclass(frozen=True, kw_only=True)
class Operator:
    """A person who may use the operator's command."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: SHA-256 digest of the operator's token.
    token_digest: Digest
    #: Rights of the operator.
    role: OperatorRole


@dataclass(frozen=True, kw_only=True)
class SettingsTree:
    """The whole settings tree."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS

    #: Policy at the root.
    policy: Policy = field(default_factory=Policy)
    #: Data centres by name.
    data_centres: Mapping[Name, DataCentre] = field(default_factory=dict)
    #: Services by name.
    services: Mapping[Name, Service] = field(default_factory=dict)
    #: Organisations by name.
    organisations: Mapping[Name, Organisation] = field(default_factory=dict)
    #: Events by name.
    events: Mapping[Name, Event] = field(default_factory=dict)
    #: Operators by name; if there are none, control requires no token.
    operators: Mapping[Name, Operator] = field(default_factory=dict)

    def levels(self, data_centre: str, organisation: str, pipeline: str) -> tuple[Level, ...]:
        """Return the levels of a pipeline from the root downwards."""
        owner = self.organisations[organisation]
        own = f"/organisations/{organisation}"
        found = [Level(path="/policy", policy=self.policy)]
        if data_centre in self.data_centres:
            policy = self.data_centres[data_centre].policy
            found.append(Level(path=f"/data_centres/{data_centre}/policy", policy=policy))
        found.append(Level(path=f"{own}/policy", policy=owner.policy))
        inner = Level(
            path=f"{own}/pipelines/{pipeline}/policy", policy=owner.pipelines[pipeline].policy
        )
        return (*found, inner)

    def policy_of(self, data_centre: str, organisation: str, pipeline: str) -> EffectivePolicy:
        """Return the policy in force for requests of a pipeline at a data centre."""
        return resolve_policy(self.levels(data_centre, organisation, pipeline))

    def stage_policy_of(
        self, data_centre: str, organisation: str, pipeline: str, service: str
    ) -> EffectivePolicy:
        """Return the policy in force for a stage; the pipeline overrides the service."""
        *outer, inner = self.levels(data_centre, organisation, pipeline)
        level = Level(path=f"/services/{service}/policy", policy=self.services[service].policy)
        return resolve_policy((*outer, level, inner))

    def explain(self, data_centre: str, organisation: str, pipeline: str) -> tuple[Origin, ...]:
        """Return the effective values of a pipeline, each with the level that sets it."""
        return explain_policy(self.levels(data_centre, organisation, pipeline))

    def event_end(self, organisation: str, pipeline: str, now: datetime) -> float | None:
        """Return the end of a pipeline's running event, in seconds since 1970, or None.

        If several events run, it is the earliest end.
        """
        name = f"{organisation}/{pipeline}"
        ends = [
            event.ends_at()
            for event in self.events.values()
            if name in event.pipelines
            and event.starts_at.timestamp() <= now.timestamp() < event.ends_at()
        ]
        return min(ends, default=None)


def check_tree(value: JsonValue) -> SettingsTree | tuple[Finding, ...]:
    """Check a whole tree, including the references between its parts.

    Returns:
        The tree, or all findings with their paths.
    """
    checked = check_value(value, find_adapter(SettingsTree), SettingsTree)
    if not isinstance(checked, SettingsTree):
        return checked
    findings = tuple(_check_references(checked))
    return findings or checked


def read_tree(document: Document) -> SettingsTree:
    """Read a document as a settings tree.

    Raises:
        SettingsError: the tree is invalid; carries all findings with line, column and path.
    """
    checked = check_tree(document.value)
    if isinstance(checked, SettingsTree):
        return checked
    raise SettingsError(locate(checked, document))


def _check_references(tree: SettingsTree) -> Iterator[Finding]:
    yield from _check_services(tree)
    yield from _check_organisations(tree)
    yield from _check_events(tree)
    yield from _check_routing(tree)


def _check_services(tree: SettingsTree) -> Iterator[Finding]:
    for name, service in tree.services.items():
        if service.kind == "engine" and not service.model:
            yield _finding(f"/services/{name}", "an engine service must name its model")
        for target_name, target in service.targets.items():
            path = f"/services/{name}/targets/{target_name}"
            if tree.data_centres and target.data_centre not in tree.data_centres:
                message = f"data centre '{target.data_centre}' is not in /data_centres"
                yield _finding(f"{path}/data_centre", message)
            if not _is_address(target.address):
                yield _finding(f"{path}/address", f"'{target.address}' is no address and port")


def _check_organisations(tree: SettingsTree) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for name, organisation in tree.organisations.items():
        for position, digest in enumerate(organisation.token_digests):
            owner = owners.setdefault(digest, name)
            if owner != name:
                path = f"/organisations/{name}/token_digests/{position}"
                yield _finding(path, f"this token already belongs to '{owner}'")
        for pipeline_name, pipeline in organisation.pipelines.items():
            path = f"/organisations/{name}/pipelines/{pipeline_name}/stages"
            yield from _check_stages(tree, path, pipeline)


def _check_stages(tree: SettingsTree, path: str, pipeline: Pipeline) -> Iterator[Finding]:
    seen: set[str] = set()
    for position, stage in enumerate(pipeline.stages):
        if stage.service not in tree.services:
            message = f"service '{stage.service}' is not in /services"
            yield _finding(f"{path}/{position}/service", message)
        if stage.name in seen:
            yield _finding(f"{path}/{position}/name", f"stage '{stage.name}' is named twice")
        seen.add(stage.name)


def _check_events(tree: SettingsTree) -> Iterator[Finding]:
    for name, event in tree.events.items():
        for position, pipeline in enumerate(event.pipelines):
            owner, _, inner = pipeline.partition("/")
            known = owner in tree.organisations and inner in tree.organisations[owner].pipelines
            if not known:
                message = f"no pipeline '{pipeline}' (write organisation/pipeline)"
                yield _finding(f"/events/{name}/pipelines/{position}", message)


def _check_routing(tree: SettingsTree) -> Iterator[Finding]:
    for level in _all_levels(tree):
        routing = level.policy.routing
        if routing is not INHERIT and routing not in POLICIES:
            known = ", ".join(sorted(POLICIES))
            yield _finding(f"{level.path}/routing", f"no policy '{routing}'; known are {known}")


def _all_levels(tree: SettingsTree) -> Iterator[Level]:
    yield Level(path="/policy", policy=tree.policy)
    for name, data_centre in tree.data_centres.items():
        yield Level(path=f"/data_centres/{name}/policy", policy=data_centre.policy)
    for name, service in tree.services.items():
        yield Level(path=f"/services/{name}/policy", policy=service.policy)
    for name, organisation in tree.organisations.items():
        path = f"/organisations/{name}"
        yield Level(path=f"{path}/policy", policy=organisation.policy)
        for inner, pipeline in organisation.pipelines.items():
            yield Level(path=f"{path}/pipelines/{inner}/policy", policy=pipeline.policy)


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    octets = re.findall(r"\d+", host) if "." in host else []
    return int(port) <= 65_535 and all(int(octet) <= 255 for octet in octets)


def _finding(path: str, message: str) -> Finding:
    return Finding(place=Place(path=path), message=message)
