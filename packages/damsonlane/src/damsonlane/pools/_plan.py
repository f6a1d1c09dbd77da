"""The stages of one request: which may start, and which results the last step needs."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.routes import Stage

#: Seconds by which a stage is started before it must be, since queues grow meanwhile.
START_MARGIN_SECONDS: Final = 0.1


@dataclass(frozen=True, kw_only=True)
class StageStart:
    """A stage whose pieces may be ordered."""

    #: Its index.
    index: int
    #: The stage.
    stage: Stage
    #: Number of its pieces.
    pieces: int
    #: Handles that each piece needs.
    inputs: tuple[str, ...]


class StagePlan:
    """Progress of one request through its stages.

    Args:
        stages: the stages of its route.
        pieces: the number of pieces of each; 0 leaves a stage out.
    """

    def __init__(self, stages: Sequence[Stage], pieces: Sequence[int]) -> None:
        self._stages = tuple(stages)
        self._pieces = tuple(pieces)
        self._handles: dict[int, dict[int, str]] = {index: {} for index in range(len(stages))}
        self._started: set[int] = set()
        self._read: dict[int, set[int]] = {index: set() for index in range(len(stages))}

    def take_ready(
        self, expect_seconds: Callable[[Stage], float] = lambda _: 0.0
    ) -> tuple[StageStart, ...]:
        """Return the stages that should start now and were not returned before.

        A stage that would be done long before another way to the last step is
        left for later: its results would only take room at their makers.

        Args:
            expect_seconds: returns how long a stage will take, its queue included.
        """
        longest = self.longest_seconds(expect_seconds)
        ready = [
            index
            for index in range(len(self._stages))
            if index not in self._started
            and self._may_start(index)
            and self._path_seconds(index, expect_seconds) + START_MARGIN_SECONDS >= longest
        ]
        self._started.update(ready)
        return tuple(self._make_start(index) for index in ready)

    def note(self, stage: int, piece: int, handle: str) -> None:
        """Note the result of a piece."""
        self._handles[stage][piece] = handle

    def note_read(self, stage: int, piece: int) -> None:
        """Note that a target has read the inputs of a piece, which is not made yet."""
        self._read[stage].add(piece)

    def is_done(self) -> bool:
        """Tell whether every piece of every stage is made."""
        return all(self._is_made(index) for index in range(len(self._stages)))

    def final_inputs(self) -> tuple[str, ...]:
        """Return the handles of the stages that no other comes after."""
        return tuple(handle for handles in self.final_handles().values() for handle in handles)

    def final_handles(self) -> Mapping[int, tuple[str, ...]]:
        """Return the handles of the stages that no other comes after, by the stage's index."""
        used = {earlier for stage in self._stages for earlier in stage.after}
        last = [index for index in range(len(self._stages)) if index not in used]
        return {index: self._ordered(index) for index in last}

    def handles(self) -> tuple[str, ...]:
        """Return all handles so far."""
        return tuple(handle for index in self._handles for handle in self._ordered(index))

    def spent_inputs(self, stage: int) -> tuple[str, ...]:
        """Return the handles that nothing needs any more once a stage has read its inputs."""
        return tuple(
            handle
            for earlier in self._stages[stage].after
            if self._is_spent(earlier)
            for handle in self._ordered(earlier)
        )

    def depth_after(self, stage: int) -> tuple[Stage, ...]:
        """Return the longest chain of stages that come after one."""
        chains = [
            (later, *self.depth_after(index))
            for index, later in enumerate(self._stages)
            if stage in later.after and self._pieces[index]
        ]
        return max(chains, key=len, default=())

    def longest_seconds(self, expect_seconds: Callable[[Stage], float]) -> float:
        """Return the time from the start of a stage to the last step, the longest of those left."""
        left = (index for index in range(len(self._stages)) if not self._is_made(index))
        return max((self._path_seconds(index, expect_seconds) for index in left), default=0.0)

    def _path_seconds(self, index: int, expect_seconds: Callable[[Stage], float]) -> float:
        """Return the time from the start of a stage to the last step."""
        return sum(map(expect_seconds, (self._stages[index], *self.depth_after(index))))

    def _may_start(self, index: int) -> bool:
        is_wanted = self._pieces[index] > 0
        return is_wanted and all(self._is_made(earlier) for earlier in self._stages[index].after)

    def _is_made(self, index: int) -> bool:
        return len(self._handles[index]) >= self._pieces[index]

    def _is_spent(self, index: int) -> bool:
        """Tell whether every stage that needs the results of one has read them."""
        users = [number for number, stage in enumerate(self._stages) if index in stage.after]
        return all(self._has_read(user) for user in users)

    def _has_read(self, index: int) -> bool:
        """Tell whether every piece of a stage has read its inputs, made or not."""
        return len(self._read[index] | set(self._handles[index])) >= self._pieces[index]

    def _make_start(self, index: int) -> StageStart:
        stage = self._stages[index]
        inputs = tuple(handle for earlier in stage.after for handle in self._ordered(earlier))
        return StageStart(index=index, stage=stage, pieces=self._pieces[index], inputs=inputs)

    def _ordered(self, index: int) -> tuple[str, ...]:
        made = self._handles[index]
        return tuple(made[piece] for piece in sorted(made))
