"""The pure core of damsonlane: decisions without input, output, clocks or threads.

Time and randomness are passed in by the caller.  The daemon adapts this
package to sockets, disks and clocks.
"""
