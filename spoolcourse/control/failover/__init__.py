"""Failover: the warm standby that followers keep, and how a new leader gets its job queue."""
