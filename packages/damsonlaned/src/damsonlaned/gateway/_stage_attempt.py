"""The progress of one request's stages, and their results held at targets."""

from collections.abc import Mapping
from dataclasses import field

from damsonlane.placement import InputLocation
from damsonlane.pools import ReadyStage, StageProgress
from damsonlane.records import dataclass
from damsonlaned.gateway._call import Call


@dataclass(frozen=True, kw_only=True)
class HeldResult:
    """A result that a target holds until it is freed."""

    #: Handle of the result.
    handle: str
    #: Service whose target holds it.
    service: str


@dataclass(frozen=True, kw_only=True)
class StageResults:
    """Results that the last step needs, and all that must be freed after it."""

    #: Handles of the last step's inputs.
    inputs: tuple[str, ...] = ()
    #: All results that must be freed.
    held: tuple[HeldResult, ...] = ()
    #: Data centres that hold the last step's inputs.
    input_locations: tuple[InputLocation, ...] = ()


@dataclass(frozen=True, kw_only=True)
class StageAttempt:
    """One attempt at all stages of a request, with its mutable plan and results."""

    #: The request.
    call: Call
    #: Tracks which stages are done.
    plan: StageProgress
    #: The service that computed each held result, by the result's handle.
    services_by_handle: dict[str, str] = field(default_factory=dict)

    def record(self, ready: ReadyStage, piece: int, handle: str) -> None:
        """Record the result of a piece."""
        self.plan.record_result(ready.index, piece, handle)
        self.services_by_handle[handle] = ready.stage.service

    def pop_spent(self, stage: int) -> StageResults:
        """Remove and return the held results that no stage needs after the given one."""
        spent = {
            handle: self.services_by_handle.pop(handle)
            for handle in self.plan.releasable_inputs(stage)
            if handle in self.services_by_handle
        }
        return _collect(spent)

    def collect(self) -> StageResults:
        """Return all held results, without inputs of the last step."""
        return _collect(self.services_by_handle)


def _collect(services_by_handle: Mapping[str, str]) -> StageResults:
    return StageResults(
        held=tuple(
            HeldResult(handle=handle, service=service)
            for handle, service in services_by_handle.items()
        )
    )
