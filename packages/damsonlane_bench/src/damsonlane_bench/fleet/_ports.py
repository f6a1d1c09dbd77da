"""Free ports for the processes of one test, which no other test is given meanwhile."""

import random
import socket
from typing import Final

#: Below the range from which the system takes ports for outgoing connections.
_FIRST: Final = 20_000
_LAST: Final = 32_000
_HOST: Final = "127.0.0.1"

#: A datagram socket on each port that was handed out, held until this process ends.  Two
#: processes can't hold one port, and the box that listens there for connections does not
#: mind.  Without it tests side by side were given the same port before either had used it.
_held: Final[dict[int, socket.socket]] = {}


def take_address() -> str:
    """Return a loopback address that nothing listens on and that nobody else was given."""
    while True:
        port = random.SystemRandom().randint(_FIRST, _LAST)
        if _is_free(port) and reserve_port(port):
            return f"{_HOST}:{port}"


def reserve_port(port: int) -> bool:
    """Reserve a port for this process; tell whether nobody has it."""
    holder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        holder.bind((_HOST, port))
    except OSError:
        holder.close()
        return False
    _held[port] = holder
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
        return True
