"""Job state, on every controller and on the leader.

Every controller indexes the jobs for the user API (`job_index`) and reads and writes their records
(`job_records`). The leader also keeps the job queue in memory (`model`, `job_queue`) and persists
it (`progress_writer`).
"""
