"""Tests of streams and the software versions of targets."""
