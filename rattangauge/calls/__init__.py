"""Decisions about calls, such as routing, queueing and retries, without I/O."""
