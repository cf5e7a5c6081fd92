"""The loops of a controller and of a leader term, and what happens when one of them fails."""

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
    """What happens after a loop has failed. The controller always steps down.

    `restart_after_s`: the pause before the loop, failed or ended, is run again; None: it isn't.
    `expected`: errors that are no fault: their message is the reason for stepping down, and
    they are not logged as failures.
    """

    restart_after_s: float | None
    expected: tuple[type[Exception], ...] = ()


class LoopSupervisor:
    """Runs each loop in a task of its own, under one policy."""

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
        """Wait for the end of all loops that run now; raises what ends one of them."""
        await asyncio.gather(*self._tasks)

    async def _supervise(self, loop: LoopFunction) -> None:
        restart_after_s = self._policy.restart_after_s
        while True:
            try:
                await loop()
            except self._policy.expected as exc:
                self._step_down(str(exc))
            except Exception:
                restarts = restart_after_s is not None
                log.exception("loop failed: loop=%s restarts=%s", loop.__qualname__, restarts)
                self._step_down("a loop failed")
            if restart_after_s is None:
                return
            await asyncio.sleep(restart_after_s)
