"""Configuration: objects, editions, publishing and distribution, without I/O.

Only the reader of object files opens files.
"""
