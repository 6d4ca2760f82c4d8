"""Entry host that sends requests straight to backend servers."""
