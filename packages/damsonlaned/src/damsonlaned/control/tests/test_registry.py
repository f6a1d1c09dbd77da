"""The address of control for targets and operators, over HTTP, with one replica."""

import asyncio
import json
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path
from typing import cast

from grpclib.client import Channel
from grpclib.server import Server

from damsonlane.codec import encode_bytes
from damsonlane.routes import RoutingDocument
from damsonlane.settings import BoxSettings
from damsonlane.targets import TargetRecord
from damsonlane_rpc import (
    HEARD,
    ControlClient,
    DataclassCodec,
    Done,
    HeardRequest,
    NotLeader,
    Service,
    open_channel,
)
from damsonlaned.control import ControlNode, GroupRepairer, Registry
from damsonlaned.dialects import NativeDialect
from damsonlaned.http import ConnectionPool, HttpRequest
from damsonlaned.storage import DataFolder
from damsonlaned.tests.addresses import find_address

PATIENCE = 20.0
RECORD = TargetRecord(
    target="t1",
    service="desk",
    address="10.0.0.1:80",
    data_centre="dha",
    slots=4,
    standing="live",
    sequence=1,
)
DESK = {"name": "desk", "most_connections": 20}


class OpenGroup:
    """Stands in for what looks after a group that has its full size, or has not."""

    def __init__(self) -> None:
        self.is_whole = True

    def takes_orders(self) -> bool:
        return self.is_whole


class HeardNames:
    """Stands in for the client that reaches the leader."""

    def __init__(self) -> None:
        self.told: list[tuple[str, ...]] = []

    async def tell_heard(self, targets: Sequence[str], _seconds: float) -> None:
        self.told.append(tuple(targets))


