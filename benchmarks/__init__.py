"""Benchmarks and their bounds."""
