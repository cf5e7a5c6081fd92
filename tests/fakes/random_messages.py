"""Seeded random scenarios: messages to and from machines are lost, late, reset and repeated.

A long run, with the seeds that broke a rule printed last:

    python -m tests.fakes.random_messages --first-seed 0 --scenarios 300
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from typing import Any

from tests.fakes.clock import run_in_simulated_time, spawn
from tests.fakes.cloud import FakeWorker, Task
from tests.fakes.scenario_steps import restart_leader, retry_until_accepted, wait_until_jobs_end
from tests.fakes.world import World, job

JOBS = 20
SERVICES = (4, 9)  # numbers of the jobs that are services, whose replicas end now and then
TROUBLE_S = 45.0
SETTLE_S = 15.0
END_LIMIT_S = 240.0
MAX_COPY_DELAY_S = 25.0
COMMAND_VERDICTS = (
    "cut",
    "refused",
    "unconnected",
    "reset",
    "lose",
    "late",
    "slow request",
    "copy",
    "copy",
)
HEARTBEAT_VERDICTS = ("cut", "lose", "reset", "refused", *["slow reply"] * 3)
FAILURE_SHARE = 0.1
# After an urgent job, and after another one: its tasks are preempted before they are reported.
SUBMISSION_INTERVAL_RANGES_S = ((1.0, 5.0), (0.1, 1.2))


class RandomMessages:
    """A world in which jobs are preempted, cancelled and moved while messages go astray."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.world = World()
        self.world.cloud.capacity = 2
        self.world.cloud.image_fetch_s = self._random.choice((0.0, 0.0, 0.5))
        self.world.cloud.end_cause = self._end_cause
        self.world.cloud.run_s = lambda task: 2.0 + sum(task.encode()) % 11
        self._command_share = self._random.uniform(0.2, 0.7)
        self._heartbeat_share = self._random.uniform(0.0, 0.6)
        self._copies_sent = 0
        steps = (self._restart, self._cut_off_a_machine, self._notice)
        self._interferences = self._random.sample(steps, self._random.randint(0, len(steps)))
        self._is_over = False

    async def play(self) -> None:
        """Play the scenario, and wait until every job has ended."""
        world = self.world
        await world.start_with_machine()
        world.cloud.add_machine("b")
        await asyncio.sleep(2)
        world.network.filters.append(self._misroute)
        spawn(self._repeat_calls())
        interference = asyncio.create_task(self._interfere())
        for number in range(1, JOBS + 1):
            await self._submit(number)
            await asyncio.sleep(self._random.uniform(*SUBMISSION_INTERVAL_RANGES_S[number % 2]))
        await asyncio.sleep(TROUBLE_S)
        self._is_over = True
        await interference
        world.network.filters.clear()
        for number in SERVICES:
            await self._cancel_later(number, 0.0)
        await asyncio.sleep(SETTLE_S)
        await wait_until_jobs_end(world, range(1, JOBS + 1), END_LIMIT_S)

    def _end_cause(self, worker: FakeWorker, task: Task) -> str:
        return "error" if self._random.random() < FAILURE_SHARE else "done"

    def _misroute(self, src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if path == "/orders" and self._random.random() < self._command_share:
            return self._random.choice(COMMAND_VERDICTS)
        if path == "/v1/report" and self._random.random() < self._heartbeat_share:
            return self._random.choice(HEARTBEAT_VERDICTS)
        return None

    async def _submit(self, number: int) -> None:
        body = self._service(number) if number in SERVICES else self._array(number)
        await retry_until_accepted(self.world, lambda label: self.world.submit(body, label))
        if number not in SERVICES and self._random.random() < 0.2:
            spawn(self._cancel_later(number, self._random.uniform(0.0, 8.0)))

    @staticmethod
    def _service(number: int) -> dict[str, Any]:
        return job(number, shape="standing", rank="prod", pieces=2, vcpus=1.0, expectS=0.0)

    def _array(self, number: int) -> dict[str, Any]:
        is_urgent = number % 2 == 0
        return job(
            number,
            rank="high" if is_urgent else "standard",
            crew="blue" if self._random.random() < 0.3 else "red",
            pieces=self._random.randint(2, 8),
            vcpus=self._random.choice((2.0, 4.0)),
            oneZone=self._random.random() < 0.2,
        )

    async def _cancel_later(self, number: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await retry_until_accepted(self.world, lambda label: self.world.cancel(number, label))

    async def _repeat_calls(self) -> None:
        """Deliver each copied call again, up to twice and after newer ones."""
        network = self.world.network
        while True:
            await asyncio.sleep(0.3)
            for copied in network.copies[self._copies_sent :]:
                for _ in range(self._random.randint(1, 2)):
                    spawn(self._deliver(copied, self._random.uniform(0.1, MAX_COPY_DELAY_S)))
            self._copies_sent = len(network.copies)

    async def _deliver(self, copied: tuple[str, str, str, Any], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        dst, method, path, body = copied
        if dst in self.world.network.hosts:
            await self.world.network.hosts[dst](method, path, body)

    async def _interfere(self) -> None:
        """Restart leaders, cut machines off and give notices."""
        while not self._is_over:
            await asyncio.sleep(self._random.uniform(4.0, 15.0))
            if self._interferences:
                await self._random.choice(self._interferences)()

    async def _restart(self) -> None:
        if self.world.leader is not None:
            await restart_leader(self.world, self._random.choice((0.3, 2.0)))

    async def _cut_off_a_machine(self) -> None:
        names = sorted(self.world.cloud.workers)
        if not names:
            return
        self.world.cut_off(self._random.choice(names))
        cut = self.world.network.filters[-1]
        await asyncio.sleep(self._random.choice((0.6, 3.0, 13.0)))
        if cut in self.world.network.filters:
            self.world.network.filters.remove(cut)

    async def _notice(self) -> None:
        for worker in list(self.world.cloud.workers.values()):
            if self._random.random() < 0.2:
                worker.termination_notice_s = 20.0
                spawn(self._take_away(worker.name))

    async def _take_away(self, name: str) -> None:
        await asyncio.sleep(20.0)
        self.world.cloud.lose_machine(name)


def main() -> int:
    """Play many scenarios; return 1 if a rule was broken or a job did not end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--scenarios", type=int, default=100)
    options = parser.parse_args()
    failed: list[int] = []
    for seed in range(options.first_seed, options.first_seed + options.scenarios):
        try:
            run_in_simulated_time(RandomMessages(seed).play())
        except AssertionError as exc:
            failed.append(seed)
            print(f"seed {seed}: {str(exc)[:300]}", flush=True)
    print(f"{options.scenarios} scenarios, failed seeds: {failed}")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())
