"""Progress of one request through its stages: which may start, and which results are needed."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

from damsonlane.records import dataclass
from damsonlane.routes import Stage

#: Seconds by which a stage starts earlier than its slack allows, since queues may grow.
START_MARGIN_SECONDS: Final = 0.1


@dataclass(frozen=True, kw_only=True)
class ReadyStage:
    """A stage whose pieces may be ordered."""

    #: Index of the stage.
    index: int
    #: The stage.
    stage: Stage
    #: Number of its pieces.
    pieces: int
    #: Handles of the inputs that each piece needs.
    inputs: tuple[str, ...]


class StageProgress:
    """Progress of one request through its stages.

    Args:
        stages: the stages of its route.
        pieces: the number of pieces of each stage; 0 skips a stage.
    """

    def __init__(self, stages: Sequence[Stage], pieces: Sequence[int]) -> None:
        self._stages = tuple(stages)
        self._pieces = tuple(pieces)
        self._handles: dict[int, dict[int, str]] = {index: {} for index in range(len(stages))}
        self._started: set[int] = set()
        self._read: dict[int, set[int]] = {index: set() for index in range(len(stages))}

    def take_ready(
        self, expect_seconds: Callable[[Stage], float] = lambda _: 0.0
    ) -> tuple[ReadyStage, ...]:
        """Return the stages that should start now and were not returned before.

        A stage with slack is postponed: computed too early, its results would only occupy
        result memory until the stages on the critical path are done.

        Args:
            expect_seconds: returns the expected duration of a stage, queueing included.
        """
        longest = self.critical_path_seconds(expect_seconds)
        ready = [
            index
            for index in range(len(self._stages))
            if index not in self._started
            and self._may_start(index)
            and self._path_seconds(index, expect_seconds) + START_MARGIN_SECONDS >= longest
        ]
        self._started.update(ready)
        return tuple(self._make_start(index) for index in ready)

    def record_result(self, stage: int, piece: int, handle: str) -> None:
        """Record the result of a piece."""
        self._handles[stage][piece] = handle

    def record_inputs_read(self, stage: int, piece: int) -> None:
        """Record that a target has read the inputs of a piece that is not computed yet."""
        self._read[stage].add(piece)

    def is_done(self) -> bool:
        """Return whether every piece of every stage is computed."""
        return all(self._is_computed(index) for index in range(len(self._stages)))

    def final_inputs(self) -> tuple[str, ...]:
        """Return the result handles of the final stages, on which no other stage depends."""
        return tuple(handle for handles in self.final_handles().values() for handle in handles)

    def final_handles(self) -> Mapping[int, tuple[str, ...]]:
        """Return the result handles of the final stages, by stage index."""
        needed = {earlier for stage in self._stages for earlier in stage.after}
        final = [index for index in range(len(self._stages)) if index not in needed]
        return {index: self._list_handles(index) for index in final}

    def handles(self) -> tuple[str, ...]:
        """Return the handles of all results so far."""
        return tuple(handle for index in self._handles for handle in self._list_handles(index))

    def releasable_inputs(self, stage: int) -> tuple[str, ...]:
        """Return the inputs of a stage that no stage needs any more."""
        return tuple(
            handle
            for earlier in self._stages[stage].after
            if self._is_spent(earlier)
            for handle in self._list_handles(earlier)
        )

    def longest_chain_after(self, stage: int) -> tuple[Stage, ...]:
        """Return the longest chain of stages that depend on a stage."""
        chains = [
            (later, *self.longest_chain_after(index))
            for index, later in enumerate(self._stages)
            if stage in later.after and self._pieces[index]
        ]
        return max(chains, key=len, default=())

    def critical_path_seconds(self, expect_seconds: Callable[[Stage], float]) -> float:
        """Return the length of the critical path through the stages left, in seconds."""
        left = (index for index in range(len(self._stages)) if not self._is_computed(index))
        return max((self._path_seconds(index, expect_seconds) for index in left), default=0.0)

    def _path_seconds(self, index: int, expect_seconds: Callable[[Stage], float]) -> float:
        """Return the seconds from the start of a stage to the end of the longest chain after it."""
        return sum(map(expect_seconds, (self._stages[index], *self.longest_chain_after(index))))

    def _may_start(self, index: int) -> bool:
        is_included = self._pieces[index] > 0
        return is_included and all(
            self._is_computed(earlier) for earlier in self._stages[index].after
        )

    def _is_computed(self, index: int) -> bool:
        return len(self._handles[index]) >= self._pieces[index]

    def _is_spent(self, index: int) -> bool:
        """Return whether every stage that needs the results of a stage has read them."""
        dependents = [number for number, stage in enumerate(self._stages) if index in stage.after]
        return all(self._has_read(dependent) for dependent in dependents)

    def _has_read(self, index: int) -> bool:
        """Return whether every piece of a stage has read its inputs, computed or not."""
        return len(self._read[index] | set(self._handles[index])) >= self._pieces[index]

    def _make_start(self, index: int) -> ReadyStage:
        stage = self._stages[index]
        inputs = tuple(handle for earlier in stage.after for handle in self._list_handles(earlier))
        return ReadyStage(index=index, stage=stage, pieces=self._pieces[index], inputs=inputs)

    def _list_handles(self, index: int) -> tuple[str, ...]:
        by_piece = self._handles[index]
        return tuple(by_piece[piece] for piece in sorted(by_piece))
