"""Small stand-ins for the systems around the fleet; used only in tests."""
