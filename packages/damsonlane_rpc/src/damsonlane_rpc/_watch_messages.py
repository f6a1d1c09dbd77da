"""A box's report of itself to control."""

from damsonlane.hints import FlagHint, NamesHint, NumberHint
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class WatchReport:
    """A box's report of the settings in force there."""

    #: Name of the box.
    box: str
    #: Random id, drawn at each start of its process.
    incarnation: str
    #: Its data centre.
    data_centre: str
    #: Version of the settings in force there.
    version: int
    #: Start of its process by its own clock, in seconds since 1970.
    started_at: float
    #: Its internal address.
    address: str
    #: Whether it is draining.
    is_leaving: bool = False
    #: Its capacity, in cores; 0 if unknown, NaN if the report has something else than a number.
    capacity: NumberHint = 0.0
    #: Whether it should own nothing while another box can, since it is short of processor time.
    is_overloaded: FlagHint = False
    #: Services whose targets it does not reach, though other boxes do.
    unreached: NamesHint = ()
