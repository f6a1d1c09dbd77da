"""Counts of the executions of a stand-in, which tests compare with the responses to callers."""

import threading
from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Execution:
    """One kind of work that a stand-in ran."""

    #: Id of the request.
    request: str
    #: Organisation of the caller.
    organisation: str
    #: Name of the stage.
    stage: str
    #: Beginning of the input.
    text: str


class ExecutionCounter:
    """Counts executions and tokens; thread-safe."""

    def __init__(self) -> None:
        self._executions: Counter[Execution] = Counter()
        self._lock = threading.Lock()
        self.tokens = 0

    def count(self, execution: Execution) -> None:
        """Count one execution; called when it takes effect."""
        with self._lock:
            self._executions[execution] += 1

    def add_tokens(self, number: int) -> None:
        """Count generated tokens."""
        with self._lock:
            self.tokens += number

    def executions(self) -> dict[Execution, int]:
        """Return the count of each execution."""
        with self._lock:
            return dict(self._executions)
