"""The part of the replicated log that follows the last snapshot."""

from collections.abc import Callable, Sequence

from damsonlane.consensus._messages import LogEntry, Members, Snapshot


class Log:
    """The last snapshot and the entries after it, in memory; the disk holds the same."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[LogEntry]) -> None:
        self.snapshot = snapshot
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
        """Replace everything by a snapshot."""
        self.snapshot = snapshot
        self._entries.clear()
        self._member_changes.clear()

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot."""
        self._entries = list(self.between(snapshot.index + 1, self.last_index))
        self.snapshot = snapshot
        self._filter_member_changes(lambda entry: entry.index > snapshot.index)

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
