"""An event loop whose time passes at once whenever nothing is left to do."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

_background: set[asyncio.Task[Any]] = set()


def spawn(work: Coroutine[Any, Any, Any]) -> None:
    """Run something beside the story; it is kept until it ends, as asyncio itself does not."""
    task = asyncio.get_running_loop().create_task(work)
    _background.add(task)
    task.add_done_callback(_background.discard)


class _Selector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("the story is stuck: nothing is left to wait for")
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


def play(story: Coroutine[Any, Any, T]) -> T:
    """Run a story to its end in simulated time; its other tasks end with it."""
    with asyncio.Runner(loop_factory=FakeLoop) as runner:
        return runner.run(story)
