"""What operators see of the warm standby and of failovers: status, metrics, traces."""

from __future__ import annotations

from io import StringIO

import orjson

from spoolcourse.control.failover.tracing import FailoverTracer
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.wire.standby_settings import StandbySettings
from tests.fakes.failover import STANDBY_ON, start_with_running_job, wait_for_failover
from tests.fakes.world import World, job


async def test_with_the_standby_off_its_paths_and_status_do_not_exist() -> None:
    world = World(standby=StandbySettings())
    leader = await start_with_running_job(world)
    for path in ("/hints?after=&most=1", "/standby"):
        assert (await world.network.call("u", f"{leader}:81", "GET", path, None, 1)).status == 404
    assert (
        await world.network.call("user", f"{leader}:81", "POST", "/handover", None, 5.0)
    ).status == 409
    status = await world.network.call("u", f"{leader}:81", "GET", "/status", None, 1)
    assert "standby" not in status.data
    assert "storeWrites" in status.data


async def test_status_metrics_and_a_trace_describe_the_last_failover() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    world.kill(former)
    successor = await wait_for_failover(world, former)
    await world.submit(job(2, pieces=1, vcpus=1.0), successor)
    timeline = world.controllers[successor].last_failover_timeline
    assert timeline is not None
    await world.until(lambda: len(timeline.intervals()) == len(FailoverPhase) - 1, 20)
    status = await world.network.call("u", f"{successor}:81", "GET", "/status", None, 1)
    assert status.data["lastTakeover"]["proof"] == "shadow"
    assert status.data["standby"]["state"] == "leading"
    follower = next(label for label in world.controllers if label != successor)
    status = await world.network.call("u", f"{follower}:81", "GET", "/status", None, 1)
    assert status.data["standby"]["caughtUp"]
    assert status.data["standby"]["jobs"] == 2
    jobs = world.active(successor).job_queue.jobs.values()
    attempt_count = sum(len(job_state.attempts) for job_state in jobs)
    assert attempt_count
    assert status.data["standby"]["teamCpus"] == {"red": float(attempt_count)}
    metrics = await world.network.call("u", f"{follower}:81", "GET", "/metrics", None, 1)
    assert b"spoolcourse_standby_caught_up 1.0" in metrics.data
    trace_output = StringIO()
    FailoverTracer(successor, world.now, world.now, trace_output).write(timeline)
    spans = [orjson.loads(line) for line in trace_output.getvalue().splitlines()]
    assert {span["name"] for span in spans} == {"take-over"} | {
        phase.value for phase in FailoverPhase if phase is not FailoverPhase.VACANT
    }
    assert len({span["context"]["trace_id"] for span in spans}) == 1
