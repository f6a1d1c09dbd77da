"""Callers that wait for the outcome of a command or a read."""

import asyncio
import itertools
from collections.abc import Sequence

from damsonlane.cluster import Command, Reply, encode_command
from damsonlane.consensus import LogEntry, Output
from damsonlane.errors import NotLeaderError, UnavailableError
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class SubmittedCommand:
    """A command that is not proposed yet."""

    #: The command, encoded.
    text: str
    #: Resolved with the reply.
    future: "asyncio.Future[Reply]"


@dataclass(frozen=True, kw_only=True)
class _ProposedCommand:
    """A proposed command whose caller waits until its log entry is applied."""

    #: Term in which the entry was proposed.
    term: int
    #: Resolved with the reply.
    future: "asyncio.Future[Reply]"


class PendingCalls:
    """Resolves the futures of callers as log entries are applied and reads are confirmed."""

    def __init__(self) -> None:
        self._submitted: list[SubmittedCommand] = []
        self._proposed: dict[int, _ProposedCommand] = {}
        self._reads: dict[int, asyncio.Future[None]] = {}
        self._references = itertools.count(1)

    def has_submitted(self) -> bool:
        """Return whether commands wait to be proposed."""
        return bool(self._submitted)

    def submit(self, commands: Sequence[Command]) -> list[asyncio.Future[Reply]]:
        """Keep commands until they are proposed, and return the futures of their replies."""
        loop = asyncio.get_running_loop()
        futures: list[asyncio.Future[Reply]] = [loop.create_future() for _ in commands]
        for command, future in zip(commands, futures, strict=True):
            self._submitted.append(SubmittedCommand(text=encode_command(command), future=future))
        return futures

    def take_submitted(self) -> list[SubmittedCommand]:
        """Remove the submitted commands, and return those whose callers still wait."""
        submitted = [command for command in self._submitted if not command.future.done()]
        self._submitted.clear()
        return submitted

    def record_proposed(
        self, entries: Sequence[LogEntry], commands: Sequence[SubmittedCommand]
    ) -> None:
        """Record the log entries of commands, in the same order."""
        for entry, command in zip(entries, commands, strict=True):
            self._proposed[entry.index] = _ProposedCommand(term=entry.term, future=command.future)

    def finish_command(self, entry: LogEntry, reply: Reply | None) -> None:
        """Tell the caller of an applied entry the reply, or that another command took its place."""
        proposed = self._proposed.pop(entry.index, None)
        if proposed is not None and not proposed.future.done():
            if proposed.term == entry.term and reply is not None:
                proposed.future.set_result(reply)
            else:
                proposed.future.set_exception(UnavailableError("another leader took over"))

    def start_read(self) -> tuple[int, asyncio.Future[None]]:
        """Return the reference of a new read, and the future of its confirmation."""
        reference = next(self._references)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._reads[reference] = future
        return reference, future

    def end_read(self, reference: int) -> None:
        """Forget a read."""
        self._reads.pop(reference, None)

    def finish_reads(self, output: Output) -> None:
        """Tell the callers of reads that an output confirms or fails."""
        for ready in output.reads:
            future = self._reads.get(ready.reference)
            if future is not None and not future.done():
                future.set_result(None)
        for reference in output.failed_reads:
            future = self._reads.get(reference)
            if future is not None and not future.done():
                future.set_exception(NotLeaderError(""))
