"""Fair division of the turns of an event loop."""

from damsonlane.turns._turn_queue import EVENTS_PER_GRANT, GRANTS_PER_TURN, TurnQueue

__all__ = ["EVENTS_PER_GRANT", "GRANTS_PER_TURN", "TurnQueue"]
