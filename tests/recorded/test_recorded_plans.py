"""The plans of placement, preemption and planner are those that were recorded."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from tests.recorded.plans.generate import SUITES
from tests.recorded.plans.inputs import Fields

RECORDED = {"placement": 600, "preemption": 400, "provisioning": 300, "demand": 40, "surplus": 200}


def answers(suite: str) -> Iterable[Fields]:
    return SUITES[suite].recorded().values()


def test_every_suite_is_compared() -> None:
    assert set(SUITES) == set(RECORDED)


@pytest.mark.parametrize("name", RECORDED)
def test_the_answers_are_the_recorded_ones(name: str) -> None:
    suite = SUITES[name]
    recorded = suite.recorded()
    assert list(recorded) == list(suite.seeds), "the record has the seeds that are asked"
    changed: dict[int, tuple[Fields, Fields]] = {}
    compared = 0
    for seed, expected in recorded.items():
        answer = suite.answer(seed)
        compared += 1
        if answer != expected:
            changed[seed] = (expected, answer)
    assert compared == RECORDED[name]
    first = next(iter(changed.items()), None)
    assert not changed, f"{len(changed)} of {compared} changed; seed, recorded, answer: {first}"


def test_the_recorded_placements_cover_the_branches() -> None:
    plans = list(answers("placement"))
    heads = [plan for plan in plans if plan["head"] is not None]
    reserved = [plan for plan in heads if plan["head_start"] is not None]
    backfilled = [
        plan for plan in reserved if any(job > plan["head"] for job, _, _ in plan["placements"])
    ]
    reasons = [reason for plan in plans for _, reason in plan["reasons"]]
    assert len(reserved) >= 60, "head reservations"
    assert len(heads) - len(reserved) >= 10, "heads whose start is not known"
    assert len(backfilled) >= 40, "backfill behind a reservation"
    assert sum(not plan["unplaced"] for plan in plans) >= 5, "everything placed"
    assert sum(len(plan["unplaced"]) > 1 for plan in plans) >= 60, "several jobs wait"
    for reason in ("machines", "image fetch", "team limit"):
        assert reasons.count(reason) >= 20, reason


def test_the_recorded_preemptions_cover_the_branches() -> None:
    chosen = [answer["victims"] for answer in answers("preemption")]
    assert sum(bool(victims) for victims in chosen) >= 40
    assert sum(not victims for victims in chosen) >= 20
    assert sum(len(victims) > 3 for victims in chosen) >= 15


def test_the_recorded_provisions_cover_the_branches() -> None:
    recorded = list(answers("provisioning"))
    for kind in ("provisions", "provisions_for_unplaced", "spare_provisions"):
        assert sum(bool(answer[kind]) for answer in recorded) >= 40, kind
        assert sum(not answer[kind] for answer in recorded) >= 3, kind
    provisions = [entry for answer in recorded for entry in answer["provisions"]]
    assert {spot for _, _, spot, _ in provisions} == {True, False}
    assert max(count for *_, count in provisions) > 5


def test_the_recorded_demand_and_surplus_cover_the_branches() -> None:
    assert sum(len(set(answer["peaks"])) > 2 for answer in answers("demand")) >= 10
    fleets = list(answers("surplus"))
    assert sum(bool(fleet["surplus"]) for fleet in fleets) >= 10
    assert sum(not fleet["surplus"] for fleet in fleets) >= 10
    assert sum(fleet["missing_cpus"] > 0 for fleet in fleets) >= 10
