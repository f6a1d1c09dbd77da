"""The settings tree as replicated state, with its history and change ids."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated, Final

from pydantic import Field, JsonValue

from damsonlane.cluster._changes import (
    AcceptedChange,
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ChangeReply,
    ChangeSettings,
)
from damsonlane.errors import SettingsError
from damsonlane.settings import Tree, apply_edits, check_tree

#: Accepted changes that the history keeps; five days at 3,600 changes a day.
HISTORY_LENGTH: Final = 18_000
#: Answers kept for resent changes, refused and conflicting ones included.
ANSWERS_KEPT: Final = 20_000


@dataclass(frozen=True, kw_only=True)
class GivenAnswer:
    """The first answer to a change id, repeated to every resend."""

    #: The change id.
    change: str
    #: The answer.
    reply: Annotated[ChangeReply, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class SettingsSnapshot:
    """All of the settings store, for a snapshot."""

    #: Version in force.
    version: int = 0
    #: The settings tree as written.
    document: JsonValue = field(default_factory=dict)
    #: The latest accepted changes, oldest first.
    history: tuple[AcceptedChange, ...] = ()
    #: Answers given to change ids, oldest first.
    answers: tuple[GivenAnswer, ...] = ()


class SettingsStore:
    """Applies changes in the order of the log."""

    def __init__(self, snapshot: SettingsSnapshot) -> None:
        self.version = snapshot.version
        self.document = snapshot.document
        self.tree = _require_tree(snapshot.document)
        self._history = list(snapshot.history)
        self._answers = {given.change: given.reply for given in snapshot.answers}

    def snapshot(self) -> SettingsSnapshot:
        """Return everything that must survive."""
        return SettingsSnapshot(
            version=self.version,
            document=self.document,
            history=tuple(self._history),
            answers=tuple(
                GivenAnswer(change=change, reply=reply) for change, reply in self._answers.items()
            ),
        )

    def change(self, command: ChangeSettings) -> ChangeReply:
        """Apply a change, or repeat the first answer to its change id."""
        given = self._answers.get(command.change)
        if given is not None:
            return given
        reply = self._decide(command)
        self._answers[command.change] = reply
        if len(self._answers) > ANSWERS_KEPT:
            del self._answers[next(iter(self._answers))]
        return reply

    def answer_to(self, change: str) -> ChangeReply | None:
        """Return the answer given to a change id, or None when it was never seen."""
        return self._answers.get(change)

    def history(self) -> tuple[AcceptedChange, ...]:
        """Return the accepted changes that are kept, oldest first."""
        return tuple(self._history)

    def changes_after(self, version: int) -> tuple[AcceptedChange, ...] | None:
        """Return the changes after a version, or None when some are no longer kept."""
        missing = self.version - version
        if missing < 0 or missing > len(self._history):
            return None
        return tuple(self._history[len(self._history) - missing :])

    def _decide(self, command: ChangeSettings) -> ChangeReply:
        if command.expected_version != self.version:
            winner = self._history[-1] if self._history else None
            return ChangeConflict(version=self.version, winner=winner)
        try:
            document = apply_edits(self.document, command.edits)
        except SettingsError as error:
            return ChangeRefused(findings=error.findings)
        checked = check_tree(document)
        if not isinstance(checked, Tree):
            return ChangeRefused(findings=checked)
        self._accept(command, document, checked)
        return ChangeAccepted(version=self.version)

    def _accept(self, command: ChangeSettings, document: JsonValue, tree: Tree) -> None:
        self.version += 1
        self.document = document
        self.tree = tree
        accepted = AcceptedChange(
            version=self.version,
            change=command.change,
            operator=command.operator,
            at=command.at,
            edits=command.edits,
        )
        self._history.append(accepted)
        del self._history[: max(0, len(self._history) - HISTORY_LENGTH)]


def _require_tree(document: JsonValue) -> Tree:
    checked = check_tree(document)
    if isinstance(checked, Tree):
        return checked
    raise SettingsError(checked)


def merge_changes(document: JsonValue, changes: Iterable[AcceptedChange]) -> JsonValue:
    """Return the document after further accepted changes."""
    for change in changes:
        document = apply_edits(document, change.edits)
    return document
