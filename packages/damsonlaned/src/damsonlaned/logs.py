"""Logs as JSON lines on standard output, without secrets and without the content of requests.

A reader that stalls must not block the process, so lines that the pipe does not accept at once
are kept in a bounded buffer; lines that don't fit are dropped and counted.
"""

import contextlib
import logging
import os
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

_FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
#: Size of the buffer for lines that the pipe did not accept yet, in bytes.
_BUFFER_BYTES: Final = 256 * 1024


class NonBlockingHandler(logging.Handler):
    """Writes log lines to a file descriptor without waiting for its reader.

    Args:
        descriptor: file descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor: Final = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop and count it if the buffer is full."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._dropped and len(self._buffer) < _BUFFER_BYTES:
            count, self._dropped = self._dropped, 0
            self._buffer += b'{"message": "log lines dropped", "count": %d}\n' % count
        if len(self._buffer) + len(line) > _BUFFER_BYTES:
            self._dropped += 1
        else:
            self._buffer += line
        self._write_buffer()

    def _write_buffer(self) -> None:
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]


def configure_logs(box: str, role: str) -> None:
    """Write all logs to standard output as JSON lines with the name and role of the box."""
    handler = NonBlockingHandler(sys.stdout.fileno())
    formatter = JsonFormatter(
        _FIELDS,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"box": box, "role": role},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    for library in ("urllib3", "grpclib", "hpack", "asyncio"):
        logging.getLogger(library).setLevel(logging.ERROR)


class LogRateLimiter:
    """Limits the rate of a log line, and counts the lines that are suppressed.

    Args:
        seconds: least time between two lines, in seconds.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds: Final = seconds
        self._next_at = 0.0
        self._suppressed = 0

    def admit(self, now: float) -> int | None:
        """Return how many lines were suppressed since the last one, or None to suppress this."""
        if now < self._next_at:
            self._suppressed += 1
            return None
        self._next_at = now + self._seconds
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
