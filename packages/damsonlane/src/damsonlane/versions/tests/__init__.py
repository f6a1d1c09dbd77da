"""Tests of the versions of targets."""
