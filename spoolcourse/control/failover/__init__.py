"""Failover: the followers' warm standby, and how a new leader obtains its job queue.

A follower's shadow is a copy of the job queue from which it can start to lead. Hints are what the
leader knows of workers; followers read them in advance.
"""
