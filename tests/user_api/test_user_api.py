"""Answers to requests of users and operators."""

from __future__ import annotations

import asyncio
from typing import Any

from spoolcourse.control.http_client import Request, Response
from tests.fakes.world import LABELS, World, job


async def test_a_job_runs_and_every_controller_reports_its_stage() -> None:
    world = World()
    await world.start_controllers()
    first = await world.submit(job(), "n1")
    assert (first.status, first.data) == (201, {"id": "job-000001", "stage": "queued"})
    again = await world.submit(job(pieces=9), "n2")
    assert again.status == 200
    assert again.data["stage"] in ("queued", "running")
    await world.wait_until_done()
    for label in LABELS:
        reply = await world.poll(1, label)
        assert (reply.status, reply.data["stage"], reply.data["done"]) == (200, "done", 4)
        assert (await world.poll(7, label)).status == 404
        assert (await world.cancel(7, label)).status == 404
        assert (await world.cancel(1, label)).data["stage"] == "done"
    # A late repeat is still the same job, even if it is malformed.
    assert (await world.submit(job(pieces=-1), "n2")).data["stage"] == "done"
    assert sorted(task for _, task, _ in world.cloud.starts) == [
        f"job-000001/{i}" for i in range(4)
    ]


async def test_malformed_submissions_get_400_and_impossible_ones_422() -> None:
    world = World()
    await world.start_controllers()
    bodies: tuple[Any, ...] = (
        [],
        "x",
        {k: v for k, v in job().items() if k != "pieces"},
        job(pieces="4"),
        job(pieces=-1),
        job(pieces=100_001),
        job(vcpus=-1.0),
        job(shape="ring"),
        job(rank="urgent"),
        job(id="job 1"),
        job(loaners=1),
    )
    for malformed in bodies:
        assert (await world.submit(malformed)).status == 400, malformed
    for body in (
        job(crew="green"),
        job(vcpus=9.0),
        job(memoryGb=33.0),
        job(gpus=1.0),
        job(crew="blue", vcpus=33.0),
        job(builds=["c9"]),
        job(yard="c"),
    ):
        assert (await world.submit(body)).status == 422, body
    assert not world.store.value("spoolcourse/live/job/job-000001")


