"""Administration API, sheet, and tools for operators."""
