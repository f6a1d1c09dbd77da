"""Run one stand-in: ``python -m damsonlane_bench.standin --address 127.0.0.1:9001``."""

import signal
import threading

import fire
from cheroot import wsgi

from damsonlane_bench.standin import Behaviour, StandIn

#: Requests that are accepted at the same time, with those that wait for a slot.
_THREADS = 100


class _Server(wsgi.Server):
    """A server that logs no errors, since injected faults would fill the log."""

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Discard a message."""


def run(address: str, threads: int = _THREADS, **behaviour: object) -> None:
    """Run a stand-in until SIGTERM.

    Args:
        address: IP address and port at which it listens.
        threads: requests that are accepted at the same time.
        behaviour: fields of `Behaviour`.
    """
    host, _, port = address.rpartition(":")
    application = StandIn(Behaviour().with_fields(**behaviour))
    server = _Server(
        (host, int(port)), application, numthreads=threads, max=threads, request_queue_size=512
    )
    signal.signal(signal.SIGTERM, lambda *_: threading.Thread(target=server.stop).start())
    server.safe_start()


if __name__ == "__main__":
    fire.Fire(run)
