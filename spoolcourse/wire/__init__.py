"""Messages in the protocol's spelling, and the settings."""
