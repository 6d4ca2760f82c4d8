"""The edge towards the platform's object API."""