async def test_a_write_whose_answer_is_lost_is_read_back() -> None:
    world = World()
    await world.start_controllers()

    def lose_answer(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        keys = [op.get("set", "") for op in (body or {}).get("apply", [])]
        return "lose" if any("/job/" in key for key in keys) else None

    world.network.filters.append(lose_answer)
    assert (await world.submit(job())).status == 201
    assert (await world.cancel()).data["stage"] == "aborted"
    world.network.filters.clear()
    assert (await world.poll(1, "n2")).data["stage"] == "aborted"


async def test_a_controller_that_alone_lost_the_key_value_store_asks_a_peer() -> None:
    world = World()
    await world.start_controllers()
    world.network.filters.append(
        lambda src, dst, *rest: "503" if (src, dst) == ("n0", "state:1") else None
    )
    assert (await world.submit(job(), "n0")).status == 201
    await asyncio.sleep(5)
    assert (await world.poll(1, "n0")).status == 200
    assert (await world.poll(2, "n0")).status == 404
    assert (await world.request("n0", "GET", "/healthz")).status == 200
    await world.wait_until_done()


async def test_a_follower_never_answers_with_a_state_before_a_confirmed_cancellation() -> None:
    world = World()
    await world.start_controllers()
    await world.submit(job(), "n0")
    assert (await world.poll(1, "n1")).status == 200
    # n1's watch hangs; it can still read from the key-value store.
    world.network.filters.append(
        lambda src, dst, method, path, body: (
            "cut" if src == "n1" and path.startswith("/watch") and "blockMs=0" not in path else None
        )
    )
    assert (await world.cancel(1, "n2")).status == 200
    assert (await world.poll(1, "n1")).data["stage"] == "aborted"
    world.network.filters.append(lambda src, dst, *rest: "cut" if src == "n1" else None)
    assert (await world.poll(1, "n1")).data["stage"] == "aborted"


async def test_a_controller_whose_key_value_store_hangs_asks_a_peer_before_waiting_again() -> None:
    world = World()
    await world.start_controllers()
    follower = next(n for n in LABELS if n != world.leader)
    world.network.filters.append(
        lambda src, dst, *rest: "cut" if (src, dst) == (follower, "state:1") else None
    )
    await asyncio.sleep(14)
    started_at = world.now()
    assert (await world.submit(job(), follower)).status == 201
    assert world.now() - started_at < 0.2


async def test_a_burst_beyond_the_budget_gets_retry_after_and_delays_no_later_submission() -> None:
    world = World()
    await world.start_controllers()
    replies = await asyncio.gather(*(world.submit(job(n), "n1") for n in range(1, 600)))
    accepted = [reply for reply in replies if reply.status == 201]
    refused = [reply for reply in replies if reply.status == 503]
    assert len(accepted) > 20
    assert len(refused) > 20
    assert len(accepted) + len(refused) == 599
    assert all(1 <= int(reply.headers["Retry-After"]) <= 30 for reply in refused)
    await asyncio.sleep(3)
    started_at = world.now()
    assert (await world.submit(job(700), "n1")).status == 201
    assert world.now() - started_at < 0.5


async def test_a_controller_without_a_certain_answer_responds_503_before_users_time_out() -> None:
    # Its peers hang, as in a network partition. With a second for each of them, the answer came
    # after users had given up.
    world = World()
    await world.start_controllers()
    await world.submit(job(), "n1")
    await asyncio.sleep(3)
    world.network.filters.append(lambda src, dst, *rest: "cut" if src == "n0" else None)
    await asyncio.sleep(12)
    for request, limit_s in ((world.submit(job(2)), 5.0), (world.poll(1), 2.0)):
        started_at = world.now()
        reply = await request
        assert (reply.status, world.now() - started_at < limit_s) == (503, True)
        assert 1 <= int(reply.headers["Retry-After"]) <= 30


async def test_status_and_metrics_show_waiting_jobs_and_the_reasons() -> None:
    world = World()
    world.cloud.capacity = 1
    await world.start_controllers()
    await world.submit(job(1, pieces=9))
    await world.submit(job(2, pieces=20, crew="blue", vcpus=8.0))
    await asyncio.sleep(12)
    leader = str(world.leader)
    status = await world.network.call("op", f"{leader}:81", "GET", "/status", None, 2.0)
    assert status.data["role"] == "leader"
    assert status.data["lease"] == "valid"
    assert [e["id"] for e in status.data["waiting"]] == ["job-000001", "job-000002"]
    assert {e["why"] for e in status.data["waiting"]} == {"machines"}
    other = next(n for n in LABELS if n != leader)
    status = await world.network.call("op", f"{other}:81", "GET", "/status", None, 2.0)
    assert (status.data["role"], status.data["leader"]) == ("follower", leader)
    reply = world.controllers[leader].cluster_handler(Request("GET", "/metrics"))
    assert isinstance(reply, Response)
    text = reply.data.decode()
    assert "spoolcourse_leader 1.0" in text
    assert "spoolcourse_waiting_jobs 2.0" in text
    # `/status` is not served on the users' address.
    assert (await world.request(leader, "GET", "/status")).status == 404


async def test_a_team_with_a_limit_of_zero_is_not_limited() -> None:
    # A limit of 0 means no limit. When it was read as a limit of zero, every submission was
    # answered 422 and no task of a deployment with such a team ever started.
    world = World(params={"teams": [{"name": "red", "cpus": 0.0, "cpus_max": 0.0}]})
    await world.start_controllers()
    assert (await world.submit(job(pieces=40))).status == 201
    assert (await world.submit(job(2, vcpus=9.0))).status == 422, (
        "accepted, although it fits no machine"
    )
    service = job(3, shape="standing", expectS=0.0, loaners=False)
    assert (await world.submit(service)).status == 201
    await world.wait_until_done()
    assert (await world.poll(3)).data["running"] == 4
    assert not world.cloud.violations
