"""HTTP/1.1 towards callers and upstreams, on the parser httptools."""
