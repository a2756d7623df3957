"""The daemon beside one upstream, on a platform with an object store."""
