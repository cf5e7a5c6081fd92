"""Restarts and step-downs after a loop of a controller or of a leader term fails."""

from __future__ import annotations

import asyncio

from spoolcourse.control.supervisor import LoopSupervisor, SupervisionPolicy
from tests.fakes.clock import run_in_simulated_time

RESTART = SupervisionPolicy(restart_after_s=1.0)
NO_RESTART = SupervisionPolicy(restart_after_s=None, expected=(ConnectionError,))


class FailingLoop:
    """Raises the given errors, one each time it is run, and then waits forever."""

    def __init__(self, *errors: Exception) -> None:
        self._errors = list(errors)
        self.start_times: list[float] = []

    async def run(self) -> None:
        self.start_times.append(asyncio.get_running_loop().time())
        if self._errors:
            raise self._errors.pop(0)
        await asyncio.Event().wait()


def supervise(loop: FailingLoop, policy: SupervisionPolicy) -> tuple[list[str], list[float]]:
    """Run the loop; return the reasons for stepping down and its start times from 0 on."""
    reasons: list[str] = []

    async def scenario() -> None:
        supervisor = LoopSupervisor(reasons.append, policy)
        supervisor.spawn(loop.run)
        await asyncio.sleep(5.0)
        supervisor.cancel()
        await asyncio.sleep(5.0)

    run_in_simulated_time(scenario())
    return reasons, [time - loop.start_times[0] for time in loop.start_times]


def test_a_controllers_loop_is_restarted_a_second_after_each_failure() -> None:
    loop = FailingLoop(RuntimeError("first"), RuntimeError("second"))
    assert supervise(loop, RESTART) == (["a loop failed", "a loop failed"], [0.0, 1.0, 2.0])


def test_a_loop_of_a_term_that_fails_is_not_restarted() -> None:
    assert supervise(FailingLoop(RuntimeError("once")), NO_RESTART) == (["a loop failed"], [0.0])


def test_an_expected_error_gives_the_reason_for_stepping_down() -> None:
    assert supervise(FailingLoop(ConnectionError("superseded")), NO_RESTART) == (
        ["superseded"],
        [0.0],
    )


def test_an_error_that_the_policy_does_not_expect_is_a_failure() -> None:
    loop = FailingLoop(ConnectionError("superseded"))
    assert supervise(loop, RESTART) == (["a loop failed"], [0.0, 1.0])


def test_a_cancelled_loop_ends_without_stepping_down() -> None:
    assert supervise(FailingLoop(), RESTART) == ([], [0.0])
