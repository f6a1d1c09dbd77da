"""The HTTP interface of control for targets and operators, with one replica."""

import asyncio
import json
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path
from typing import cast
from unittest import mock

from grpclib.client import Channel
from grpclib.server import Server

from damsonlane.codec import encode_bytes
from damsonlane.routes import RoutingDocument
from damsonlane.settings import BoxSettings
from damsonlane.targets import TargetRecord
from damsonlane_rpc import (
    REPORT_HEARTBEATS,
    ControlClient,
    DataclassCodec,
    Done,
    HeartbeatReport,
    NotLeader,
    RpcService,
    open_channel,
)
from damsonlaned.control import ControlNode, GroupManager, Registry
from damsonlaned.dialects import NativeDialect
from damsonlaned.http import ConnectionPool, HttpRequest, HttpResponse
from damsonlaned.storage import DataFolder
from damsonlaned.tests.addresses import find_free_address

#: Seconds after which a call or a condition that a test waits for counts as failed.
TEST_TIMEOUT_SECONDS = 20.0
#: Size of an answer that the sockets on its way do not hold, in bytes.
LARGE_BYTES = 16 * 2**20
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


class FakeGroup:
    """A fake of `GroupManager`, for a group that has its full size or not."""

    def __init__(self) -> None:
        self.has_full_size = True

    def accepts_commands(self) -> bool:
        return self.has_full_size


