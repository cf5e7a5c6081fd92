"""Warm standby: what a follower keeps ready for a take-over, and the proof that ends one."""
