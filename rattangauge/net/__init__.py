"""Connections of the daemon: everything that does I/O."""
