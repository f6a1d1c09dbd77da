"""The admin server of a box: metrics, liveness and readiness."""

from collections.abc import Callable
from typing import Final

from damsonlaned.http import (
    BufferGuard,
    HttpListener,
    HttpRequest,
    HttpResponse,
    ListenerLimits,
    ResponseWriter,
)
from damsonlaned.metrics import Metrics

#: Limits of a connection whose calls have no body, as all of an admin or readiness address.
BODILESS_LIMITS: Final = ListenerLimits(body_bytes=16 * 1024)

#: Limit of the bytes that are buffered for callers of the admin address.
BUFFER_BYTES: Final = 8 * 2**20

_TEXT: Final = ((b"Content-Type", b"text/plain"),)


class AdminServer:
    """Serves ``/metrics``, ``/livez`` and ``/readyz``.

    Args:
        address: address to listen on.
        metrics: the metrics to serve.
        is_ready: returns whether the process is ready to serve.
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
        self._listener: Final = HttpListener(
            address,
            self._handle,
            limits=lambda: BODILESS_LIMITS,
            render_refusal=_render_text,
            guard=BufferGuard(
                BUFFER_BYTES, lambda reason: metrics.slow_callers.inc({"reason": reason})
            ),
        )

    async def start(self) -> None:
        """Start serving.

        Raises:
            StorageError: cannot listen on the address.
        """
        await self._listener.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._listener.stop()

    async def _handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        if request.path == "/metrics":
            self._refresh()
            body = self._metrics.render()
            writer.send_response(HttpResponse(status=200, headers=_TEXT, body=body))
        elif request.path == "/livez" or (request.path == "/readyz" and self._is_ready()):
            writer.send_response(_render_text(200, "ok"))
        elif request.path == "/readyz":
            writer.send_response(_render_text(503, "not ready"))
        else:
            writer.send_response(_render_text(404, "see /metrics, /livez and /readyz"))


def _render_text(status: int, detail: str) -> HttpResponse:
    return HttpResponse(status=status, headers=_TEXT, body=f"{detail}\n".encode())
