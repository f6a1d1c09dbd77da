"""Keeps event streams at targets of the software version that began them."""
