"""A configuration kept as one whole document, of which the highest version holds.

This is the second mode beside the settings tree, whose changes name the
version they were made on.  The text is kept as it was sent, compressed, since
it is read back as sent and hundreds of versions pass through the log a day.
"""

import base64
import zlib
from dataclasses import dataclass
from typing import Final, Literal

#: Compression level; a document of 300 KB shrinks to about a tenth in some milliseconds.
_LEVEL: Final = 6


@dataclass(frozen=True, kw_only=True)
class PackedDocument:
    """A document at a version, compressed."""

    #: Its version; 0 when there is none.
    version: int = 0
    #: The text as it was sent: deflated, then base 64.
    packed: str = ""

    @classmethod
    def pack(cls, version: int, text: bytes) -> "PackedDocument":
        """Return a document from its text."""
        return cls(version=version, packed=base64.b64encode(zlib.compress(text, _LEVEL)).decode())

    def unpack(self) -> bytes:
        """Return the text as it was sent."""
        return zlib.decompress(base64.b64decode(self.packed)) if self.packed else b""


@dataclass(frozen=True, kw_only=True)
class ReplaceDocument:
    """Put a document in force unless one of its version or a higher one is."""

    kind: Literal["replace-document"] = "replace-document"
    #: The document.
    document: PackedDocument


@dataclass(frozen=True, kw_only=True)
class DocumentNoted:
    """The reply: the sender may take the document as accepted."""

    kind: Literal["document-noted"] = "document-noted"
    #: Version in force now.
    version: int
    #: Whether this command put it in force.
    is_changed: bool


class DocumentStore:
    """The document in force."""

    def __init__(self, document: PackedDocument | None = None) -> None:
        self.document = document or PackedDocument()

    def replace(self, command: ReplaceDocument) -> DocumentNoted:
        """Apply one command."""
        is_newer = command.document.version > self.document.version
        if is_newer:
            self.document = command.document
        return DocumentNoted(version=self.document.version, is_changed=is_newer)
