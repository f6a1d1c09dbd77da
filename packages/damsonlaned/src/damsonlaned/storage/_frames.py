"""Frames: records of a file with a checksum, so that incomplete or damaged ones are detected."""

import struct
import zlib
from collections.abc import Iterator
from typing import Final

from damsonlane.records import dataclass

_MAGIC: Final = b"DLF1"
#: Magic number, length of the payload, and CRC-32 of the length and the payload.
_HEADER: Final = struct.Struct(">4sII")


@dataclass(frozen=True, kw_only=True)
class Frame:
    """A frame that is complete and undamaged."""

    #: Byte offset of its first byte.
    offset: int
    #: Byte offset after its last byte.
    end: int
    #: Its content.
    payload: bytes


def encode_frame(payload: bytes) -> bytes:
    """Return the payload as a frame."""
    return _HEADER.pack(_MAGIC, len(payload), _checksum(payload)) + payload


def read_frame(data: bytes, offset: int) -> Frame | None:
    """Return the frame at ``offset``, or None if no valid frame starts there."""
    if len(data) - offset < _HEADER.size:
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    payload = data[start : start + length]
    if magic != _MAGIC or len(payload) < length or _checksum(payload) != checksum:
        return None
    return Frame(offset=offset, end=start + length, payload=payload)


def read_frames(data: bytes) -> Iterator[Frame]:
    """Yield frames from the start of the data up to the first invalid one."""
    offset = 0
    while (frame := read_frame(data, offset)) is not None:
        yield frame
        offset = frame.end


def find_frame(data: bytes, offset: int) -> int | None:
    """Return the offset of the first valid frame at or after ``offset``, or None."""
    while (offset := data.find(_MAGIC, offset)) >= 0:
        if read_frame(data, offset) is not None:
            return offset
        offset += 1
    return None


def _checksum(payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(struct.pack(">I", len(payload))))
