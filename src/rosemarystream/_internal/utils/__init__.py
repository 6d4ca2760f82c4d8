"""HTTP clients and other small helpers."""
