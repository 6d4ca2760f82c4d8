"""HTTP interface for callers, and the handling of their requests."""
