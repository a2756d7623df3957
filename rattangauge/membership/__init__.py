"""Members and peers: records, failure detection and status, without I/O."""
