"""The worker registry: heartbeats, reconciliation, and commands to workers."""
