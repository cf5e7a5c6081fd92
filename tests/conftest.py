"""Runs coroutine tests on the fake clock.

`tests.fakes.clock.run_in_simulated_time` runs each `async def test_x() -> None` on its own event
loop, whose clock advances immediately whenever no callback is ready. Fixtures and parameters are
passed as to any other test. Don't install an asyncio plugin: the first hook that returns a value
runs the test.
"""

from __future__ import annotations

import inspect

import pytest

from tests.fakes.clock import run_in_simulated_time


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Runs a coroutine test to its end in simulated time; leaves other tests to pytest."""
    test = pyfuncitem.obj
    if not inspect.iscoroutinefunction(test):
        return None
    arguments = {name: pyfuncitem.funcargs[name] for name in inspect.signature(test).parameters}
    run_in_simulated_time(test(**arguments))
    return True
