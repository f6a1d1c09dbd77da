"""The admin address: metrics and readiness."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from damsonlaned.metrics import Metrics
from damsonlaned.servers import HttpServer

_THREADS: Final = 2


class Admin:
    """Serves ``/metrics``, ``/livez`` and ``/readyz``.

    Args:
        address: where to listen.
        metrics: what is served.
        is_ready: tells whether the process does its work.
        refresh: called before metrics are rendered.
    """

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        refresh: Callable[[], None],
    ) -> None:
        self._metrics: Final = metrics
        self._is_ready: Final = is_ready
        self._refresh: Final = refresh
        self._server: Final = HttpServer(address, self._answer, _THREADS)

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _answer(self, environment: dict[str, Any], start: Any) -> Iterable[bytes]:
        path = environment["PATH_INFO"]
        status, body = "404 Not Found", b"see /metrics, /livez and /readyz\n"
        if path == "/metrics":
            self._refresh()
            status, body = "200 OK", self._metrics.render()
        elif path == "/livez" or (path == "/readyz" and self._is_ready()):
            status, body = "200 OK", b"ok\n"
        elif path == "/readyz":
            status, body = "503 Service Unavailable", b"not ready\n"
        start(status, [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))])
        return [body]
