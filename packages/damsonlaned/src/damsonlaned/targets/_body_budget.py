"""Limits the bytes of bodies that threads collect at the same time."""

import contextlib
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Final

from damsonlaned.http import CollectionBudget

#: Records how many bytes of a body are collected; returns whether it may go on.
RecordSize = Callable[[int], bool]


class BodyBudget:
    """Limits what all bodies together hold in memory; the largest one is given up first.

    Args:
        budget: the limit; used under a lock.
    """

    def __init__(self, budget: CollectionBudget | None = None) -> None:
        self._budget: Final = budget or CollectionBudget()
        self._lock: Final = threading.Lock()

    @contextlib.contextmanager
    def collect(self, open_socket: socket.socket | None) -> Iterator[RecordSize]:
        """Count a body that is collected.

        Args:
            open_socket: where it arrives; shut down if it is given up.  None if it has arrived.
        """
        is_given_up = threading.Event()

        def give_up() -> None:
            is_given_up.set()
            if open_socket is not None:
                # The other thread may have closed it.
                with contextlib.suppress(OSError):
                    open_socket.shutdown(socket.SHUT_RDWR)

        def record(size: int) -> bool:
            with self._lock:
                self._budget.record(give_up, size)
            return not is_given_up.is_set()

        try:
            yield record
        finally:
            record(0)
