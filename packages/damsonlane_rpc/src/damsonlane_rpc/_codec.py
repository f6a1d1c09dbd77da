"""Frozen data classes as gRPC messages."""

import zlib
from dataclasses import dataclass
from typing import Any, Final

from grpclib.encoding.base import CodecBase

from damsonlane.codec import decode_bytes, encode_bytes

#: Bytes from which on a message is compressed.  Lists of targets and orders of pieces
#: repeat their names and shrink to a sixth; below this the saving is less than a packet.
COMPRESSED_BYTES: Final = 512
#: Compression level: the least, since a message waits while it is compressed.
_LEVEL: Final = 1
#: First byte of what zlib makes; a message in JSON never begins with it.
_COMPRESSED: Final = b"\x78"


@dataclass
class Traffic:
    """What one process said to others and heard from them; mutable counts."""

    #: Messages sent.
    messages_sent: int = 0
    #: Bytes of their bodies.
    bytes_sent: int = 0
    #: Messages received.
    messages_received: int = 0
    #: Bytes of their bodies.
    bytes_received: int = 0


#: Counts of this process, for its metrics.
TRAFFIC: Final = Traffic()


class DataclassCodec(CodecBase):
    """Carries data classes as JSON, compressed where it is long.

    The classes themselves are the schema.
    """

    __content_subtype__: Final = "json"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return ``message`` as bytes."""
        data = encode_bytes(message, message_type)
        if len(data) >= COMPRESSED_BYTES:
            data = zlib.compress(data, _LEVEL)
        TRAFFIC.messages_sent += 1
        TRAFFIC.bytes_sent += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in ``data``."""
        TRAFFIC.messages_received += 1
        TRAFFIC.bytes_received += len(data)
        if data.startswith(_COMPRESSED):
            data = zlib.decompress(data)
        return decode_bytes(data, message_type)
