"""The users' interface."""
