"""Encodes frozen data classes as gRPC messages."""

import zlib
from dataclasses import dataclass
from typing import Any, Final

from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError

from damsonlane.codec import decode_bytes, encode_bytes

#: Size from which on a message is compressed, in bytes; below it, less than one packet is saved.
MIN_COMPRESSED_BYTES: Final = 512
#: Largest message, in bytes before compression.  The largest one within the limits of callers and
#: operators is a relayed request with a body of 4 MiB that JSON escapes, six bytes for each.
MAX_MESSAGE_BYTES: Final = 32 * 2**20
#: The fastest level, since a message is delayed by its compression.
_COMPRESSION_LEVEL: Final = 1
#: First byte of zlib data; a JSON message never begins with it.
_ZLIB_PREFIX: Final = b"\x78"


@dataclass
class MessageCounters:
    """Mutable counts of the messages that one process sent and received."""

    messages_sent: int = 0
    #: Their size as sent, compressed or not, in bytes.
    bytes_sent: int = 0
    messages_received: int = 0
    #: Their size as received, compressed or not, in bytes.
    bytes_received: int = 0


#: The counts of this process, which its metrics show.
MESSAGE_COUNTERS: Final = MessageCounters()


class DataclassCodec(CodecBase):
    """Encodes data classes as JSON, and compresses large messages with zlib.

    The classes themselves are the schema.
    """

    __content_subtype__: Final = "json"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message."""
        data = encode_bytes(message, message_type)
        if len(data) >= MIN_COMPRESSED_BYTES:
            data = zlib.compress(data, _COMPRESSION_LEVEL)
        MESSAGE_COUNTERS.messages_sent += 1
        MESSAGE_COUNTERS.bytes_sent += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message.

        Raises:
            GRPCError: it is larger than MAX_MESSAGE_BYTES.
        """
        MESSAGE_COUNTERS.messages_received += 1
        MESSAGE_COUNTERS.bytes_received += len(data)
        if data.startswith(_ZLIB_PREFIX):
            data = _decompress(data)
        return decode_bytes(data, message_type)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    message = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail:
        raise GRPCError(Status.RESOURCE_EXHAUSTED, f"a message may have {MAX_MESSAGE_BYTES} bytes")
    if not decompressor.eof:
        raise zlib.error("the message is cut off")
    return message
