"""The buffered bytes of one caller's connection and of the target that serves it."""


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

    @property
    def size(self) -> int:
        """All buffered bytes."""
        return self.unsent + sum(self.unread.values())

    def cost(self, now: float) -> float:
        """Return the bytes times the seconds for which the caller holds them up.

        The seconds since it last took any count twice. A rate would not tell slow callers apart:
        the first bytes of each response go to the buffers of the kernel at once.
        """
        if not self.unsent:
            return 0.0
        return self.size * ((now - self.began_at) + (now - self.progress_at))
