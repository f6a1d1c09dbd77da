"""The control node: drives a replica with the clock, the disk and the network."""

import asyncio
import contextlib
import itertools
import logging
import random
import secrets
import ssl
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.agreement import (
    EMPTY_SNAPSHOT,
    Envelope,
    HardState,
    LogEntry,
    Member,
    Members,
    Opaque,
    Output,
    Replica,
    Snapshot,
    Stored,
)
from damsonlane.cluster import ClusterState, Command, Reply, decode_command, encode_command
from damsonlane.errors import (
    AgreementError,
    CorruptionError,
    NotLeaderError,
    StorageError,
    UnavailableError,
)
from damsonlane.settings import BoxSettings
from damsonlaned.control._links import Links
from damsonlaned.control._watchers import Watchers
from damsonlaned.storage import (
    DataFolder,
    Identity,
    Journal,
    draw_identity,
    read_identity,
    write_identity,
)
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Applied entries after which the log is replaced by a snapshot.
ENTRIES_PER_SNAPSHOT: Final = 2_000
#: Bytes of journal after which it is replaced by a snapshot.  Documents of 300 KB
#: shrink to about 30 KB, so this is some hundred changes on a disk of 128 MB.
BYTES_PER_SNAPSHOT: Final = 4 * 2**20
#: Clock ticks in one election time.
TICKS_PER_ELECTION: Final = 20
#: Election times for which a caller waits for its commands.
PATIENCE: Final = 3.0


@dataclass(frozen=True, kw_only=True)
class _Waiter:
    """A caller that waits for an entry to be applied."""

    #: Term in which the entry was proposed.
    term: int
    #: Takes the reply.
    future: "asyncio.Future[Reply]"


