"""Processes of a fleet, started, signalled and stopped by their ids."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

#: Time that a process has to exit before it is killed, in seconds.
_STOP_TIMEOUT_SECONDS: Final = 20.0
#: Number of last lines of a log that a failed test shows.
_LOG_TAIL_LINES: Final = 15


def find_program(name: str) -> str:
    """Return the path of a program of the project in the active environment."""
    return str(Path(sys.executable).parent / name)


class Process:
    """A process with its output in a file.

    Args:
        name: its name in error messages.
        command: the program and its arguments.
        log: file to which its output is appended.
    """

    def __init__(self, name: str, command: Sequence[str], log: Path) -> None:
        self.name: Final = name
        self.log: Final = log
        self._file = log.open("ab")
        self._log_start = log.stat().st_size
        self._process = subprocess.Popen(command, stdout=self._file, stderr=self._file)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def is_running(self) -> bool:
        """Return whether it is running."""
        return self._process.poll() is None

    def has_output(self) -> bool:
        """Return whether it has written any output, that is, whether its own code runs."""
        return self.log.stat().st_size > self._log_start

    def read_log_tail(self) -> str:
        """Return the last lines of its output."""
        text = self.log.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-_LOG_TAIL_LINES:])

    def kill(self) -> None:
        """Kill it, as a power failure would."""
        self._process.kill()
        self._close()

    def stop(self) -> int:
        """Stop it gracefully, or kill it after a timeout, and return its exit code."""
        if self.is_running():
            self._process.terminate()
        try:
            self._process.wait(_STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
        return self._close()

    def terminate(self) -> None:
        """Send it SIGTERM without waiting for its exit."""
        self._process.terminate()

    def wait(self) -> int:
        """Wait for its exit and return its exit code."""
        return self._close()

    def signal(self, number: int) -> None:
        """Send it a signal."""
        self._process.send_signal(number)

    def suspend(self) -> None:
        """Suspend it (SIGSTOP)."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume it after `suspend` (SIGCONT)."""
        os.kill(self.pid, signal.SIGCONT)

    def _close(self) -> int:
        code = self._process.wait()
        self._file.close()
        return code
