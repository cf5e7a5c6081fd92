"""Election, terms, fenced writes, failover proofs and the deadline for renewing worker leases."""
