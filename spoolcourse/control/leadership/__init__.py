"""Election of the leader, and what a leader must prove or check to act safely in its term.

- `election`, `candidate`, `term`: elect one controller per term by a claim: a write of the leader
  key and the term key.
- `fenced_write`: writes that fail once a later term is claimed.
- `failover_proof`, `failover_timeline`: show that a new leader has seen all placements of earlier
  leaders; record how long a failover takes.
- `renewal_deadline`: until when a leader may renew the leases of workers.
- `peers`, `feature_level`: queries to the other controllers (the peers).
"""
