"""The control role: agreement between the boxes with disks."""

from damsonlaned.control._following import FollowingService
from damsonlaned.control._group import GroupKeeper
from damsonlaned.control._keeper import Keeper
from damsonlaned.control._node import ControlNode
from damsonlaned.control._registry import Registry
from damsonlaned.control._service import ControlService

__all__ = [
    "ControlNode",
    "ControlService",
    "FollowingService",
    "GroupKeeper",
    "Keeper",
    "Registry",
]
