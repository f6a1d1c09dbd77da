"""Which control replicas a box tells of the origins of streams."""

from collections.abc import Sequence
from typing import Final

from damsonlane.membership import rank_boxes

#: Control replicas that are told of each stream: one may be lost together with all entries, while
#: another one restarts.
REPLICA_COPIES: Final = 3
#: Most control replicas that are told or asked.
MAX_REPLICAS: Final = 9
#: Messages a second with origins that one control replica should get at most.
MAX_MESSAGES_PER_SECOND: Final = 500.0
#: Longest time for which origins are collected between two messages, in seconds: what began within
#: it is lost with its entry, so it is short beside the length of a stream.
MAX_COLLECT_SECONDS: Final = 0.25
#: Subject by which they are chosen.
_SUBJECT: Final = "stream origins"


class ReplicaRanking:
    """Ranks the control replicas that a box tells of the origins of its streams.

    A box tells the same ones of all streams, so that origins of one moment share a message.

    Args:
        own_address: internal address of this box, by which boxes spread over the replicas.
    """

    def __init__(self, own_address: str) -> None:
        self._own_address: Final = own_address
        self._replicas: tuple[str, ...] = ()

    def update(self, addresses: Sequence[str]) -> None:
        """Replace the addresses of the control replicas."""
        subject = f"{_SUBJECT} of {self._own_address}"
        ranked = rank_boxes(subject, dict.fromkeys(addresses, 1.0))
        self._replicas = tuple(ranked[:MAX_REPLICAS])

    def find_collect_seconds(self, boxes: int, since_last: float = 0.0) -> float:
        """Return for how long a box collects origins for its next message to a replica, in seconds.

        The first origin after a while is told at once.

        Args:
            boxes: number of boxes that tell the replicas.
            since_last: seconds since its last message to that replica.
        """
        return max(0.0, self._find_interval(boxes) - since_last)

    def _find_interval(self, boxes: int) -> float:
        """Return the time between two messages of a box to a replica, in seconds."""
        copies = min(REPLICA_COPIES, len(self._replicas))
        messages = boxes * copies / max(1, len(self._replicas))
        return min(MAX_COLLECT_SECONDS, messages / MAX_MESSAGES_PER_SECOND)

    def rank(self) -> tuple[str, ...]:
        """Return the addresses of the replicas, the ones that are told first."""
        return self._replicas
