"""How far the stages of one request are, and the results that they left at targets."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from damsonlane.placing import InputPlace
from damsonlane.pools import StagePlan, StageStart
from damsonlaned.gateway._call import Call


@dataclass(frozen=True, kw_only=True)
class HeldResult:
    """A result that lies at a target until it is given up."""

    #: Handle of the result.
    handle: str
    #: Service that made it.
    service: str


@dataclass(frozen=True, kw_only=True)
class StageResults:
    """Results that the last step needs, and all that must be given up after it."""

    #: Handles for the last step.
    inputs: tuple[str, ...] = ()
    #: All that must be given up.
    held: tuple[HeldResult, ...] = ()
    #: Where those for the last step lie.
    places: tuple[InputPlace, ...] = ()


@dataclass(frozen=True, kw_only=True)
class StageWork:
    """One try at all stages of a request; the plan and the results move on."""

    #: The request.
    call: Call
    #: Which stages are done.
    plan: StagePlan
    #: The service that made each result, by the result's handle.
    held: dict[str, str] = field(default_factory=dict)

    def note(self, start: StageStart, piece: int, handle: str) -> None:
        """Note the result of a piece."""
        self.plan.note(start.index, piece, handle)
        self.held[handle] = start.stage.service

    def take_spent(self, stage: int) -> StageResults:
        """Return the results that nothing needs after a stage, and hold them no more."""
        spent = {
            handle: self.held.pop(handle)
            for handle in self.plan.spent_inputs(stage)
            if handle in self.held
        }
        return _collect(spent)

    def collect(self) -> StageResults:
        """Return all results, none of them as an input of the last step yet."""
        return _collect(self.held)


def _collect(held: Mapping[str, str]) -> StageResults:
    return StageResults(
        held=tuple(HeldResult(handle=handle, service=service) for handle, service in held.items())
    )
