"""Adapter for the platform: its object store, documents and headers."""
