"""Plain values shared by all parts."""
