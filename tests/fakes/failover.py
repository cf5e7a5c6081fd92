"""Helpers for failover tests with the warm standby on: running jobs, paused leaders, placements."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from spoolcourse.control.failover.strategies import FailoverResult
from spoolcourse.control.failover.warm_standby import WarmStandby
from spoolcourse.control.http_client import Response
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.keys import PROGRESS_PREFIX, TERM_KEY, parse_progress_key
from spoolcourse.wire.standby_settings import StandbySettings
from tests.fakes.world import LABELS, World, job

STANDBY_ON = StandbySettings(enabled=True, verify=True)
RequestMatcher = Callable[[str, str, Any], bool]  # of a request: method, path and body


def sets_key_below(prefix: str) -> RequestMatcher:
    """Matches transactions that set a key with the prefix."""

    def matches(method: str, path: str, body: Any) -> bool:
        return path == "/multi" and any(
            op.get("set", "").startswith(prefix) for op in body.get("apply", ())
        )

    return matches


def run_after_request(
    world: World, host: str, matches: RequestMatcher, action: Callable[[], Awaitable[Any]]
) -> None:
    """Run the action once, after the host has executed such a request and before it answers."""
    serve = world.network.hosts[host]
    requests: list[str] = []

    async def serve_and_run(method: str, path: str, body: Any) -> Response:
        reply = await serve(method, path, body)
        if not requests and reply.status == 200 and matches(method, path, body):
            requests.append(path)
            await action()
        return reply

    world.network.hosts[host] = serve_and_run


class PausedController:
    """A paused controller: its requests are held, and it receives nothing."""

    def __init__(self, world: World, label: str) -> None:
        self.world, self.label, self.is_resumed = world, label, False
        self.late_placements: list[Response] = []  # replies to its held progress writes
        world.network.filters.append(self._verdict)

    def _verdict(self, src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if self.is_resumed or self.label not in (src, dst.split(":", maxsplit=1)[0]):
            return None
        return "hold" if src == self.label and method == "POST" else "cut"

    async def resume(self) -> None:
        self.is_resumed = True
        held = [(path, body) for _, _, path, body in self.world.network.held]
        replies = await self.world.network.release()
        for (path, body), reply in zip(held, replies, strict=True):
            if sets_key_below(PROGRESS_PREFIX)("POST", path, body):
                self.late_placements.append(reply)


class Placement(NamedTuple):
    """A task on a machine, with its attempt number."""

    job: str
    task: int
    machine: str
    attempt: int


def record_placements_at_claim(world: World) -> set[Placement]:
    """Return a set that the next claim of a term fills with all placements in the store."""
    placements: set[Placement] = set()

    async def record() -> None:
        for key, (value, _, _) in world.store.keys.items():
            if key.startswith(PROGRESS_PREFIX):
                job = parse_progress_key(key)[0]
                placements.update(
                    Placement(job, int(task), machine, attempt)
                    for task, (machine, attempt) in value["held"].items()
                )

    run_after_request(world, "state:1", sets_key_below(TERM_KEY), record)
    return placements


def record_placements_of_failover(world: World) -> set[Placement]:
    """Return a set that the next failover fills with the placements it restored."""
    placements: set[Placement] = set()

    def recording(run: Callable[[Term], Awaitable[FailoverResult]]) -> Any:
        async def run_and_record(term: Term) -> FailoverResult:
            result = await run(term)
            for job_state in result.restored.job_queue.jobs.values():
                for a in job_state.attempts.values():
                    placements.add(Placement(job_state.id, a.task, a.machine, a.number))
            return result

        return run_and_record

    for controller in world.controllers.values():
        controller._failover.run = recording(controller._failover.run)  # type: ignore[method-assign]
    return placements


async def start_with_running_job(world: World, tasks: int = 12) -> str:
    """Start controllers and machines with a job whose tasks run; returns the leader's label."""
    world.cloud.run_s = lambda task: 15.0
    await world.start_with_machine()
    await world.submit(job(1, pieces=tasks, vcpus=1.0))
    await world.until(lambda: len(world.cloud.starts) >= 4)
    return str(world.leader)


def is_active(world: World, label: str) -> bool:
    term = world.controllers[label].leader_term if label in world.controllers else None
    return term is not None and term.active is not None


async def wait_for_failover(world: World, former: str, timeout_s: float = 20.0) -> str:
    """Wait until another controller has completed a failover; returns its label."""

    def successors() -> list[str]:
        return [n for n in world.controllers if n != former and is_active(world, n)]

    await world.until(successors, timeout_s)
    return successors()[0]


async def finish_each_task_once(world: World, *numbers: int) -> None:
    """Wait for jobs to finish; checks that no rule was broken and no task started twice."""
    for number in numbers:
        await world.wait_until_done(number)
    assert world.cloud.violations == []
    names = [name for _, name, _ in world.cloud.starts]
    assert len(names) == len(set(names)), "a task was started twice although no machine was lost"


def standby_of(world: World, label: str) -> WarmStandby:
    """The warm standby of a controller, which must have one."""
    standby = world.controllers[label].standby
    assert standby is not None
    return standby


def other_labels(former: str) -> list[str]:
    """The labels of all controllers but one."""
    return [label for label in LABELS if label != former]
