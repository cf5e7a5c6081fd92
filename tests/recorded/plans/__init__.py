"""Recorded results of the pure planning functions, on inputs generated from seeds."""
