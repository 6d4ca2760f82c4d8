"""Private implementation; import nothing from here outside the project."""
