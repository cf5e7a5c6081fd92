"""The scheduling loop: builds snapshots for the placement pass and carries out its plans.

- `scheduling_loop`: when a pass runs, and what is done with its plan.
- `snapshot_builder`, `snapshot_cache`, `job_views`, `job_order`, `team_budgets`,
  `scarce_machine_types`: the leader's state as the pass sees it.
- `preemption`, `capacity_planning`: the plan's victims and the machines to rent.
- `waiting_jobs`: what waits, and for what, for the operators.
- `termination_notices`: drains spot machines that the cloud takes back.
"""
