"""The worker registry: the leader's state of machines and workers, and the commands to workers."""
