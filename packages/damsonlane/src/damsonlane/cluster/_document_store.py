"""Configuration as one whole document; the highest version is in force.

This is the alternative to the settings tree, whose changes name the version that
they are based on.  The text is stored unparsed, since readers get it byte for byte,
and compressed, since every version passes through the log.
"""

import base64
import zlib
from typing import Final, Literal

from damsonlane.records import dataclass

#: Compression level of zlib; it shrinks a document of 300 KB to about a tenth in some milliseconds.
_COMPRESSION_LEVEL: Final = 6


@dataclass(frozen=True, kw_only=True)
class PackedDocument:
    """One version of the document, compressed."""

    #: Version of the document; 0 if there is none yet.
    version: int = 0
    #: The text as received: compressed by zlib, then encoded in base64.
    packed: str = ""

    @classmethod
    def pack(cls, version: int, text: bytes) -> "PackedDocument":
        """Return the document with a version and a text."""
        return cls(
            version=version,
            packed=base64.b64encode(zlib.compress(text, _COMPRESSION_LEVEL)).decode(),
        )

    def unpack(self) -> bytes:
        """Return the text as received."""
        return zlib.decompress(base64.b64decode(self.packed)) if self.packed else b""


@dataclass(frozen=True, kw_only=True)
class ReplaceDocument:
    """Put a document in force, unless one of the same or a higher version is in force."""

    kind: Literal["replace-document"] = "replace-document"
    #: The document.
    document: PackedDocument


@dataclass(frozen=True, kw_only=True)
class DocumentRecorded:
    """Reply to `ReplaceDocument`: the document counts as accepted."""

    kind: Literal["document-noted"] = "document-noted"
    #: Version in force.
    version: int
    #: Whether the command put its document in force.
    is_changed: bool


class DocumentStore:
    """Stores the document in force."""

    def __init__(self, document: PackedDocument | None = None) -> None:
        self.document = document or PackedDocument()

    def replace(self, command: ReplaceDocument) -> DocumentRecorded:
        """Apply one command."""
        is_newer = command.document.version > self.document.version
        if is_newer:
            self.document = command.document
        return DocumentRecorded(version=self.document.version, is_changed=is_newer)
