"""Durable storage: the data folder with the identity and the journal of a replica."""

from damsonlaned.storage._folder import DataFolder
from damsonlaned.storage._frames import encode_frame, find_frame, read_frame, read_frames
from damsonlaned.storage._identity import (
    Identity,
    draw_identity,
    read_identity,
    write_identity,
)
from damsonlaned.storage._journal import Journal

__all__ = [
    "DataFolder",
    "Identity",
    "Journal",
    "draw_identity",
    "encode_frame",
    "find_frame",
    "read_frame",
    "read_frames",
    "read_identity",
    "write_identity",
]
