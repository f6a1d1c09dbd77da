"""Frozen data classes as gRPC messages."""

from dataclasses import dataclass
from typing import Any, Final

from grpclib.encoding.base import CodecBase

from damsonlane.codec import decode_bytes, encode_bytes


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
    """Carries data classes as JSON; the classes themselves are the schema."""

    __content_subtype__: Final = "json"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return ``message`` as bytes."""
        data = encode_bytes(message, message_type)
        TRAFFIC.messages_sent += 1
        TRAFFIC.bytes_sent += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in ``data``."""
        TRAFFIC.messages_received += 1
        TRAFFIC.bytes_received += len(data)
        return decode_bytes(data, message_type)
