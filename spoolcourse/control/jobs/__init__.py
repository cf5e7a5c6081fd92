"""Jobs.

Every controller keeps an index of them for users (`job_index`) and reads and writes their records
(`job_records`). The leader keeps its working state (`model`, `job_queue`) and persists it
(`progress_writer`).
"""
