"""The buffered bytes of one caller's connection and of the target that serves it."""

from typing import Final


class BufferAccount:
    """The mutable counts of one caller's connection, changed only by its `BufferBudget`."""

    def __init__(self, now: float) -> None:
        #: Organisation whose request is served; empty before it is known.
        self.organisation = ""
        #: Bytes that the caller has not taken yet.
        self.unsent = 0
        #: Bytes that arrived from the target or the caller and wait to be processed.
        self.unread: dict[object, int] = {}
        #: Since when reading from the target is paused; None while it is not.
        self.paused_at: float | None = None
        #: When the caller last took bytes, or had none to take.
        self.progress_at = now
        #: When it began to have bytes to take.
        self.began_at = now
        #: Since when a body of the caller is read; None while none is.
        self.reading_since: float | None = None
        #: When bytes of that body last arrived.
        self.arrived_at = now
        #: What of it waits for room, so that the caller can't make progress itself.
        self.room_requests = 0

    @property
    def size(self) -> int:
        """All buffered bytes."""
        return self.unsent + sum(self.unread.values())

    def stalled_seconds(self, now: float) -> float:
        """Return for how long the caller has neither taken nor sent the bytes it could."""
        if self.room_requests:
            return 0.0
        if self.unsent:
            return now - self.progress_at
        return now - self.arrived_at if self.reading_since is not None else 0.0

    def cost(self, now: float) -> float:
        """Return the bytes times the seconds for which the caller holds them up.

        The seconds since it last took or sent any count twice. A rate would not tell slow callers
        apart: the first bytes of each response go to the buffers of the kernel at once.
        """
        if self.unsent:
            return self.size * ((now - self.began_at) + (now - self.progress_at))
        if self.reading_since is not None:
            return self.size * ((now - self.reading_since) + self.stalled_seconds(now))
        return 0.0


class RoomRequest:
    """A body or a response that waits for room to grow.

    Args:
        account: the account of its caller.
        size: the bytes by which it wants to grow.
    """

    def __init__(self, account: BufferAccount, size: int) -> None:
        self.account: Final = account
        self.size: Final = size
