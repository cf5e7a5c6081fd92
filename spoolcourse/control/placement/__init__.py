"""Placement passes: pure functions that decide which pending tasks start on which machines.

A placement pass (short: a pass) reads a snapshot of jobs and machines and returns a plan. The
terms of a pass are explained in `model`.

This package does no I/O, reads no clock and imports no other part of the control package. The same
snapshot always gives the same plan; `tests/recorded/test_recorded_plans.py` replays recorded ones.

- `model`: the snapshot that a pass reads, the plan that it returns, and the terms of a pass.
- `backfill`: the pass itself: EASY backfilling with bin packing.
- `reservations`: machines reserved for the head of the queue, and its shadow time.
- `image_fetches`: limits on concurrent image fetches per machine and per zone.
- `preempt`: chooses the running tasks to stop for jobs of higher rank or within a guarantee.
"""
