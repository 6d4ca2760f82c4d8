"""The edge towards operators."""
