"""Data types shared by all packages."""
