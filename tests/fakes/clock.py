"""An event loop whose clock jumps to the next timer whenever no task is ready."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

_background: set[asyncio.Task[Any]] = set()


def spawn(coroutine: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine in the background; asyncio itself keeps no strong reference to its task."""
    task = asyncio.get_running_loop().create_task(coroutine)
    _background.add(task)
    task.add_done_callback(_background.discard)


class _Selector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: no timer is left to wait for")
        ready = super().select(0)
        if not ready and timeout > 0:
            self.now += timeout
        return ready


class FakeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._fake = _Selector()
        super().__init__(self._fake)

    def time(self) -> float:
        return self._fake.now


def run_in_simulated_time(scenario: Coroutine[Any, Any, T]) -> T:
    """Run a scenario to its end in simulated time, then cancel the tasks it left running."""
    with asyncio.Runner(loop_factory=FakeLoop) as runner:
        return runner.run(scenario)
