"""Experiments on the decision code; each is one command and one table."""
