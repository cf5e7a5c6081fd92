"""The control service: what runs on every controller."""
