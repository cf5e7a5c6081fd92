"""The HTTP API for users."""
