"""Runs the loops of a controller or of a leader term, and handles their failures."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

log = logging.getLogger(__name__)

LoopFunction = Callable[[], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class SupervisionPolicy:
    """How the failure of a loop is handled; in any case, the controller steps down.

    `restart_after_s`: the delay before a loop that failed or returned is restarted; None: never.
    `expected`: errors that are not faults. They are not logged as failures, and their message is
    the reason for stepping down.
    """

    restart_after_s: float | None
    expected: tuple[type[Exception], ...] = ()


class LoopSupervisor:
    """Runs each loop in its own task, under a common policy."""

    def __init__(self, step_down: Callable[[str], None], policy: SupervisionPolicy) -> None:
        self._step_down = step_down
        self._policy = policy
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, loop: LoopFunction) -> None:
        """Run a loop until it is cancelled."""
        self._tasks.append(asyncio.get_running_loop().create_task(self._supervise(loop)))

    def cancel(self) -> None:
        """Cancel all loops."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    async def wait(self) -> None:
        """Wait for all current loops; re-raises the first exception that ends one."""
        await asyncio.gather(*self._tasks)

    async def _supervise(self, loop: LoopFunction) -> None:
        restart_after_s = self._policy.restart_after_s
        while True:
            try:
                await loop()
            except self._policy.expected as exc:
                self._step_down(str(exc))
            except Exception:
                will_restart = restart_after_s is not None
                log.exception("loop failed: loop=%s restarts=%s", loop.__qualname__, will_restart)
                self._step_down("a loop failed")
            if restart_after_s is None:
                return
            await asyncio.sleep(restart_after_s)
