"""Connections to targets: how many this box may open, and loans between boxes."""

from damsonlaned.connections._fleet_connections import Fleet, FleetConnections
from damsonlaned.connections._loan_client import LoanClient
from damsonlaned.connections._loan_service import LoanService
from damsonlaned.connections._reservation import Reserve, reserve_any

__all__ = ["Fleet", "FleetConnections", "LoanClient", "LoanService", "Reserve", "reserve_any"]
