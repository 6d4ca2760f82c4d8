"""Registry and event loop of services."""
