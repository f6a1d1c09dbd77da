"""Several connected entries in one process, with the same targets."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from grpclib.server import Server

from damsonlane.routes import RoutingDocument
from damsonlane.targets import TargetRecord
from damsonlane_rpc import RpcService
from damsonlaned.connections import LoanService
from damsonlaned.gateway._pool_service import PoolService
from damsonlaned.gateway.tests.harness import Entry, make_box_record
from damsonlaned.gateway.tests.test_links import serve
from damsonlaned.tests.addresses import find_free_addresses
from damsonlaned.versions import OriginService


class Fleet:
    """Entries that control lists for each other.

    Args:
        count: number of entries.
        document: routing document in force at all of them.
    """

    def __init__(self, count: int, document: RoutingDocument) -> None:
        addresses = find_free_addresses(count)
        self.entries = [Entry(document, address=address) for address in addresses]
        self._servers: list[Server] = []
        #: The entries that control lists.
        self.listed = self.entries

    async def start(
        self, test: unittest.IsolatedAsyncioTestCase, records: Sequence[TargetRecord]
    ) -> None:
        """Start all entries; the test stops them."""
        for entry in self.entries:
            service = PoolService(entry.owners, entry.placers, entry.view.limits)
            handlers = {
                **service.handlers(),
                **entry.relay_service.handlers(),
                **OriginService(entry.origins).handlers(),
                **LoanService(entry.connections).handlers(),
            }
            entry.on_reach = lambda _: self.list_entries(self.listed)
            self._servers.append(await serve(test, entry.address, RpcService(handlers)))
        for entry in self.entries:
            await entry.start(*records)
            test.addAsyncCleanup(entry.stop)
            test.addAsyncCleanup(entry.pools.stop)
        self.list_entries(self.entries)

    async def stop_serving(self, index: int) -> None:
        """Have one entry send nothing more to the others, and accept no connections of theirs."""
        self._servers[index].close()
        await self._servers[index].wait_closed()

    def list_entries(self, entries: Sequence[Entry]) -> None:
        """Let control list these entries to all entries."""
        self.listed = list(entries)
        listed = tuple(
            replace(make_box_record(entry.address), unreached=entry.reach.list_unreached())
            for entry in entries
        )
        for entry in self.entries:
            entry.view.put_entries(listed)

    def put_targets(self, *records: TargetRecord) -> None:
        """Let control list these targets to all entries."""
        for entry in self.entries:
            entry.put_targets(*records)
