"""Recorded answers of the pure parts, on inputs made from seeds."""
