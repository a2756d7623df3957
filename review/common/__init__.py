"""Shared parts of the review's scripts: stand-ins, daemons and a record."""
