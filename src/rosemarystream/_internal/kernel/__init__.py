"""Registry of the services and delivery of events between them."""
