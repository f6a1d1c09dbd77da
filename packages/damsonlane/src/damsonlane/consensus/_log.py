"""The part of the replicated log that follows the last snapshot."""

from collections.abc import Callable, Sequence

from damsonlane.consensus._messages import HardState, LogEntry, Members, Snapshot
from damsonlane.consensus._stored import PersistentState
from damsonlane.errors import GroupChangeError


class Log:
    """The last snapshot and the entries after it, in memory; the disk holds the same."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[LogEntry]) -> None:
        self.snapshot = snapshot
        #: Index of the last entry that is known to be committed.
        self.commit = snapshot.index
        self._applied = snapshot.index
        self._entries = list(entries)
        self._member_changes = [entry for entry in entries if isinstance(entry.body, Members)]

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot when there is none after it."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def members(self) -> Members:
        """Latest members in the log, committed or not."""
        entry = self.members_entry()
        if entry is not None and isinstance(entry.body, Members):
            return entry.body
        return self.snapshot.members

    def is_members_committed(self) -> bool:
        """Return whether the latest members are committed, so that no leader can undo them."""
        entry = self.members_entry()
        return entry is None or entry.index <= self.commit

    def raise_commit(self, index: int) -> None:
        """Record that the entries up to ``index`` are committed."""
        self.commit = max(self.commit, index)

    def take_committed(self) -> tuple[LogEntry, ...]:
        """Return the committed entries that were not returned before, to be applied."""
        entries = self.between(self._applied + 1, self.commit)
        self._applied = self.commit
        return entries

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        offset = self.snapshot.index + 1
        return tuple(self._entries[first - offset : last + 1 - offset])

    def append(self, entry: LogEntry) -> None:
        """Add an entry at the end."""
        self._entries.append(entry)
        if isinstance(entry.body, Members):
            self._member_changes.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all entries after it."""
        del self._entries[index - self.snapshot.index - 1 :]
        self._filter_member_changes(lambda entry: entry.index < index)

    def replace(self, snapshot: Snapshot) -> None:
        """Replace everything by a snapshot, which is committed and applied by itself."""
        self.snapshot = snapshot
        self.commit = snapshot.index
        self._applied = snapshot.index
        self._entries.clear()
        self._member_changes.clear()

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot."""
        self._entries = list(self.between(snapshot.index + 1, self.last_index))
        self.snapshot = snapshot
        self._filter_member_changes(lambda entry: entry.index > snapshot.index)

    def make_snapshot(self, index: int, state: str) -> Snapshot:
        """Return the snapshot of the state after an entry.

        Raises:
            GroupChangeError: the entry is not in the log.
        """
        term = self.term_at(index)
        if term is None:
            raise GroupChangeError(f"entry {index} is not in the log")
        return Snapshot(index=index, term=term, members=self.members_at(index), state=state)

    def persistent_state(self, hard_state: HardState) -> PersistentState:
        """Return everything that the disk should hold: the log, and a term and vote."""
        entries = self.between(self.snapshot.index + 1, self.last_index)
        return PersistentState(hard_state=hard_state, snapshot=self.snapshot, entries=entries)

    def members_entry(self) -> LogEntry | None:
        """Return the last membership change after the snapshot, or None."""
        return self._member_changes[-1] if self._member_changes else None

    def members_at(self, index: int) -> Members:
        """Return the members in force after the entry at ``index``."""
        for entry in reversed(self._member_changes):
            if entry.index <= index and isinstance(entry.body, Members):
                return entry.body
        return self.snapshot.members

    def _filter_member_changes(self, is_kept: Callable[[LogEntry], bool]) -> None:
        """Drop the membership changes whose entries were removed from the log."""
        self._member_changes = [entry for entry in self._member_changes if is_kept(entry)]
