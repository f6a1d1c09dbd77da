"""What an attempt at a target says when it gave the caller nothing."""

from dataclasses import dataclass
from typing import Literal

from damsonlaned.http import HttpResponse

#: How an answer was lost: its connection broke, or nothing came any more.
Loss = Literal["broken", "silent"]


@dataclass(frozen=True, kw_only=True)
class Unserved:
    """An attempt that gave the caller nothing."""

    #: What went wrong.
    detail: str
    #: Whether the request may have run there.
    may_have_run: bool
    #: A whole answer of the target that says so, or None.
    response: HttpResponse | None = None
    #: Whether its stage results must be made again.
    needs_inputs: bool = False
    #: Whether the target turned it away and said how much it takes, or when.
    is_told_off: bool = False
    #: How the answer was lost, if the target may not have survived the request.
    loss: Loss | None = None
    #: Whether there was no target that it could be sent to.
    is_nowhere: bool = False
    #: Seconds after which the caller should come back; 0 where that is not known.
    return_seconds: float = 0.0
