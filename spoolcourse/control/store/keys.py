"""Names of the keys in the key-value store."""

PREFIX = "spoolcourse/"
LIVE = PREFIX + "live/"
LEADER = LIVE + "leader"
TERM = LIVE + "term"
BASE = LIVE + "base"  # machines found when the service first ran
LEVEL = LIVE + "level"  # of the forms that every controller can read
CATALOG = LIVE + "catalog"
JOB = LIVE + "job/"
PROGRESS = LIVE + "prog/"
FINAL = PREFIX + "fin/"


def base_part_key(part: int) -> str:
    """The key of a further part of the machines found at the first start; the first is `BASE`."""
    return f"{BASE}/{part}"


def job_key(job: str) -> str:
    """The key of a live job's record."""
    return JOB + job


def final_key(job: str) -> str:
    """The key of a job's final state."""
    return FINAL + job


def progress_key(job: str, chunk: int) -> str:
    """The key of one chunk of a job's progress."""
    return f"{PROGRESS}{job}/{chunk}"


def split_progress(key: str) -> tuple[str, int]:
    """The job and the chunk that a progress key names."""
    job, _, chunk = key[len(PROGRESS) :].partition("/")
    return job, int(chunk)
