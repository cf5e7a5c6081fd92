"""The placement model and its passes: pure functions of a snapshot.

Nothing here does I/O or reads a clock, and of the control package only this package itself is
imported. The same snapshot always gives the same plan: `tests/recorded/test_recorded_plans.py`
replays recorded ones.

- `model`: the snapshot that a pass reads and the plan that it returns.
- `backfill`: EASY backfilling with bin packing.
- `reservations`: the reservation of the head of the queue, up to its shadow time.
- `image_fetches`: how many image fetches may run at once on a machine and in a zone.
- `preempt`: preemption for rank and quota.
"""
