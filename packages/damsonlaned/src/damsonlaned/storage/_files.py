"""Durable writes of files."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that files created or renamed in it survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Replace the content of a file atomically and sync it.

    After a crash the file holds either the old or the new content.
    """
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
