"""Which entry sent a request, and whether the path between that entry and a target is cut."""

import json
from pathlib import Path
from typing import Final, Literal

from damsonlane_bench.registered_target._sockets import find_inode

#: What becomes of the requests of an entry that is cut off: held back until the end of the cut, or
#: their connections reset.
CutForm = Literal["hang", "reset"]


def write_senders(path: Path, pids: dict[str, int], cuts: dict[str, CutForm]) -> None:
    """Write the file that targets read.

    Args:
        path: the file.
        pids: process of each entry.
        cuts: entries that are cut off.
    """
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps({"pids": pids, "cuts": cuts}))
    temporary.replace(path)


class Senders:
    """Finds the entry at the other end of a connection by its process.

    Args:
        path: the file that `write_senders` writes; None where nothing is cut.
        port: port at which the target listens.
    """

    def __init__(self, path: Path | None, port: int) -> None:
        self._path: Final = path
        self._port: Final = port
        self._pids: dict[str, int] = {}
        self._cuts: dict[str, CutForm] = {}
        self._read_at = 0
        self._known: dict[int, str] = {}

    def find(self, port: int) -> str:
        """Return the entry that has a local port; an empty string if it is not known."""
        self._refresh()
        if self._path is None or not self._pids:
            return ""
        if port not in self._known:
            self._known[port] = self._find_by_process(port)
        return self._known[port]

    def find_cut(self, entry: str) -> CutForm | None:
        """Return how an entry is cut off, or None if it is not."""
        self._refresh()
        return self._cuts.get(entry)

    def _refresh(self) -> None:
        if self._path is None or not self._path.exists():
            return
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._read_at:
            content = json.loads(self._path.read_text())
            self._pids, self._cuts = content["pids"], content["cuts"]
            self._read_at = changed_at
            self._known.clear()

    def _find_by_process(self, port: int) -> str:
        inode = find_inode(port, self._port)
        for entry, pid in self._pids.items():
            if inode and _has_socket(pid, inode):
                return entry
        return ""


def _has_socket(pid: int, inode: int) -> bool:
    """Return whether a process has a socket open."""
    name = f"socket:[{inode}]"
    try:
        return any(link.readlink().name == name for link in Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return False
