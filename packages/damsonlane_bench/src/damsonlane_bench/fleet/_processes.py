"""Real processes, started and ended by their ids."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

#: Seconds after which a process that does not stop is killed.
_STOP_SECONDS: Final = 20.0
#: Lines of a log that a failed test shows.
_LOG_LINES: Final = 15


def find_program(name: str) -> str:
    """Return the path of one of the project's programs."""
    return str(Path(sys.executable).parent / name)


class Process:
    """One process, its output in a file."""

    def __init__(self, name: str, command: Sequence[str], log: Path) -> None:
        self.name: Final = name
        self.log: Final = log
        self._file = log.open("ab")
        self._log_begins_at = log.stat().st_size
        self._process = subprocess.Popen(command, stdout=self._file, stderr=self._file)

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def is_running(self) -> bool:
        """Tell whether it runs."""
        return self._process.poll() is None

    def has_written(self) -> bool:
        """Tell whether it has written anything, so that its own code runs."""
        return self.log.stat().st_size > self._log_begins_at

    def read_log_end(self) -> str:
        """Return the last lines that it wrote."""
        text = self.log.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-_LOG_LINES:])

    def kill(self) -> None:
        """End it at once, as a power cut would."""
        self._process.kill()
        self._close()

    def stop(self) -> int:
        """Ask it to stop and return its exit code."""
        if self.is_running():
            self._process.terminate()
        try:
            self._process.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
        return self._close()

    def terminate(self) -> None:
        """Ask it to stop, without waiting."""
        self._process.terminate()

    def wait(self) -> int:
        """Wait for its end and return its exit code."""
        return self._close()

    def signal(self, number: int) -> None:
        """Send it a signal."""
        self._process.send_signal(number)

    def freeze(self) -> None:
        """Stop its clock ticks, its messages and everything else."""
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        os.kill(self.pid, signal.SIGCONT)

    def _close(self) -> int:
        code = self._process.wait()
        self._file.close()
        return code
