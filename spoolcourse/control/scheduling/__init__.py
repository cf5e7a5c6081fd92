"""The scheduling loop: builds snapshots for the placement pass and executes its plans.

- `scheduling_loop`: runs the passes and executes their plans.
- `snapshot_builder`, `snapshot_cache`, `placement_jobs`, `job_order`, `team_budgets`,
  `scarce_machine_types`: the leader's state as a snapshot.
- `preemption`, `capacity_planning`: stop the victims of a pass; request machines to provision.
- `waiting_jobs`: waiting jobs with their wait reasons, for operators.
- `termination_notices`: drains spot machines that the cloud reclaims.
"""
