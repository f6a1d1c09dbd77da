"""The core of damsonlane: decisions without I/O, clocks or threads.

Callers pass in time and randomness.  The daemon connects this package to sockets,
disks and clocks.
"""
