"""The settings tree as replicated state, with its history and the replies to changes."""

from collections.abc import Iterable
from dataclasses import field
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
from damsonlane.records import dataclass
from damsonlane.settings import SettingsTree, apply_edits, check_tree

#: Maximum number of accepted changes in the history: five days at 3,600 changes a day.
MAX_HISTORY_LENGTH: Final = 18_000
#: Maximum number of stored replies, of refused and conflicting changes too.
MAX_STORED_REPLIES: Final = 20_000


@dataclass(frozen=True, kw_only=True)
class StoredReply:
    """The reply to a change id, which every resend of the change gets again."""

    #: The change id.
    change: str
    #: The reply.
    reply: Annotated[ChangeReply, Field(discriminator="kind")]


@dataclass(frozen=True, kw_only=True)
class SettingsSnapshot:
    """Snapshot of the settings store."""

    #: Version in force.
    version: int = 0
    #: The settings tree as an unchecked document.
    document: JsonValue = field(default_factory=dict)
    #: The latest accepted changes, oldest first.
    history: tuple[AcceptedChange, ...] = ()
    #: Stored replies, oldest first.
    answers: tuple[StoredReply, ...] = ()


class SettingsStore:
    """The settings tree, changed by commands in the order of the log."""

    def __init__(self, snapshot: SettingsSnapshot) -> None:
        self.version = snapshot.version
        self.document = snapshot.document
        self.tree = _require_tree(snapshot.document)
        self._history = list(snapshot.history)
        self._replies = {stored.change: stored.reply for stored in snapshot.answers}

    def snapshot(self) -> SettingsSnapshot:
        """Return the whole store as a snapshot."""
        return SettingsSnapshot(
            version=self.version,
            document=self.document,
            history=tuple(self._history),
            answers=tuple(
                StoredReply(change=change, reply=reply) for change, reply in self._replies.items()
            ),
        )

    def change(self, command: ChangeSettings) -> ChangeReply:
        """Apply a change, or return the stored reply if its change id is known."""
        stored = self._replies.get(command.change)
        if stored is not None:
            return stored
        reply = self._decide(command)
        self._replies[command.change] = reply
        if len(self._replies) > MAX_STORED_REPLIES:
            del self._replies[next(iter(self._replies))]
        return reply

    def find_answer(self, change: str) -> ChangeReply | None:
        """Return the stored reply to a change id, or None."""
        return self._replies.get(change)

    def history(self) -> tuple[AcceptedChange, ...]:
        """Return the accepted changes in the history, oldest first."""
        return tuple(self._history)

    def changes_after(self, version: int) -> tuple[AcceptedChange, ...] | None:
        """Return the changes after a version, or None if the history lacks some of them."""
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
        if not isinstance(checked, SettingsTree):
            return ChangeRefused(findings=checked)
        self._accept(command, document, checked)
        return ChangeAccepted(version=self.version)

    def _accept(self, command: ChangeSettings, document: JsonValue, tree: SettingsTree) -> None:
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
        del self._history[: max(0, len(self._history) - MAX_HISTORY_LENGTH)]


def _require_tree(document: JsonValue) -> SettingsTree:
    checked = check_tree(document)
    if isinstance(checked, SettingsTree):
        return checked
    raise SettingsError(checked)


def merge_changes(document: JsonValue, changes: Iterable[AcceptedChange]) -> JsonValue:
    """Return the document after applying accepted changes."""
    for change in changes:
        document = apply_edits(document, change.edits)
    return document
