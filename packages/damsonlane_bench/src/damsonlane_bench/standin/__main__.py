"""Runs one stand-in: ``python -m damsonlane_bench.standin --address 127.0.0.1:9001``."""

import signal
import threading

import fire
from cheroot import wsgi

from damsonlane_bench.standin import Behaviour, StandIn

#: Requests held at once, the waiting ones included.
_THREADS = 100


class _Server(wsgi.Server):
    """A server without messages of its own, so that planned faults stay quiet."""

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Drop a message."""


def run(address: str, threads: int = _THREADS, **behaviour: object) -> None:
    """Run a stand-in until it is told to stop.

    Args:
        address: IP number and port.
        threads: requests held at once.
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
