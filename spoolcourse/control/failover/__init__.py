"""Warm standby: what a follower keeps ready for a failover, and the proof that ends one."""
