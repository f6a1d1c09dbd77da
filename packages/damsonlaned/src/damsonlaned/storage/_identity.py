"""Who a data folder belongs to, written once."""

import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from pydantic import ValidationError

from damsonlane.codec import decode_bytes, encode_bytes
from damsonlane.errors import CorruptionError, StorageError
from damsonlaned.storage._files import replace_file

_NAME: Final = "identity"


@dataclass(frozen=True, kw_only=True)
class Identity:
    """The identity of a control replica."""

    #: Name of the replica: its box and an incarnation that is never drawn again.
    replica: str
    #: Identity of its group; empty until it is founded or admitted.
    cluster: str = ""

    def with_cluster(self, cluster: str) -> "Identity":
        """Return the identity as a member of a group."""
        return Identity(replica=self.replica, cluster=cluster)


def read_identity(folder: Path) -> Identity | None:
    """Return the identity of a folder, or None when it has none.

    Raises:
        CorruptionError: the file is damaged.
    """
    path = folder / _NAME
    if not path.exists():
        return None
    try:
        return decode_bytes(path.read_bytes(), Identity)
    except ValidationError:
        raise CorruptionError(str(path), 0, "not an identity") from None


def write_identity(folder: Path, identity: Identity) -> None:
    """Store the identity of a folder.

    Raises:
        StorageError: the disk refused.
    """
    path = folder / _NAME
    try:
        replace_file(path, encode_bytes(identity, Identity))
    except OSError as error:
        raise StorageError(f"{path}: cannot be written: {error.strerror}") from None


def draw_identity(box: str) -> Identity:
    """Return a new identity for a box, which waits to be admitted."""
    return Identity(replica=f"{box}.{secrets.token_hex(6)}")
