"""The settings in force at this entry."""

import threading
from collections.abc import Mapping
from dataclasses import field

from pydantic import JsonValue

from damsonlane.cluster import AcceptedChange, merge_changes
from damsonlane.errors import UnsupportedSettingsError
from damsonlane.records import dataclass
from damsonlane.settings import SettingsTree, check_tree


@dataclass(frozen=True, kw_only=True)
class SettingsInForce:
    """One version of the settings, checked and indexed."""

    #: The version; 0 before any was confirmed.
    version: int = 0
    #: The tree as written.
    document: JsonValue = field(default_factory=dict)
    #: The tree, checked.
    tree: SettingsTree = field(default_factory=SettingsTree)
    #: Organisation of each token digest.
    owners: Mapping[str, str] = field(default_factory=dict)


class SettingsView:
    """Holds the settings in force, whose version only rises; safe for use by many threads."""

    def __init__(self) -> None:
        self._current = SettingsInForce()
        self._lock = threading.Lock()
        self.is_confirmed = False

    @property
    def current(self) -> SettingsInForce:
        """The settings in force."""
        return self._current

    def replace(self, version: int, document: JsonValue) -> bool:
        """Put a whole tree in force if it is newer; return whether it was."""
        with self._lock:
            if version <= self._current.version:
                return False
            self._current = _index(version, document)
            return True

    def merge(self, changes: tuple[AcceptedChange, ...]) -> bool:
        """Put further changes in force; return whether any is newer than the current version.

        Changes that do not continue the current version are ignored.
        """
        with self._lock:
            current = self._current
            newer = tuple(change for change in changes if change.version > current.version)
            if not newer or newer[0].version != current.version + 1:
                return False
            document = merge_changes(current.document, newer)
            self._current = _index(newer[-1].version, document)
            return True

    def confirm(self) -> None:
        """Record that a quorum confirmed a version since this process started."""
        self.is_confirmed = True


def _index(version: int, document: JsonValue) -> SettingsInForce:
    tree = check_tree(document)
    if not isinstance(tree, SettingsTree):
        raise UnsupportedSettingsError(
            f"version {version} of the settings is not understood; this process is older than "
            f"control and needs an upgrade: {tree[0].render()}"
        )
    owners = {
        digest: name
        for name, organisation in tree.organisations.items()
        for digest in organisation.token_digests
    }
    return SettingsInForce(version=version, document=document, tree=tree, owners=owners)
