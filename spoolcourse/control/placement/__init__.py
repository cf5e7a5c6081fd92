"""The placement model and its passes: pure functions of a snapshot.

This package does no I/O, reads no clock and imports no other part of the control package. The same
snapshot always gives the same plan; `tests/recorded/test_recorded_plans.py` replays recorded ones.

- `model`: the snapshot that a pass reads and the plan that it returns.
- `backfill`: EASY backfilling with bin packing.
- `reservations`: machines reserved for the head of the queue, and its shadow time.
- `image_fetches`: limits on concurrent image fetches per machine and per zone.
- `preempt`: preemption for rank and team guarantee.
"""
