"""The control node: connects a consensus replica to the clock, the disk and the network."""

import asyncio
import contextlib
import logging
import random
import secrets
import ssl
from collections.abc import Callable, Iterator, Sequence
from typing import Final

from damsonlane.cluster import ClusterState, Command, Reply
from damsonlane.consensus import (
    EMPTY_SNAPSHOT,
    Envelope,
    HardState,
    LogEntry,
    Member,
    Members,
    Output,
    PersistentState,
    Replica,
    Snapshot,
)
from damsonlane.errors import (
    CorruptionError,
    GroupChangeError,
    NotLeaderError,
    StorageError,
    UnavailableError,
)
from damsonlane.settings import BoxSettings
from damsonlane.versions import VersionHistory
from damsonlaned.control._applied_state import AppliedState
from damsonlaned.control._members_log import MembersLog
from damsonlaned.control._peer_streams import PeerStreams
from damsonlaned.control._pending_calls import PendingCalls
from damsonlaned.control._replica_disk import ReplicaDisk
from damsonlaned.control._watchers import Watchers
from damsonlaned.storage import DataFolder, Identity
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Applied log entries after which a snapshot replaces the log.
ENTRIES_PER_SNAPSHOT: Final = 2_000
#: Bytes appended to the journal after which a snapshot replaces it.  A document of
#: 300 KB compresses to about 30 KB, so the journal holds about a hundred changes; the
#: disk may be as small as 128 MB.
BYTES_PER_SNAPSHOT: Final = 4 * 2**20
#: Clock ticks within one election timeout.
TICKS_PER_ELECTION: Final = 20
#: Election timeouts for which a caller waits for a commit or a confirmed read.
TIMEOUT_ELECTIONS: Final = 3.0


