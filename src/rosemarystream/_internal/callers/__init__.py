"""The edge towards callers."""
