"""The control role: boxes with disks that replicate the state of the system."""

from damsonlaned.control._follow_service import FollowService
from damsonlaned.control._group_manager import GroupManager
from damsonlaned.control._membership import MembershipUpdater
from damsonlaned.control._node import ControlNode
from damsonlaned.control._registry import Registry
from damsonlaned.control._service import ControlService

__all__ = [
    "ControlNode",
    "ControlService",
    "FollowService",
    "GroupManager",
    "MembershipUpdater",
    "Registry",
]
