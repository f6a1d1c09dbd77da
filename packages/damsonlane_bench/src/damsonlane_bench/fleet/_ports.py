"""Free ports for the processes of one test."""

import random
import socket
from typing import Final

#: Below the range from which the system takes ports for outgoing connections.
_FIRST: Final = 20_000
_LAST: Final = 32_000

_taken: set[int] = set()


def take_address() -> str:
    """Return a loopback address that nothing listens on and that was not handed out before."""
    while True:
        port = random.SystemRandom().randint(_FIRST, _LAST)
        if port not in _taken and _is_free(port):
            _taken.add(port)
            return f"127.0.0.1:{port}"


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
