"""The scheduling loop: builds snapshots for the placement passes and executes their plans.

A placement pass (short: a pass) decides which pending tasks start on which machines; see
`placement.model` for its terms.

- `scheduling_loop`: runs the passes and executes their plans.
- `snapshot_builder`, `snapshot_cache`, `placement_jobs`, `job_order`, `team_budgets`,
  `scarce_machine_types`: convert the leader's state into the snapshot that a pass reads.
- `preemption`: stops running tasks for unplaced tasks that take precedence.
- `capacity_planning`: requests machines to provision.
- `name_index`, `attempt_numbers`, `estimates`: indices, attempt numbers and run times.
- `waiting_jobs`: waiting jobs with their wait reasons, for operators.
- `termination_notices`: drains spot machines that the cloud reclaims.
"""
