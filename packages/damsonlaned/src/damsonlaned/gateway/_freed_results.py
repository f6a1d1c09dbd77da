"""Results that were given up, until their makers are told."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Final

#: Seconds over which results that were given up are collected into one call.
FREE_SECONDS: Final = 0.005


class FreedResults:
    """Collects for a moment the results that were given up.

    Args:
        read_maker: returns the address of the target that has a result, by its handle.
        send: called with what was collected, by address.
    """

    def __init__(
        self,
        read_maker: Callable[[str], str],
        send: Callable[[Mapping[str, Sequence[str]]], None],
    ) -> None:
        self._read_maker: Final = read_maker
        self._send: Final = send
        self._handles: dict[str, list[str]] = {}

    def add(self, handles: Sequence[str]) -> None:
        """Collect results; the first one sets when all are sent."""
        for handle in handles:
            address = self._read_maker(handle)
            if not self._handles:
                asyncio.get_running_loop().call_later(FREE_SECONDS, self._send_all)
            self._handles.setdefault(address, []).append(handle)

    def _send_all(self) -> None:
        handles, self._handles = self._handles, {}
        self._send(handles)
