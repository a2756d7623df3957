"""Decisions about members: pure functions without I/O."""
