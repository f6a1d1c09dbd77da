"""What really ran: the oracle that tests ask."""

import threading
from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Execution:
    """One kind of work that ran."""

    #: Request that it was for.
    request: str
    #: Organisation that it was for.
    organisation: str
    #: Stage.
    stage: str
    #: Input, shortened.
    text: str


class Oracle:
    """Counts executions; safe for many threads."""

    def __init__(self) -> None:
        self._executions: Counter[Execution] = Counter()
        self._lock = threading.Lock()
        self.tokens = 0

    def count(self, execution: Execution) -> None:
        """Count one execution, at the moment at which it takes effect."""
        with self._lock:
            self._executions[execution] += 1

    def add_tokens(self, number: int) -> None:
        """Count generated tokens."""
        with self._lock:
            self.tokens += number

    def executions(self) -> dict[Execution, int]:
        """Return how often each kind of work ran."""
        with self._lock:
            return dict(self._executions)
