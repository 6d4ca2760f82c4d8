"""Stand-ins for the systems around the fleet, for tests and demonstrations."""
