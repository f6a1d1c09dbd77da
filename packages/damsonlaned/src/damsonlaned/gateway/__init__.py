"""An entry that serves routes: whole responses, event streams, and stages in shared pools."""

from damsonlaned.gateway._node import GatewayNode

__all__ = ["GatewayNode"]