class ControlNode:
    """One control box: replica, state, journal and streams to its fellows.

    Everything runs on one asyncio loop, so no two steps of the replica overlap.

    Args:
        settings: settings of the box.
        folder: its data folder, open.
        context: TLS context towards other boxes, or None.
    """

    def __init__(
        self, settings: BoxSettings, folder: DataFolder, context: ssl.SSLContext | None
    ) -> None:
        self.settings: Final = settings
        self.watchers: Final = Watchers()
        self.state = ClusterState()
        self.replica: Replica | None = None
        self.failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._folder: Final = folder.path
        self._journal: Final = Journal(folder.path)
        self._links: Final = Links(settings.internal_address, context)
        self._applied = 0
        self._since_snapshot = 0
        self._waiters: dict[int, _Waiter] = {}
        self._reads: dict[int, asyncio.Future[None]] = {}
        self._references = itertools.count(1)
        self._pending: list[tuple[str, asyncio.Future[Reply]]] = []
        self._ticker: asyncio.Task[None] | None = None
        self.identity = self._open_identity()

    # Life.

    def start(self) -> None:
        """Recover what the folder holds and start the clock.

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
        await self._links.close()
        self._journal.close()

    def fault(self) -> StorageError | None:
        """Return why the disk failed, or None if it did not."""
        error = self.failure.exception() if self.failure.done() else None
        return error if isinstance(error, StorageError) else None

    def now(self) -> float:
        """Return the monotonic clock, in seconds."""
        return asyncio.get_running_loop().time()

    # What services ask.

    async def submit(self, commands: Sequence[Command]) -> tuple[Reply, ...]:
        """Commit commands together with whatever else arrives at the moment.

        Raises:
            NotLeaderError: another replica leads.
            UnavailableError: the outcome is unknown.
        """
        self._require_replica()
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in commands]
        if not self._pending:
            loop.call_soon(self._flush)
        for command, future in zip(commands, futures, strict=True):
            self._pending.append((encode_command(command), future))
        try:
            patience = PATIENCE * self.settings.election_seconds
            return tuple(await asyncio.wait_for(asyncio.gather(*futures), patience))
        except TimeoutError:
            raise UnavailableError("no quorum confirmed the commands in time") from None

    async def confirm(self) -> None:
        """Wait until the state here is as new as every change accepted before this call.

        Raises:
            NotLeaderError: another replica leads.
            UnavailableError: no quorum confirmed it in time.
        """
        replica = self._require_replica()
        reference = next(self._references)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._reads[reference] = future
        try:
            self._carry_out(replica.read(self.now(), reference))
            await asyncio.wait_for(future, PATIENCE * self.settings.election_seconds)
        except TimeoutError:
            raise UnavailableError("no quorum confirmed the read in time") from None
        finally:
            self._reads.pop(reference, None)

    def receive(self, envelope: Envelope) -> None:
        """Take an envelope from another replica."""
        if envelope.receiver != self.identity.replica:
            return
        self._links.learn(envelope.sender, envelope.sender_address)
        if not self.identity.cluster:
            self._join(envelope.cluster)
        self._carry_out(self._require_replica().receive(self.now(), envelope))

    def found(self) -> None:
        """Found a group of which this box is the only member.

        Raises:
            AgreementError: the box belongs to a group already.
        """
        if self.identity.cluster:
            raise AgreementError(f"this box belongs to the group {self.identity.cluster} already")
        member = Member(replica=self.identity.replica, address=self.settings.internal_address)
        snapshot = Snapshot(index=1, term=1, members=Members(voters=(member,)), state="")
        stored = Stored(hard_state=HardState(term=1), snapshot=snapshot)
        self._journal.rewrite(stored)
        self._write_cluster(secrets.token_hex(8))
        self._start_replica(stored)

    def add(self, replica: str, address: str) -> None:
        """Admit a replica as a learner."""
        member = Member(replica=replica, address=address)
        group = self._require_replica()
        if group.is_leader and member in group.members.everyone():
            # Clients send a call again when its answer is late.
            return
        self._carry_out(group.add_learner(self.now(), member))

    def remove(self, replica: str) -> None:
        """Remove a member."""
        group = self._require_replica()
        self._carry_out(group.remove(self.now(), replica))

    def state_age(self) -> float | None:
        """Return how old the state here may be, in seconds; None when that is unknown."""
        if self.replica is None:
            return None
        age = self.replica.state_age(self.now())
        return age if age < float("inf") else None

    def is_current(self) -> bool:
        """Tell whether this replica leads or has heard from a leader lately."""
        return self.replica is not None and self.replica.leader != ""

    # Driving the replica.

    async def _tick(self) -> None:
        interval = self.settings.election_seconds / TICKS_PER_ELECTION
        while not self.failure.done():
            if self.replica is not None:
                with contextlib.suppress(StorageError):
                    self._carry_out(self.replica.tick(self.now()))
            await asyncio.sleep(interval)

    def _flush(self) -> None:
        """Propose everything that arrived since the last turn of the loop."""
        pending = [(text, future) for text, future in self._pending if not future.done()]
        self._pending.clear()
        replica = self.replica
        if replica is None or not pending:
            return
        try:
            output, entries = replica.propose(self.now(), [text for text, _ in pending])
        except NotLeaderError as error:
            for _, future in pending:
                future.set_exception(error)
            return
        for entry, (_, future) in zip(entries, pending, strict=True):
            self._waiters[entry.index] = _Waiter(term=entry.term, future=future)
        self._carry_out(output)

    def _carry_out(self, output: Output) -> None:
        """Carry out an output in its order: disk, network, state, readers."""
        replica = self._require_replica()
        follow_up = None
        if not output.persist.is_empty():
            with self._writing():
                self._journal.append(output.persist)
            follow_up = replica.acknowledge_persist()
        self._links.follow(replica.members.everyone())
        for envelope in output.envelopes:
            self._links.send(envelope)
        if output.installed is not None:
            self._install(output.installed)
        for entry in output.committed:
            self._apply(entry)
        self._finish_reads(output)
        if follow_up is not None and follow_up != Output():
            self._carry_out(follow_up)
        self._compact_if_due()

    @contextlib.contextmanager
    def _writing(self) -> Iterator[None]:
        """Fall silent for good if the disk fails.

        The replica then believes in entries that are on no disk, and a
        repeated heartbeat would acknowledge them.
        """
        try:
            yield
        except StorageError as error:
            self.replica = None
            if not self.failure.done():
                self.failure.set_exception(error)
            raise

    def _install(self, snapshot: Snapshot) -> None:
        self.state = ClusterState.from_text(snapshot.state)
        self._applied = snapshot.index
        self.watchers.announce()

    def _apply(self, entry: LogEntry) -> None:
        before = self._marks()
        reply: Reply | None = None
        if isinstance(entry.body, Opaque):
            reply = self.state.apply(decode_command(entry.body.text))
        self._applied = entry.index
        self._since_snapshot += 1
        waiter = self._waiters.pop(entry.index, None)
        if waiter is not None and not waiter.future.done():
            if waiter.term == entry.term and reply is not None:
                waiter.future.set_result(reply)
            else:
                waiter.future.set_exception(UnavailableError("another leader took over"))
        if self._marks() != before:
            self.watchers.announce()

    def _marks(self) -> tuple[int, ...]:
        """Return what changes whenever a box that follows must be told something."""
        state = self.state
        return (
            state.settings.version,
            state.membership.live(),
            state.documents.document.version,
            state.targets.revision,
            state.evacuations.revision,
            state.quarantine.revision,
            state.rate_limits.revision,
        )

    def _finish_reads(self, output: Output) -> None:
        for ready in output.reads:
            future = self._reads.get(ready.reference)
            if future is not None and not future.done():
                future.set_result(None)
        for reference in output.failed_reads:
            future = self._reads.get(reference)
            if future is not None and not future.done():
                future.set_exception(NotLeaderError(""))

    def _compact_if_due(self) -> None:
        replica = self.replica
        if replica is None or not self._is_snapshot_due():
            return
        self._since_snapshot = 0
        replica.compact(self.state.to_text(), self._applied)
        with self._writing():
            self._journal.rewrite(replica.stored())

    def _is_snapshot_due(self) -> bool:
        is_long = self._since_snapshot >= ENTRIES_PER_SNAPSHOT
        is_large = self._journal.grown_bytes >= BYTES_PER_SNAPSHOT
        return is_long or (is_large and self._since_snapshot > 0)

    # Identity.

    def _open_identity(self) -> Identity:
        identity = read_identity(self._folder)
        if identity is None:
            # The journal comes first: a folder with an identity always has one.
            self._journal.create()
            identity = draw_identity(self.settings.name)
            write_identity(self._folder, identity)
        if not self._journal.exists():
            raise StorageError(
                f"{self._folder}: the journal is missing; remove this replica from the group, "
                "empty the folder and admit it again"
            )
        return identity

    def _join(self, cluster: str) -> None:
        self._write_cluster(cluster)
        self._start_replica(Stored(hard_state=HardState(), snapshot=EMPTY_SNAPSHOT))

    def _recover(self) -> None:
        """Read the journal; a damaged one is as good as a lost disk where repair is by itself."""
        try:
            self._start_replica(self._journal.recover())
        except CorruptionError as error:
            if self.settings.founding is None:
                raise
            _LOG.error("journal damaged", extra={"fault": str(error)})
            self.start_anew()

    def start_anew(self) -> None:
        """Forget everything and wait to be admitted under a new name."""
        self.replica = None
        self.state = ClusterState()
        self._applied = 0
        # The new name comes first: with it, what the old journal holds no longer counts.
        self.identity = draw_identity(self.settings.name)
        write_identity(self._folder, self.identity)
        self._journal.create()
        _LOG.warning("started anew", extra={"replica": self.identity.replica})

    def _write_cluster(self, cluster: str) -> None:
        self.identity = self.identity.with_cluster(cluster)
        write_identity(self._folder, self.identity)

    def _start_replica(self, stored: Stored) -> None:
        self.state = ClusterState.from_text(stored.snapshot.state)
        self._applied = stored.snapshot.index
        self.replica = Replica(
            cluster=self.identity.cluster,
            name=self.identity.replica,
            stored=stored,
            election_seconds=self.settings.election_seconds,
            randomness=random.Random(),
            now=self.now(),
        )
        self._links.follow(self.replica.members.everyone())
        _LOG.info("replica started", extra={"replica": self.identity.replica})

    def _require_replica(self) -> Replica:
        if self.replica is None:
            raise NotLeaderError("")
        return self.replica
