"""Failover: the followers' warm standby, and how a new leader obtains its job queue."""