class FakeControlClient:
    """A fake of `ControlClient` that records the reported targets."""

    def __init__(self) -> None:
        self.reported: list[tuple[str, ...]] = []

    async def report_heartbeats(self, targets: Sequence[str], _seconds: float) -> None:
        self.reported.append(tuple(targets))


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
        self.node.found_group()
        self.node.start()
        self.addAsyncCleanup(self.node.stop)
        self.group = FakeGroup()
        client = ControlClient(("127.0.0.1:1",))
        self.addCleanup(client.close)
        self.registry = Registry(
            self.node,
            cast(GroupManager, self.group),
            client,
            NativeDialect(),
            "127.0.0.1:0",
            heartbeat_seconds=1.0,
        )
        await self.registry.start()
        self.addAsyncCleanup(self.registry.stop)
        self.pool = ConnectionPool(f"127.0.0.1:{self.registry._listener.port()}", 4)
        self.addCleanup(self.pool.close)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while self.node.replica is None or not self.node.replica.is_leader:
                await asyncio.sleep(0.02)

    async def call(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        request = HttpRequest(method=method, target=path, headers=((b"Host", b"h"),), body=body)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            exchange = await self.pool.send(request, TEST_TIMEOUT_SECONDS)
            try:
                head = await exchange.read_head()
                return head.status, await exchange.body.read_all()
            finally:
                exchange.finish()

    def stop_checks(self) -> None:
        task = self.registry._check_task
        assert task is not None
        task.cancel()

    def backdate_heartbeat(self, target: str) -> None:
        """Set the last heartbeat of a target and the begin of the leadership to a minute ago."""
        ago = self.node.now() - 60
        self.registry._heartbeats.record(target, ago)
        self.registry._heartbeats._leader_since = ago

    def depose(self) -> None:
        replica = self.node.replica
        assert replica is not None
        replica._step_down(replica.term)
        replica._election_due = float("inf")

    async def serve_other_replicas(self) -> Channel:
        """Serve the calls of other replicas and return a channel to them."""
        server = Server([RpcService(dict(self.registry.handlers()))], codec=DataclassCodec())
        address = find_free_address()
        host, _, port = address.rpartition(":")
        await server.start(host, int(port))
        channel = open_channel(address, None)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.addCleanup(channel.close)
        return channel

    async def send_heartbeat(self, **changes: object) -> int:
        record = TargetRecord(**{**vars(RECORD), **changes})
        status, _ = await self.call(
            "PUT", f"/v1/targets/{record.target}", encode_bytes(record, TargetRecord)
        )
        return status

    async def test_the_highest_version_is_in_force_and_read_back_unchanged(self) -> None:
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

    async def test_targets_register_drain_and_leave(self) -> None:
        self.assertEqual(await self.send_heartbeat(), 200)
        self.assertEqual(await self.send_heartbeat(sequence=2), 200)
        self.assertEqual(await self.send_heartbeat(sequence=5, standing="leaving"), 200)
        # A late heartbeat is acknowledged and changes nothing.
        self.assertEqual(await self.send_heartbeat(sequence=3), 200)
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.standing if record else "", "leaving")
        for _ in range(2):
            self.assertEqual((await self.call("DELETE", "/v1/targets/t1"))[0], 200)
        self.assertIsNone(self.node.state.targets.find("t1"))
        self.assertEqual(await self.send_heartbeat(sequence=9), 200)
        self.assertIsNone(self.node.state.targets.find("t1"))

    async def test_a_new_incarnation_of_a_target_replaces_the_old_one(self) -> None:
        await self.send_heartbeat(start=100, sequence=40, standing="leaving")
        self.assertEqual(await self.send_heartbeat(start=200, sequence=1), 200)
        record = self.node.state.targets.find("t1")
        assert record is not None
        self.assertEqual((record.start, record.standing), (200, "live"))
        self.assertEqual(await self.send_heartbeat(start=100, sequence=99, standing="leaving"), 200)
        self.assertEqual(self.node.state.targets.find("t1"), record)

    async def test_the_begin_and_end_of_a_warm_up_are_committed(self) -> None:
        await self.send_heartbeat()
        last = self.node.replica.last_index if self.node.replica else 0
        seconds: list[float] = []
        for sequence, cold in enumerate((3.0, 2.9, 2.8, 0.0, 0.0), start=2):
            await self.send_heartbeat(sequence=sequence, cold_seconds=cold)
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
        for method, target, evacuated in steps:
            self.assertEqual((await self.call(method, target))[0], 200)
            names = self.node.state.evacuations.list_for_entries().data_centres
            self.assertEqual(names, evacuated)
        self.assertEqual((await self.call("GET", path))[0], 404)

    async def test_an_unknown_data_centre_is_not_evacuated(self) -> None:
        self.registry._data_centres = frozenset({"gulberg", "dha"})  # type: ignore[misc]
        for method in ("POST", "DELETE"):
            self.assertEqual((await self.call(method, "/v1/evacuations/johar"))[0], 404)
        self.assertEqual((await self.call("POST", "/v1/evacuations/dha"))[0], 200)
        # An evacuated data centre can be restored after the settings dropped it.
        self.registry._data_centres = frozenset({"gulberg"})  # type: ignore[misc]
        self.assertEqual((await self.call("DELETE", "/v1/evacuations/dha"))[0], 200)
        self.assertEqual(self.node.state.evacuations.revision, 2)

    async def test_an_evacuation_without_a_leader_is_not_acknowledged(self) -> None:
        self.depose()
        self.assertEqual((await self.call("POST", "/v1/evacuations/gulberg"))[0], 503)

    async def test_invalid_heartbeats_register_no_target(self) -> None:
        await self.call("PUT", "/v1/routes", make_text(7, services=[{**DESK, "name": "desk"}]))
        await self.send_heartbeat()
        cases: tuple[dict[str, object], ...] = (
            {"service": "nobody", "target": "t2"},
            {"address": "nowhere", "target": "t2"},
            {"address": "10.0.0.1:0", "target": "t2"},
            {"slots": -1, "target": "t2"},
            {"data_centre": "", "target": "t2"},
            {"cold_seconds": -1.0},
            {"address": ""},
            {"version": "v" * 201},
            {"version": "v1\n"},
            {"version": "v1\x00", "target": "t2"},
        )
        for number, changes in enumerate(cases, start=2):
            with self.subTest(changes):
                self.assertEqual(await self.send_heartbeat(**{"sequence": number, **changes}), 400)
        self.assertEqual([record.target for record in self.node.state.targets.records()], ["t1"])
        # A known target may announce that it is draining after its service was removed.
        await self.call("PUT", "/v1/routes", make_text(8, services=[{**DESK, "name": "other"}]))
        self.assertEqual(await self.send_heartbeat(sequence=20, standing="leaving"), 200)

    async def test_the_newest_version_of_a_target_counts(self) -> None:
        await self.send_heartbeat(sequence=1, version="v1")
        with self.assertLogs("damsonlaned.control._registry", "WARNING") as logs:
            await self.send_heartbeat(sequence=3, version="v2 (é)")
        self.assertIn("another version", logs.records[0].message)
        await self.send_heartbeat(sequence=2, version="v1")
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.version if record else None, "v2 (é)")

    async def test_a_late_heartbeat_of_an_earlier_start_brings_its_version_not_back(self) -> None:
        await self.send_heartbeat(sequence=1, start=5, version="v1")
        await self.send_heartbeat(sequence=1, start=9, version="v2")
        await self.send_heartbeat(sequence=7, start=5, version="v1")
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.version if record else None, "v2")

    async def test_entries_learn_which_version_has_served_alone(self) -> None:
        await self.send_heartbeat(sequence=1, version="v1")
        first = self.node.versions.list_steady(self.node.now())
        self.assertEqual([(item.service, item.version) for item in first], [("desk", "v1")])
        await self.send_heartbeat(sequence=1, target="t2", address="10.0.0.2:80", version="v2")
        self.assertEqual(self.node.versions.list_steady(self.node.now()), ())

    async def test_the_log_rate_of_invalid_heartbeats_is_limited(self) -> None:
        with self.assertLogs("damsonlaned.control._registry", "WARNING") as logs:
            for _ in range(50):
                self.assertEqual((await self.call("PUT", "/v1/targets/t1", b"\xff\xfe"))[0], 400)
        self.assertLess(len(logs.records), 25)

    async def test_an_unchanged_heartbeat_commits_nothing(self) -> None:
        await self.send_heartbeat()
        before = self.node.replica.last_index if self.node.replica else 0
        for sequence in range(2, 8):
            await self.send_heartbeat(sequence=sequence)
        self.assertEqual(self.node.replica.last_index if self.node.replica else 0, before)

    async def test_a_target_is_silent_until_its_next_heartbeat(self) -> None:
        await self.send_heartbeat()
        await self.registry._mark_silent()
        self.backdate_heartbeat("t1")
        await self.registry._mark_silent()
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.standing if record else "", "silent")
        await self.send_heartbeat(sequence=2)
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.standing if record else "", "live")

    async def test_a_target_with_heartbeats_at_another_replica_is_not_silent(self) -> None:
        self.stop_checks()
        await self.send_heartbeat()
        self.backdate_heartbeat("t1")
        channel = await self.serve_other_replicas()
        reply = await REPORT_HEARTBEATS.unary(channel)(
            HeartbeatReport(targets=("t1",)), timeout=TEST_TIMEOUT_SECONDS
        )
        self.assertIsInstance(reply.outcome, Done)
        await self.registry._mark_silent()
        record = self.node.state.targets.find("t1")
        self.assertEqual(record.standing if record else "", "live")

    async def test_a_follower_reports_received_heartbeats_once(self) -> None:
        await self.send_heartbeat()
        await self.send_heartbeat(target="t2")
        self.stop_checks()
        self.depose()
        await self.send_heartbeat(sequence=2)
        await self.send_heartbeat(target="t2", sequence=2)
        client = FakeControlClient()
        self.registry._client = cast(ControlClient, client)  # type: ignore[misc]
        await self.registry._report_heartbeats()
        await self.registry._report_heartbeats()
        self.assertEqual(client.reported, [("t1", "t2")])

    async def test_a_follower_rejects_reported_heartbeats(self) -> None:
        channel = await self.serve_other_replicas()
        self.depose()
        reply = await REPORT_HEARTBEATS.unary(channel)(
            HeartbeatReport(targets=("t1",)), timeout=TEST_TIMEOUT_SECONDS
        )
        self.assertIsInstance(reply.outcome, NotLeader)
        self.assertNotIn("t1", self.registry._heartbeats)

    async def test_invalid_calls_are_refused(self) -> None:
        cases = (
            ("PUT", "/v1/targets/t1", b"{}", 400),
            ("PUT", "/v1/targets/other", encode_bytes(RECORD, TargetRecord), 400),
            ("GET", "/v1/none", b"", 404),
            ("POST", "/v1/routes", b"", 404),
        )
        for method, path, body, status in cases:
            with self.subTest(method=method, path=path):
                self.assertEqual((await self.call(method, path, body))[0], status)

    async def test_a_forming_group_accepts_no_changes(self) -> None:
        self.group.has_full_size = False
        self.assertEqual(await self.send_heartbeat(), 503)
        text = encode_bytes(RoutingDocument(version=1), RoutingDocument)
        self.assertEqual((await self.call("PUT", "/v1/routes", text))[0], 503)
        # An invalid document is refused as invalid all the same.
        self.assertEqual((await self.call("PUT", "/v1/routes", b"{"))[0], 400)

    async def test_a_read_without_a_leader_is_refused(self) -> None:
        await self.call("PUT", "/v1/routes", make_text(7))
        self.depose()
        self.assertEqual((await self.call("GET", "/v1/routes"))[0], 503)

    async def test_a_document_that_its_operator_still_reads_is_sent_whole_at_the_end(self) -> None:
        """Guards against answers of a stopping replica that are cut though they are ready."""
        body = b"x" * LARGE_BYTES
        answer = HttpResponse(status=200, body=body)
        with mock.patch.object(self.registry, "_answer", mock.AsyncMock(return_value=answer)):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.registry._listener.port(), limit=1024
            )
            writer.write(b"GET /v1/routes HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
        ends_at = asyncio.get_running_loop().time() + TEST_TIMEOUT_SECONDS
        stopping = asyncio.create_task(self.registry.stop(ends_at))
        await asyncio.sleep(0.2)
        self.assertFalse(stopping.done())
        self.assertEqual(len(await reader.readexactly(LARGE_BYTES)), LARGE_BYTES)
        await stopping
        writer.close()

    async def test_a_replica_without_calls_in_progress_stops_at_once(self) -> None:
        await self.call("GET", "/v1/routes")
        began_at = asyncio.get_running_loop().time()
        await self.registry.stop(began_at + TEST_TIMEOUT_SECONDS)
        self.assertLess(asyncio.get_running_loop().time() - began_at, TEST_TIMEOUT_SECONDS)


if __name__ == "__main__":
    unittest.main()
