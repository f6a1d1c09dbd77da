"""Batches the handles of results to free."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Final

#: Seconds for which handles are collected into one call.
BATCH_SECONDS: Final = 0.005


class FreedResults:
    """Collects the handles of results to free, by the address of their target.

    Args:
        read_address: returns the address of the target that holds a result, by its handle.
        send: called with the collected handles by address.
    """

    def __init__(
        self,
        read_address: Callable[[str], str],
        send: Callable[[Mapping[str, Sequence[str]]], None],
    ) -> None:
        self._read_address: Final = read_address
        self._send: Final = send
        self._handles: dict[str, list[str]] = {}

    def add(self, handles: Sequence[str]) -> None:
        """Add handles to the batch; the first one starts its timer."""
        for handle in handles:
            address = self._read_address(handle)
            if not self._handles:
                asyncio.get_running_loop().call_later(BATCH_SECONDS, self._send_all)
            self._handles.setdefault(address, []).append(handle)

    def _send_all(self) -> None:
        handles, self._handles = self._handles, {}
        self._send(handles)
