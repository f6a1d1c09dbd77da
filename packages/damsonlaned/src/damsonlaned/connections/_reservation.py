"""Room for connections that are opened beside requests."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, nullcontext

from damsonlane.targets import TargetRecord

#: Leaves room for one connection to a target; yields whether there is any.
Reserve = Callable[[TargetRecord], AbstractAsyncContextManager[bool]]


def reserve_any(_: TargetRecord) -> AbstractAsyncContextManager[bool]:
    """Have room for any connection."""
    return nullcontext(enter_result=True)
