"""Decisions about calls: pure functions without I/O."""
