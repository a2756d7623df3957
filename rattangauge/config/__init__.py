"""Decisions about configuration: pure functions without I/O."""
