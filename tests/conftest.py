"""Coroutine tests run on the fake clock.

A test written as `async def test_x() -> None` is a scenario:
`tests.fakes.clock.run_in_simulated_time` runs it on an event loop of its own, whose clock jumps to
the next timer whenever no task is ready. Fixtures and parameters are passed as to any other test.
No plugin is needed, and none may be installed beside this: the first hook that returns a value runs
the test.
"""

from __future__ import annotations

import inspect

import pytest

from tests.fakes.clock import run_in_simulated_time


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine test to its end in simulated time; leave other tests to pytest."""
    test = pyfuncitem.obj
    if not inspect.iscoroutinefunction(test):
        return None
    arguments = {name: pyfuncitem.funcargs[name] for name in inspect.signature(test).parameters}
    run_in_simulated_time(test(**arguments))
    return True
