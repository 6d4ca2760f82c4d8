"""Clients of the engines and plain services behind a host."""
