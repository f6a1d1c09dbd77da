"""Frozen data classes as gRPC messages."""

from typing import Any, Final

from damsonlane.codec import decode_bytes, encode_bytes
from grpclib.encoding.base import CodecBase


class DataclassCodec(CodecBase):
    """Carries data classes as JSON; the classes themselves are the schema."""

    __content_subtype__: Final = "json"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return ``message`` as bytes."""
        return encode_bytes(message, message_type)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in ``data``."""
        return decode_bytes(data, message_type)
