"""Entry host that relays callers' requests directly to backend servers."""
