"""The cloud's API: its client, and the catalog of machine types."""
