"""Hypothesis state machine that drives requests with failing targets and a failing ledger."""

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from damsonlane.requests import CommitToLedger, Send, Wait
from damsonlane.requests.tests.world import Fault, Handling, World

_PICK = st.integers(min_value=0, max_value=1000)
_LEDGER = st.sampled_from(["commit", "commit", "commit", "commit-and-lose", "doubt", "lose"])
_TARGET = st.sampled_from(
    [
        "answered",
        "answered",
        "answered",
        "crossed",
        "late",
        "truncated",
        "lost-after",
        "lost-before",
        "refused",
        "leaving",
        "unsent",
    ]
)


# Hypothesis derives the examples of derandomized tests from the source of this class.
class RequestMachine(RuleBasedStateMachine):
    """Drives the handling of requests; subclasses say which fault is injected."""

    fault = Fault.NONE

    def __init__(self) -> None:
        super().__init__()
        self.world = World(self.fault)

    @rule(
        organisation=st.sampled_from(["north", "south"]),
        key=st.sampled_from(["", "k1", "k1", "k2"]),
        text=st.sampled_from(["refund", "refund", "other"]),
    )
    def begin(self, organisation: str, key: str, text: str) -> None:
        self.world.begin(organisation, key, text)

    def _list_waiting(self, effect: type) -> list[Handling]:
        return [
            handling
            for handling in self.world.open_handlings()
            if isinstance(handling.effect, effect)
        ]

    @precondition(lambda self: self._list_waiting(CommitToLedger))
    @rule(pick=_PICK, how=_LEDGER)
    def answer_ledger(self, pick: int, how: str) -> None:
        waiting = self._list_waiting(CommitToLedger)
        self.world.answer_ledger(waiting[pick % len(waiting)], how)

    @precondition(lambda self: self.world.doubtful)
    @rule(pick=_PICK, is_kept=st.booleans())
    def commit_doubtful(self, pick: int, is_kept: bool) -> None:
        """A command whose sender got no reply is committed late, perhaps twice."""
        doubtful = self.world.doubtful
        position = pick % len(doubtful)
        self.world.commit(doubtful[position] if is_kept else doubtful.pop(position))

    @precondition(lambda self: self._list_waiting(Send))
    @rule(pick=_PICK, how=_TARGET)
    def answer_target(self, pick: int, how: str) -> None:
        waiting = self._list_waiting(Send)
        self.world.answer_target(waiting[pick % len(waiting)], how)

    @precondition(lambda self: self._list_waiting(Wait))
    @rule(pick=_PICK)
    def resume(self, pick: int) -> None:
        waiting = self._list_waiting(Wait)
        self.world.resume(waiting[pick % len(waiting)])

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.0]))
    def pass_time(self, seconds: float) -> None:
        self.world.now += seconds

    @precondition(lambda self: self.world.open_handlings())
    @rule(pick=_PICK)
    def lose_entry(self, pick: int) -> None:
        """The entry of a handling crashes."""
        waiting = self.world.open_handlings()
        self.world.handlings.remove(waiting[pick % len(waiting)])

    @precondition(lambda self: self.world.open_handlings())
    @rule(pick=_PICK)
    def finish_one(self, pick: int) -> None:
        """One handling runs to its completion without a fault."""
        waiting = self.world.open_handlings()
        handling = waiting[pick % len(waiting)]
        while handling.outcome is None:
            if isinstance(handling.effect, CommitToLedger):
                self.world.answer_ledger(handling, "commit")
            elif isinstance(handling.effect, Send):
                self.world.answer_target(handling, "answered")
            else:
                self.world.resume(handling)


def make_machine(injected: Fault) -> type[RequestMachine]:
    """Return a machine with an injected fault."""
    namespace: dict[str, Any] = {"fault": injected}
    return type(f"RequestMachineWith{injected.name.title()}", (RequestMachine,), namespace)
