"""The edge towards other entry hosts."""
