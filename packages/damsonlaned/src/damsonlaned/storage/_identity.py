"""The identity of the replica that a data folder belongs to."""

import secrets
from pathlib import Path
from typing import Final

from pydantic import ValidationError

from damsonlane.codec import decode_bytes, encode_bytes
from damsonlane.errors import CorruptionError, StorageError
from damsonlane.records import dataclass
from damsonlaned.storage._files import replace_file

_NAME: Final = "identity"


@dataclass(frozen=True, kw_only=True)
class Identity:
    """The identity of a control replica."""

    #: Name of the replica: the name of its box and a random suffix, drawn anew each time.
    replica: str
    #: Identity of its group; empty until the replica founds or joins one.
    cluster: str = ""

    def with_cluster(self, cluster: str) -> "Identity":
        """Return the identity with that of its group."""
        return Identity(replica=self.replica, cluster=cluster)


def read_identity(folder: Path) -> Identity | None:
    """Return the identity stored in a folder, or None if there is none.

    Raises:
        CorruptionError: the file is damaged.
    """
    path = folder / _NAME
    if not path.exists():
        return None
    try:
        return decode_bytes(path.read_bytes(), Identity)
    except ValidationError:
        raise CorruptionError(str(path), 0, "not a valid identity") from None


def write_identity(folder: Path, identity: Identity) -> None:
    """Store an identity in a folder.

    Raises:
        StorageError: the write failed.
    """
    path = folder / _NAME
    try:
        replace_file(path, encode_bytes(identity, Identity))
    except OSError as error:
        raise StorageError(f"{path}: cannot be written: {error.strerror}") from None


def draw_identity(box: str) -> Identity:
    """Return a new random identity for a box, without a group."""
    return Identity(replica=f"{box}.{secrets.token_hex(6)}")