class ControlNode:
    """One control box: replica, replicated state, journal and streams to its peers.

    Everything runs on one asyncio event loop, so no two steps of the replica overlap.

    Args:
        settings: settings of the box.
        folder: its data folder, open.
        context: TLS context for connections to other boxes, or None.
    """

    def __init__(
        self, settings: BoxSettings, folder: DataFolder, context: ssl.SSLContext | None
    ) -> None:
        self.settings: Final = settings
        self.watchers: Final = Watchers()
        self._applied: Final = AppliedState(self.watchers)
        self.replica: Replica | None = None
        self.failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._peers: Final = PeerStreams(settings.internal_address, context)
        self._members_log = MembersLog(EMPTY_SNAPSHOT.members)
        self._calls: Final = PendingCalls()
        self._ticker: asyncio.Task[None] | None = None
        self._disk: Final = ReplicaDisk(folder.path, settings.name)

    @property
    def identity(self) -> Identity:
        """The identity of the replica."""
        return self._disk.identity

    @property
    def state(self) -> ClusterState:
        """The replicated state."""
        return self._applied.state

    @property
    def versions(self) -> VersionHistory:
        """Which versions of targets have served while this process applied changes."""
        return self._applied.versions

    # Lifecycle.

    def start(self) -> None:
        """Recover the state in the folder and start the clock.

        Raises:
            StorageError: the folder can't be used or is damaged.
        """
        if self.identity.cluster:
            self._recover()
        self._ticker = start_task(self._tick(), "clock of the replica")

    async def stop(self) -> None:
        """Stop the clock and close everything."""
        if self._ticker is not None:
            self._ticker.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._ticker
        await self._peers.close()
        self._disk.journal.close()

    def disk_error(self) -> StorageError | None:
        """Return the error with which the disk failed, or None."""
        error = self.failure.exception() if self.failure.done() else None
        return error if isinstance(error, StorageError) else None

    def now(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        return asyncio.get_running_loop().time()

    # Calls from services.

    async def submit(self, commands: Sequence[Command]) -> tuple[Reply, ...]:
        """Commit commands, batched with others submitted in the same turn of the event loop.

        Raises:
            NotLeaderError: this replica is not the leader.
            UnavailableError: the outcome is unknown.
        """
        self._require_replica()
        if not self._calls.has_submitted():
            asyncio.get_running_loop().call_soon(self._propose_submitted)
        futures = self._calls.submit(commands)
        try:
            timeout_seconds = TIMEOUT_ELECTIONS * self.settings.election_seconds
            return tuple(await asyncio.wait_for(asyncio.gather(*futures), timeout_seconds))
        except TimeoutError:
            raise UnavailableError("no quorum confirmed the commands in time") from None

    async def confirm(self) -> None:
        """Wait until the state of this replica includes every change accepted before this call.

        Raises:
            NotLeaderError: this replica is not the leader.
            UnavailableError: no quorum confirmed it in time.
        """
        replica = self._require_replica()
        reference, future = self._calls.start_read()
        try:
            self._process_output(replica.read(self.now(), reference))
            await asyncio.wait_for(future, TIMEOUT_ELECTIONS * self.settings.election_seconds)
        except TimeoutError:
            raise UnavailableError("no quorum confirmed the read in time") from None
        finally:
            self._calls.end_read(reference)

    def receive(self, envelope: Envelope) -> None:
        """Process an envelope from another replica.

        Raises:
            NotLeaderError: the replica stopped after a failed write.
            StorageError: the disk failed.
        """
        if envelope.receiver != self.identity.replica:
            return
        self._peers.update_address(envelope.sender, envelope.sender_address)
        if not self.identity.cluster:
            self._disk.join(envelope.cluster)
            self._start_replica(PersistentState(hard_state=HardState(), snapshot=EMPTY_SNAPSHOT))
        self._process_output(self._require_replica().receive(self.now(), envelope))

    def found_group(self) -> None:
        """Found a control group with this box as its only member.

        Raises:
            GroupChangeError: the box already belongs to a group.
        """
        if self.identity.cluster:
            raise GroupChangeError(f"this box belongs to the group {self.identity.cluster} already")
        member = Member(replica=self.identity.replica, address=self.settings.internal_address)
        snapshot = Snapshot(index=1, term=1, members=Members(voters=(member,)), state="")
        stored = PersistentState(hard_state=HardState(term=1), snapshot=snapshot)
        self._disk.found(stored, secrets.token_hex(8))
        self._start_replica(stored)

    def add(self, replica: str, address: str) -> None:
        """Add a replica as a learner.

        Raises:
            NotLeaderError: this replica is not the leader.
            GroupChangeError: the group doesn't allow the change now.
        """
        member = Member(replica=replica, address=address)
        own_replica = self._require_replica()
        if own_replica.is_leader and member in own_replica.members.all_members():
            # A client retries a call whose reply is late; the retry must succeed too.
            return
        self._process_output(own_replica.add_learner(self.now(), member))

    def remove(self, replica: str) -> None:
        """Remove a member.

        Raises:
            NotLeaderError: this replica is not the leader.
            GroupChangeError: the group doesn't allow the change now.
        """
        own_replica = self._require_replica()
        self._process_output(own_replica.remove(self.now(), replica))

    def demote(self, replica: str) -> None:
        """Demote a voter to learner.

        Raises:
            NotLeaderError: this replica is not the leader.
            GroupChangeError: the group doesn't allow the change now.
        """
        own_replica = self._require_replica()
        self._process_output(own_replica.demote(self.now(), replica))

    def on_peer_refused(self, notify: Callable[[], None]) -> None:
        """Call a function whenever the box of a member begins to refuse connections."""
        self._peers.on_refused = notify

    def is_peer_refused(self, replica: str) -> bool:
        """Return whether the box of a member refused the last connection."""
        return self._peers.is_refused(replica)

    def state_age(self) -> float | None:
        """Return the largest possible age of the state here, in seconds; None if unknown."""
        if self.replica is None:
            return None
        age = self.replica.state_age(self.now())
        return age if age < float("inf") else None

    def is_current(self) -> bool:
        """Return whether this replica is the leader or recently received messages from it."""
        return self.replica is not None and self.replica.leader != ""

    # Driving the replica: clock, proposals and outputs.

    async def _tick(self) -> None:
        interval = self.settings.election_seconds / TICKS_PER_ELECTION
        while not self.failure.done():
            if self.replica is not None:
                with contextlib.suppress(StorageError):
                    self._process_output(self.replica.tick(self.now()))
            await asyncio.sleep(interval)

    def _propose_submitted(self) -> None:
        """Propose the commands submitted since the last turn of the event loop."""
        submitted = self._calls.take_submitted()
        replica = self.replica
        if replica is None or not submitted:
            return
        try:
            output, entries = replica.propose(self.now(), [command.text for command in submitted])
        except NotLeaderError as error:
            for command in submitted:
                command.future.set_exception(error)
            return
        self._calls.record_proposed(entries, submitted)
        self._process_output(output)

    def _process_output(self, output: Output) -> None:
        """Process an output in the required order: disk, network, state, reads."""
        replica = self._require_replica()
        next_output = None
        if not output.persist.is_empty():
            with self._stop_on_write_failure():
                self._disk.journal.append(output.persist)
            next_output = replica.acknowledge_persist()
        self._peers.update_members(replica.members.all_members())
        for envelope in output.envelopes:
            self._peers.send(envelope)
        if output.installed is not None:
            self._install(output.installed)
        for entry in output.committed:
            self._apply(entry)
        self._calls.finish_reads(output)
        if next_output is not None and next_output != Output():
            self._process_output(next_output)
        self._compact_if_due()

    @contextlib.contextmanager
    def _stop_on_write_failure(self) -> Iterator[None]:
        """Stop the replica if a write fails.

        After a failed write the replica holds entries in memory that are not on the disk,
        and the reply to the next heartbeat would acknowledge them.
        """
        try:
            yield
        except StorageError as error:
            self.replica = None
            if not self.failure.done():
                self.failure.set_exception(error)
            raise

    def _install(self, snapshot: Snapshot) -> None:
        self._applied.replace(snapshot, self.now())
        self._members_log.record(snapshot.members, snapshot.index)
        self.watchers.notify_all()

    def _apply(self, entry: LogEntry) -> None:
        if isinstance(entry.body, Members):
            self._members_log.record(entry.body, entry.index)
        reply = self._applied.apply(entry, self.now())
        self._calls.finish_command(entry, reply)
        self._applied.notify_watchers()

    def _compact_if_due(self) -> None:
        replica = self.replica
        if replica is None or not self._is_snapshot_due():
            return
        self._applied.since_snapshot = 0
        replica.compact(self.state.to_text(), self._applied.index)
        with self._stop_on_write_failure():
            self._disk.journal.rewrite(replica.persistent_state())

    def _is_snapshot_due(self) -> bool:
        is_long = self._applied.since_snapshot >= ENTRIES_PER_SNAPSHOT
        is_large = self._disk.journal.grown_bytes >= BYTES_PER_SNAPSHOT
        return is_long or (is_large and self._applied.since_snapshot > 0)

    # Stored state.

    def _recover(self) -> None:
        """Read the journal; with automatic repair, treat a damaged one as a lost disk."""
        try:
            self._start_replica(self._disk.journal.recover())
        except CorruptionError as error:
            if self.settings.founding is None:
                raise
            _LOG.error("journal damaged", extra={"fault": str(error)})
            self.reset()

    def reset(self) -> None:
        """Discard all state and wait for admission under a new replica name."""
        self.replica = None
        self._applied.clear(self.now())
        self._disk.reset()
        _LOG.warning(
            "replica reset; waiting for admission", extra={"replica": self.identity.replica}
        )

    def _start_replica(self, stored: PersistentState) -> None:
        self._applied.replace(stored.snapshot, self.now())
        self._members_log = MembersLog(stored.snapshot.members)
        self.replica = Replica(
            cluster=self.identity.cluster,
            name=self.identity.replica,
            stored=stored,
            election_seconds=self.settings.election_seconds,
            randomness=random.Random(),
            now=self.now(),
        )
        self._peers.update_members(self.replica.members.all_members())
        _LOG.info("replica started", extra={"replica": self.identity.replica})

    def _require_replica(self) -> Replica:
        if self.replica is None:
            raise NotLeaderError("")
        return self.replica
