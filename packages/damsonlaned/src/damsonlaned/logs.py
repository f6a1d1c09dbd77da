"""Logs as JSON lines on standard output, without secrets and without the content of requests.

A reader that stalls must not stop a process, so lines that the pipe does not
take at once wait in a bounded buffer, and what does not fit is counted.
"""

import contextlib
import logging
import os
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

_FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
#: Bytes of lines that may wait for the reader.
_BUFFER_BYTES: Final = 256 * 1024


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Args:
        descriptor: where to write; made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor: Final = descriptor
        self._waiting = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop and count it when too much waits already."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._dropped and len(self._waiting) < _BUFFER_BYTES:
            count, self._dropped = self._dropped, 0
            self._waiting += b'{"message": "log lines dropped", "count": %d}\n' % count
        if len(self._waiting) + len(line) > _BUFFER_BYTES:
            self._dropped += 1
        else:
            self._waiting += line
        self._write()

    def _write(self) -> None:
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            while self._waiting:
                written = os.write(self._descriptor, self._waiting)
                del self._waiting[:written]


def configure_logs(box: str, role: str) -> None:
    """Send all logs to standard output as JSON lines that name the box."""
    handler = BoundedHandler(sys.stdout.fileno())
    formatter = JsonFormatter(
        _FIELDS,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"box": box, "role": role},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    for noisy in ("urllib3", "grpclib", "hpack", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.ERROR)


class LineBound:
    """Lets through at most one line in some time, and counts the others.

    Args:
        seconds: time between two lines.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds: Final = seconds
        self._next_at = 0.0
        self._left_out = 0

    def admit(self, now: float) -> int | None:
        """Return the lines left out since the last one, or None if this one is left out too."""
        if now < self._next_at:
            self._left_out += 1
            return None
        self._next_at = now + self._seconds
        left_out, self._left_out = self._left_out, 0
        return left_out
