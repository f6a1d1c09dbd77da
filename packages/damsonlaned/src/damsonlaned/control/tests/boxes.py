"""Control boxes on loopback ports in one process, for tests of the control group."""

import asyncio
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from damsonlane.settings import BoxSettings, Founding
from damsonlane_rpc import ControlClient, DataclassCodec, Endpoint, RpcService
from damsonlaned.control import ControlNode, ControlService, FollowService, GroupManager
from damsonlaned.control._rate_limits import RateLimitService
from damsonlaned.storage import DataFolder
from damsonlaned.tests.addresses import find_free_addresses

#: Seconds after which a condition that a test waits for counts as failed.
TEST_TIMEOUT_SECONDS = 20.0
#: Short, so that tests are quick; long enough for a busy machine.
ELECTION_SECONDS = 0.4


class AbortingServer(Server):
    """A server that aborts its connections when it stops, like a process that exits."""

    def __init__(self, service: RpcService) -> None:
        super().__init__([service], codec=DataclassCodec())
        self.protocols: list[H2Protocol] = []

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self.protocols.append(protocol)
        return protocol

    async def stop(self) -> None:
        self.close()
        await self.wait_closed()
        for protocol in self.protocols:
            if not protocol.connection.is_closing():
                protocol.connection._transport.abort()


class Box:
    """One control box, which can be stopped, erased and restarted."""

    def __init__(
        self, address: str, seeds: tuple[str, ...], folder: Path, lost_boxes: int = 2
    ) -> None:
        self.address = address
        self.seeds = seeds
        self.folder = folder
        self.lost_boxes = lost_boxes

    def make_settings(self, *, is_first_start: bool) -> BoxSettings:
        return BoxSettings(
            name=f"box-{self.address.rpartition(':')[2]}",
            data_centre="gulberg",
            role="control",
            data_folder=str(self.folder),
            internal_address=self.address,
            admin_address="127.0.0.1:1",
            control=self.seeds,
            election_seconds=ELECTION_SECONDS,
            founding=Founding(
                seeds=self.seeds, is_first_start=is_first_start, lost_boxes=self.lost_boxes
            ),
        )

    async def start(self, *, is_first_start: bool) -> None:
        settings = self.make_settings(is_first_start=is_first_start)
        founding = settings.founding
        assert founding is not None
        self.data = DataFolder(str(self.folder))
        self.data.open()
        self.node = ControlNode(settings, self.data, None)
        self.client = ControlClient(self.seeds)
        self.group = GroupManager(self.node, founding, self.client, None)
        self.limits = RateLimitService(self.node)
        handlers = {
            **self.group.handlers(),
            **FollowService(self.node).handlers(),
            **self.limits.handlers(),
        }
        self.server = AbortingServer(ControlService(self.node).service(handlers))
        endpoint = Endpoint.parse(self.address)
        await self.server.start(endpoint.host, endpoint.port)
        self.node.start()
        self.group.start()
        self.limits.start()

    async def stop(self) -> None:
        await self.limits.stop()
        await self.group.stop()
        await self.node.stop()
        await self.server.stop()
        self.client.close()
        self.data.close()

    def erase(self) -> None:
        for path in self.folder.iterdir():
            path.unlink()

    def voters(self) -> list[str]:
        replica = self.node.replica
        return sorted(member.address for member in replica.members.voters) if replica else []

    def is_leader(self) -> bool:
        replica = self.node.replica
        return replica is not None and replica.is_leader


class GroupCase(unittest.IsolatedAsyncioTestCase):
    #: Number of boxes that may lose their disks at the same time.
    lost_boxes = 2

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addresses = find_free_addresses(6)
        self.seeds = tuple(self.addresses[:3])
        self.boxes: dict[str, Box] = {}
        for number, address in enumerate(self.addresses):
            path = Path(folder.name) / str(number)
            path.mkdir()
            self.boxes[address] = Box(address, self.seeds, path, self.lost_boxes)
        self.running: list[Box] = []

    async def asyncTearDown(self) -> None:
        for box in self.running:
            await box.stop()

    async def start(self, *numbers: int, is_first_start: bool = False) -> None:
        for number in numbers:
            box = self.boxes[self.addresses[number]]
            await box.start(is_first_start=is_first_start)
            self.running.append(box)

    async def stop(self, *numbers: int) -> None:
        for number in numbers:
            box = self.boxes[self.addresses[number]]
            self.running.remove(box)
            await box.stop()

    async def wait(self, is_true: Callable[[], bool], failure: str) -> None:
        try:
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while not is_true():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.fail(f"{failure}; voters: {[box.voters() for box in self.running]}")

    async def wait_for_voters(self, *numbers: int) -> None:
        wanted = sorted(self.addresses[number] for number in numbers)

        def is_true() -> bool:
            is_agreed = all(box.voters() == wanted for box in self.running)
            return is_agreed and sum(box.is_leader() for box in self.running) == 1

        await self.wait(is_true, f"the voters never became {wanted}")
