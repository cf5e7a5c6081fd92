"""Runs a case, ends all its processes whatever happens, and returns its exit code."""

import asyncio
import os
import signal
from typing import Protocol

from review.standins.deployment import CannotRunError, Deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # whether the case has its disruption
TIME_LIMIT_S = 110.0
# Not 1, which is also the code of an exception; `run.sh` maps them.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2


class Case(Protocol):
    """A case: its deployment, what it found, and the coroutine that plays it."""

    deployment: Deployment

    @property
    def broken(self) -> list[str]:
        """What broke the rule so far."""

    async def run(self) -> None:
        """Play the case."""


async def play(case: Case) -> int:
    """Play a case and return the exit code."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    record = case.deployment.record
    reason = ""
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await case.run()
    except CannotRunError as exc:
        reason = str(exc)
    except (TimeoutError, asyncio.CancelledError):
        reason = "it took too long"
    finally:
        broken = list(case.broken)  # without what the end of the run loses
        await case.deployment.close()
    if reason:
        record.write("cannot_run", reason=reason)
        print(f"could not run: {reason}")
        return COULD_NOT_RUN
    for line in broken:
        record.write("broken", what=line)
        print(f"BROKEN: {line}")
    if not broken:
        record.write("held")
        print("held")
    return BROKEN if broken else HELD
