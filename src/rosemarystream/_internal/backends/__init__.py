"""The edge towards engines and plain services."""
