"""Writing files so that they count."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that names made or changed in it last."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Write a file whole: at any moment the old or the new content is there."""
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
