"""The control service, which runs on every controller."""