def make_text(version: int, **fields: object) -> bytes:
    return json.dumps({"version": version, **fields}).encode()


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = BoxSettings(
            name="box",
            data_centre="dha",
            role="control",
            data_folder=folder.name,
            internal_address="127.0.0.1:1",
            admin_address="127.0.0.1:2",
            control=("127.0.0.1:1",),
            election_seconds=0.2,
        )
        data = DataFolder(str(Path(folder.name)))
        data.open()
        self.addCleanup(data.close)
        self.node = ControlNode(settings, data, None)
        self.node.found()
        self.node.start()
        self.addAsyncCleanup(self.node.stop)
        self.group = OpenGroup()
        client = ControlClient(("127.0.0.1:1",))
        self.addCleanup(client.close)
        self.registry = Registry(
            self.node,
            cast(GroupRepairer, self.group),
            client,
            NativeDialect(),
            "127.0.0.1:0",
            heartbeat_seconds=1.0,
        )
        await self.registry.start()
        self.addAsyncCleanup(self.registry.stop)
        self.pool = ConnectionPool(f"127.0.0.1:{self.registry._listener.port()}", 4)
        self.addCleanup(self.pool.close)
        async with asyncio.timeout(PATIENCE):
            while self.node.replica is None or not self.node.replica.is_leader:
                await asyncio.sleep(0.02)

    async def call(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        request = HttpRequest(method=method, target=path, headers=((b"Host", b"h"),), body=body)
        async with asyncio.timeout(PATIENCE):
            exchange = await self.pool.send(request, PATIENCE)
            try:
                head = await exchange.read_head()
                return head.status, await exchange.body.read_whole()
            finally:
                exchange.finish()

    def stop_looking(self) -> None:
        looking = self.registry._looking
        assert looking is not None
        looking.cancel()

    def be_silent_for_a_minute(self, target: str) -> None:
        """Have a target heard last a minute ago, by a leader that led already then."""
        ago = self.node.now() - 60
        self.registry._heard.note(target, ago)
        self.registry._heard._led_since = ago

    def depose(self) -> None:
        replica = self.node.replica
        assert replica is not None
        replica._step_down(replica.term)
        replica._election_due = float("inf")

    async def serve_other_replicas(self) -> Channel:
        """Serve the calls of other replicas and return a channel to them."""
        server = Server([Service(dict(self.registry.handlers()))], codec=DataclassCodec())
        address = find_address()
        host, _, port = address.rpartition(":")
        await server.start(host, int(port))
        channel = open_channel(address, None)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.addCleanup(channel.close)
        return channel

    async def beat(self, **changes: object) -> int:
        record = TargetRecord(**{**vars(RECORD), **changes})
        status, _ = await self.call(
            "PUT", f"/v1/targets/{record.target}", encode_bytes(record, TargetRecord)
        )
        return status

    async def test_the_highest_version_holds_and_is_read_back_as_sent(self) -> None:
        text = b'{ "version": 7,\n "routes": [] }'
        cases = ((text, 200), (make_text(6), 200), (make_text(7, routes=[]), 200), (text, 200))
        self.assertEqual((await self.call("GET", "/v1/routes"))[0], 503)
        for sent, status in cases:
            self.assertEqual((await self.call("PUT", "/v1/routes", sent))[0], status)
            self.assertEqual(await self.call("GET", "/v1/routes"), (200, text))

    async def test_invalid_documents_are_refused_each_time_and_change_nothing(self) -> None:
        invalid = make_text(9, organisations=[{"name": n, "keys": ["k"]} for n in ("a", "b")])
        for text in (invalid, invalid, b"{", make_text(9)[:-1], b'{"routes": []}'):
            status, body = await self.call("PUT", "/v1/routes", text)
            self.assertEqual(status, 400)
            self.assertEqual(json.loads(body)["status"], 400)
        self.assertEqual(self.node.state.documents.document.version, 0)

    async def test_targets_come_drain_and_go(self) -> None:
        self.assertEqual(await self.beat(), 200)
        self.assertEqual(await self.beat(sequence=2), 200)
        self.assertEqual(await self.beat(sequence=5, standing="leaving"), 200)
        # A late heartbeat is acknowledged and changes nothing.
        self.assertEqual(await self.beat(sequence=3), 200)
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.standing if record else "", "leaving")
        for _ in range(2):
            self.assertEqual((await self.call("DELETE", "/v1/targets/t1"))[0], 200)
        self.assertIsNone(self.node.state.targets.find("t1"))
        self.assertEqual(await self.beat(sequence=9), 200)
        self.assertIsNone(self.node.state.targets.find("t1"))

    async def test_a_target_that_starts_again_under_its_name_is_news(self) -> None:
        await self.beat(start=100, sequence=40, standing="leaving")
        self.assertEqual(await self.beat(start=200, sequence=1), 200)
        record = self.node.state.targets.find("t1")
        assert record is not None
        self.assertEqual((record.start, record.standing), (200, "live"))
        self.assertEqual(await self.beat(start=100, sequence=99, standing="leaving"), 200)
        self.assertEqual(self.node.state.targets.find("t1"), record)

    async def test_coldness_is_noted_when_it_begins_and_ends(self) -> None:
        await self.beat()
        last = self.node.replica.last_index if self.node.replica else 0
        seconds: list[float] = []
        for sequence, cold in enumerate((3.0, 2.9, 2.8, 0.0, 0.0), start=2):
            await self.beat(sequence=sequence, cold_seconds=cold)
            record = self.node.state.targets.find("t1")
            seconds.append(record.cold_seconds if record else -1.0)
        self.assertEqual(seconds, [3.0, 3.0, 3.0, 0.0, 0.0])
        self.assertEqual(self.node.replica.last_index if self.node.replica else 0, last + 2)

    async def test_data_centres_are_evacuated_and_restored(self) -> None:
        path = "/v1/evacuations/gulberg"
        steps = (
            ("POST", path, ("gulberg",)),
            ("POST", path, ("gulberg",)),
            ("DELETE", path, ()),
            ("DELETE", path, ()),
        )
        for method, target, held in steps:
            self.assertEqual((await self.call(method, target))[0], 200)
            names = self.node.state.evacuations.list_for_entries().data_centres
            self.assertEqual(names, held)
        self.assertEqual((await self.call("GET", path))[0], 404)

    async def test_a_data_centre_that_is_not_there_is_not_evacuated(self) -> None:
        self.registry._data_centres = frozenset({"gulberg", "dha"})  # type: ignore[misc]
        for method in ("POST", "DELETE"):
            self.assertEqual((await self.call(method, "/v1/evacuations/johar"))[0], 404)
        self.assertEqual((await self.call("POST", "/v1/evacuations/dha"))[0], 200)
        # One that is evacuated is restored, whatever the settings name by then.
        self.registry._data_centres = frozenset({"gulberg"})  # type: ignore[misc]
        self.assertEqual((await self.call("DELETE", "/v1/evacuations/dha"))[0], 200)
        self.assertEqual(self.node.state.evacuations.revision, 2)

    async def test_an_evacuation_without_a_leader_is_not_acknowledged(self) -> None:
        self.depose()
        self.assertEqual((await self.call("POST", "/v1/evacuations/gulberg"))[0], 503)

    async def test_heartbeats_of_another_writer_name_no_target(self) -> None:
        await self.call("PUT", "/v1/routes", make_text(7, services=[{**DESK, "name": "desk"}]))
        await self.beat()
        cases: tuple[dict[str, object], ...] = (
            {"service": "nobody", "target": "t2"},
            {"address": "nowhere", "target": "t2"},
            {"address": "10.0.0.1:0", "target": "t2"},
            {"slots": -1, "target": "t2"},
            {"data_centre": "", "target": "t2"},
            {"cold_seconds": -1.0},
            {"address": ""},
        )
        for number, changes in enumerate(cases, start=2):
            with self.subTest(changes):
                self.assertEqual(await self.beat(**{"sequence": number, **changes}), 400)
        self.assertEqual([record.target for record in self.node.state.targets.records()], ["t1"])
        # A known target may say that it leaves, though its service is gone.
        await self.call("PUT", "/v1/routes", make_text(8, services=[{**DESK, "name": "other"}]))
        self.assertEqual(await self.beat(sequence=20, standing="leaving"), 200)

    async def test_a_writer_of_bad_heartbeats_gets_a_line_a_second(self) -> None:
        with self.assertLogs("damsonlaned.control._registry", "WARNING") as logs:
            for _ in range(50):
                self.assertEqual((await self.call("PUT", "/v1/targets/t1", b"\xff\xfe"))[0], 400)
        self.assertLess(len(logs.records), 25)

    async def test_a_steady_heartbeat_writes_nothing(self) -> None:
        await self.beat()
        before = self.node.replica.last_index if self.node.replica else 0
        for sequence in range(2, 8):
            await self.beat(sequence=sequence)
        self.assertEqual(self.node.replica.last_index if self.node.replica else 0, before)

    async def test_silent_targets_become_the_last_choice_until_heard(self) -> None:
        await self.beat()
        await self.registry._silence()
        self.be_silent_for_a_minute("t1")
        await self.registry._silence()
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.standing if record else "", "silent")
        await self.beat(sequence=2)
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.standing if record else "", "live")

    async def test_targets_heard_by_another_replica_are_not_silent(self) -> None:
        self.stop_looking()
        await self.beat()
        self.be_silent_for_a_minute("t1")
        channel = await self.serve_other_replicas()
        reply = await HEARD.unary(channel)(HeardRequest(targets=("t1",)), timeout=PATIENCE)
        self.assertIsInstance(reply.outcome, Done)
        await self.registry._silence()
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.standing if record else "", "live")

    async def test_a_replica_that_does_not_lead_names_the_targets_that_it_heard(self) -> None:
        await self.beat()
        await self.beat(target="t2")
        self.stop_looking()
        self.depose()
        await self.beat(sequence=2)
        await self.beat(target="t2", sequence=2)
        client = HeardNames()
        self.registry._client = cast(ControlClient, client)  # type: ignore[misc]
        await self.registry._tell_leader()
        await self.registry._tell_leader()
        self.assertEqual(client.told, [("t1", "t2")])

    async def test_a_replica_that_does_not_lead_says_so_when_told_of_heartbeats(self) -> None:
        channel = await self.serve_other_replicas()
        self.depose()
        reply = await HEARD.unary(channel)(HeardRequest(targets=("t1",)), timeout=PATIENCE)
        self.assertIsInstance(reply.outcome, NotLeader)
        self.assertNotIn("t1", self.registry._heard)

    async def test_what_is_not_understood_is_refused(self) -> None:
        cases = (
            ("PUT", "/v1/targets/t1", b"{}", 400),
            ("PUT", "/v1/targets/other", encode_bytes(RECORD, TargetRecord), 400),
            ("GET", "/v1/none", b"", 404),
            ("POST", "/v1/routes", b"", 404),
        )
        for method, path, body, status in cases:
            with self.subTest(method=method, path=path):
                self.assertEqual((await self.call(method, path, body))[0], status)

    async def test_a_group_that_still_forms_takes_nothing(self) -> None:
        self.group.is_whole = False
        self.assertEqual(await self.beat(), 503)
        text = encode_bytes(RoutingDocument(version=1), RoutingDocument)
        self.assertEqual((await self.call("PUT", "/v1/routes", text))[0], 503)
        # What is invalid stays invalid.
        self.assertEqual((await self.call("PUT", "/v1/routes", b"{"))[0], 400)

    async def test_a_read_without_a_leader_is_refused(self) -> None:
        await self.call("PUT", "/v1/routes", make_text(7))
        self.depose()
        self.assertEqual((await self.call("GET", "/v1/routes"))[0], 503)


if __name__ == "__main__":
    unittest.main()
