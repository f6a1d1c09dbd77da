"""The control role: agreement between the boxes with disks."""

from damsonlaned.control._following import FollowingService
from damsonlaned.control._group import GroupRepairer
from damsonlaned.control._membership import MembershipUpdater
from damsonlaned.control._node import ControlNode
from damsonlaned.control._registry import Registry
from damsonlaned.control._service import ControlService

__all__ = [
    "ControlNode",
    "ControlService",
    "FollowingService",
    "GroupRepairer",
    "MembershipUpdater",
    "Registry",
]
