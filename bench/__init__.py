"""Benchmarks of the decision code; each is one command that prints its tables."""
