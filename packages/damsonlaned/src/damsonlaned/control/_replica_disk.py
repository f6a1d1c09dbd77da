"""The identity and the journal of a replica on the disk of its box."""

from pathlib import Path
from typing import Final

from damsonlane.consensus import PersistentState
from damsonlane.errors import StorageError
from damsonlaned.storage import Identity, Journal, draw_identity, read_identity, write_identity


class ReplicaDisk:
    """The data folder of a control box, which has an identity and a journal from the first start.

    Args:
        folder: path of the data folder.
        name: name of the box.

    Raises:
        StorageError: the folder can't be used, or the journal is missing.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.journal: Final = Journal(folder)
        self._folder: Final = folder
        self._name: Final = name
        self.identity = self._open_identity()

    def join(self, cluster: str) -> None:
        """Store the identity of the group that this replica belongs to from now on."""
        self.identity = self.identity.with_cluster(cluster)
        write_identity(self._folder, self.identity)

    def found(self, stored: PersistentState, cluster: str) -> None:
        """Store the first state of a group, and then its identity."""
        self.journal.rewrite(stored)
        self.join(cluster)

    def reset(self) -> None:
        """Discard the stored state; the replica gets a new name and belongs to no group."""
        # The identity is replaced first: it makes the content of the old journal invalid.
        self.identity = draw_identity(self._name)
        write_identity(self._folder, self.identity)
        self.journal.create()

    def _open_identity(self) -> Identity:
        identity = read_identity(self._folder)
        if identity is None:
            # The journal is created first, so that a folder with an identity always has one.
            self.journal.create()
            identity = draw_identity(self._name)
            write_identity(self._folder, identity)
        if not self.journal.exists():
            raise StorageError(
                f"{self._folder}: the journal is missing; remove this replica from the group, "
                "empty the folder and admit it again"
            )
        return identity
